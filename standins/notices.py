"""What stand-in endpoints announce in their answers."""

from attrs import define, frozen


@define(kw_only=True)
class Notices:
    """What an endpoint announces.

    :ivar is_leaving: whether its answers say that it is about to stop.
    :ivar pause_ends_at: end of the time in which it refuses requests and asks
        for a pause, on the monotonic clock, in seconds.
    """

    is_leaving: bool = False
    pause_ends_at: float = 0

    def encode(self) -> bytes:
        """Return the header lines of every answer."""
        return b'Server-Leaving: 1\r\n' if self.is_leaving else b''


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
