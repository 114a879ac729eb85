"""What stand-in endpoints announce in their answers."""

from attrs import define, frozen


@define(kw_only=True)
class Notices:
    """What an endpoint announces.

    :ivar is_leaving: whether its answers say that it is about to stop.
    :ivar pause_ends_at: end of the time in which it refuses requests and asks
        for a pause, on the monotonic clock, in seconds.
    :ivar rate_limit: requests per second that its answers state as its limit,
        or ``None``.
    """

    is_leaving: bool = False
    pause_ends_at: float = 0
    rate_limit: float | None = None

    def encode(self) -> bytes:
        """Return the header lines of every answer."""
        lines = b'Server-Leaving: 1\r\n' if self.is_leaving else b''
        if self.rate_limit is not None:
            lines += b'Server-Limit: %g\r\n' % self.rate_limit
        return lines


@frozen(kw_only=True)
class Arrival:
    """A request that reached an endpoint, whether it ran or was refused.

    :ivar at: moment of its arrival, on the monotonic clock, in seconds.
    :ivar answered_at: moment at which its answer was begun.
    :ivar rate_limit: limit that the answer stated, or ``None``.
    :ivar is_misdirected: whether it was meant for another endpoint.
    """

    request_id: str
    endpoint: str
    at: float
    answered_at: float
    rate_limit: float | None
    is_misdirected: bool = False


@frozen(kw_only=True)
class PauseAnswer:
    """A request that was refused with a request for a pause.

    :ivar asked_at: moment of the answer, on the monotonic clock, in seconds.
    :ivar ends_at: end of the pause.
    """

    request_id: str
    endpoint: str
    asked_at: float
    ends_at: float

    def encode(self) -> bytes:
        """Return the header line that asks for the pause."""
        return b'Retry-After: %.3f\r\n' % max(self.ends_at - self.asked_at, 0)
