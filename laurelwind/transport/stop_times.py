"""When a stopping daemon does what."""

from typing import Final

from attrs import frozen

# Time that is reserved for the exit of the process, as a share of the bound of
# a stop, and its maximum in seconds.
EXIT_MARGIN_SHARE: Final = 0.125
MAX_EXIT_MARGIN_S: Final = 1.0
# Shares of that margin: for error answers before answers are cut, then for
# sending what is still buffered, and until the process is ended by force.
ERROR_ANSWER_SHARE: Final = 0.3
FLUSH_SHARE: Final = 0.2
FORCED_EXIT_SHARE: Final = 0.5
# Share of the time for answers after which new requests are refused at the
# latest.
MAX_REFUSAL_SHARE: Final = 0.5


@frozen(kw_only=True)
class StopTimes:
    """Moments of a stop, in seconds after its signal.

    :ivar refusal_s: new requests are refused from then on, as they could not
        be finished in time.
    :ivar listening_s: the daemon listens at least until then, so that callers
        can switch to another one.
    :ivar error_s: requests whose answers have not begun get an error answer.
    :ivar cut_s: answers that are still incomplete are cut.
    :ivar abort_s: connections whose bytes could not be sent are aborted.
    :ivar forced_exit_s: the process is ended by force.
    """

    refusal_s: float
    listening_s: float
    error_s: float
    cut_s: float
    abort_s: float
    forced_exit_s: float


def plan_stop(
    stop_s: float, *, refusal_s: float, listening_s: float
) -> StopTimes:
    """Plan a stop so that the process ends before its bound.

    :param stop_s: bound of the stop in seconds.
    :param refusal_s: seconds after which new requests are refused.
    :param listening_s: seconds for which the daemon keeps listening.
    """
    margin_s = min(stop_s * EXIT_MARGIN_SHARE, MAX_EXIT_MARGIN_S)
    cut_s = stop_s - margin_s
    error_s = cut_s - margin_s * ERROR_ANSWER_SHARE
    return StopTimes(
        refusal_s=min(refusal_s, error_s * MAX_REFUSAL_SHARE),
        listening_s=min(listening_s, error_s),
        error_s=error_s,
        cut_s=cut_s,
        abort_s=cut_s + margin_s * FLUSH_SHARE,
        forced_exit_s=cut_s + margin_s * FORCED_EXIT_SHARE,
    )
