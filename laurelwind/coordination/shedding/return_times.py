"""When rejected callers should return."""

from typing import Final

from laurelwind.coordination.retries import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
)

# Shortest delay: an answer within it would meet the same queue.
MIN_RETURN_S: Final = 0.25
# Share of the time that is left to the caller for which it honours the delay.
MAX_RETURN_SHARE: Final = 1 / 3
# Time over which returning requests spread for each unit of overload.
SPREAD_S: Final = 1.0
# Part of the spread that urgent callers do not wait for.
PRIORITY_PART: Final = 0.5
# Share of the time left before the latency goal after which callers return at
# the latest, unless the queue needs longer: a later repeat takes capacity and
# is late all the same.
GOAL_PART: Final = 0.5
_LOWEST_PRIORITY: Final = 9


def compute_return_delay(
    *,
    drain_s: float,
    shed_share: float,
    priority: int,
    goal_left_s: float,
    remaining_s: float,
    draw: float,
) -> float:
    """Return the delay for ``Retry-After`` in seconds.

    Returns spread over the longer, the larger the rejected share is, so that
    the service can take them beside its new requests; urgent callers return
    first.

    :param drain_s: seconds until the queue has drained.
    :param shed_share: share of the requests that is rejected.
    :param priority: priority of the request, 0 to 9.
    :param goal_left_s: seconds until the request's latency goal.
    :param remaining_s: seconds until the request's deadline.
    :param draw: random number in [0, 1).
    """
    served_share = max(1 - shed_share, 0.1)
    spread_s = SPREAD_S + SPREAD_S * shed_share / served_share
    rank = PRIORITY_PART * priority / _LOWEST_PRIORITY
    place = rank + (1 - PRIORITY_PART) * draw
    drain_s = max(drain_s, MIN_RETURN_S)
    in_time_s = GOAL_PART * goal_left_s
    if drain_s < in_time_s:
        spread_s = min(spread_s, in_time_s - drain_s)
    delay_s = drain_s + spread_s * place
    return limit_return_delay(delay_s, remaining_s, draw)


def limit_return_delay(
    delay_s: float, remaining_s: float, draw: float
) -> float:
    """Limit a delay to what the caller would wait.

    A limited delay is spread over the second half of that time, as equal
    delays would bring all callers back at once.

    :param delay_s: the delay in seconds.
    :param remaining_s: seconds until the caller's deadline.
    :param draw: random number in [0, 1).
    """
    longest_s = max(remaining_s, 0) * MAX_RETURN_SHARE
    if delay_s <= longest_s:
        return delay_s
    return longest_s * (1 + draw) / 2


def compute_outage_delay(
    outage_s: float, remaining_s: float | None, draw: float
) -> float:
    """Return the delay for ``Retry-After`` of a daemon that is not ready.

    Callers repeat about once, so a repeat within the same outage is lost. An
    outage is assumed to last about as long again as it has lasted. Early in an
    outage only this daemon may be concerned, so that callers soon try another.

    :param outage_s: seconds for which the daemon has not been ready.
    :param remaining_s: seconds until the caller's deadline, ``None`` if
        unknown.
    :param draw: random number in [0, 1).
    """
    longest_s = MAX_RETRY_AFTER_S
    if remaining_s is not None:
        longest_s = max(remaining_s, 0) * MAX_RETURN_SHARE
    high_s = min(max(outage_s, MAX_RETRY_AFTER_S), longest_s)
    low_s = max(high_s / 2, min(MIN_RETRY_AFTER_S, high_s))
    return low_s + (high_s - low_s) * draw
