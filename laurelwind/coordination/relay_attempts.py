"""State of an attempt to serve a relayed request."""

from typing import Final

from attrs import define

from laurelwind.coordination.scheduling.reservations import Reservation
from laurelwind.protocol.exchanges import EndpointExchange
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Shortest wait, in seconds, for bytes that were not there already.
_MIN_WAIT_S: Final = 0.001


@define(kw_only=True)
class Attempt:
    """An attempt to serve a request at one endpoint.

    All moments are on the monotonic clock.

    :ivar endpoint: the endpoint.
    :ivar exchange: exchange of the request and its answer.
    :ivar sent_at: moment of sending.
    :ivar model: name of the model, or empty.
    :ivar prefill_s: estimated prefill time of the prompt, in seconds.
    :ivar prompt_tokens: tokens of the prompt, or zero without one.
    :ivar expected_delay_s: time to first byte estimated at sending, in seconds.
    :ivar reservation: what it holds at an endpoint that reports its pace.
    :ivar first_byte_at: moment of the first byte, or zero before it.
    :ivar first_event_at: moment of the first event, or zero before it.
    :ivar reviewed_at: moment at which its finish was last predicted, or zero.
    :ivar last_event_at: moment of the last event, or zero before it.
    :ivar events: number of events received.
    :ivar waited_s: seconds that the last read waited.
    :ivar is_timed: whether its latency counts for or against its version.
    """

    endpoint: EndpointRecord
    exchange: EndpointExchange
    sent_at: float
    model: str = ''
    prefill_s: float = 0
    prompt_tokens: int = 0
    expected_delay_s: float = 0
    reservation: Reservation | None = None
    first_byte_at: float = 0
    first_event_at: float = 0
    reviewed_at: float = 0
    last_event_at: float = 0
    events: int = 0
    waited_s: float = 0
    is_timed: bool = False

    @property
    def elapsed_s(self) -> float:
        """Seconds since sending."""
        return read_monotonic_clock() - self.sent_at

    @property
    def silent_s(self) -> float:
        """Seconds since the endpoint last sent anything, or since sending."""
        return read_monotonic_clock() - max(
            self.sent_at, self.first_byte_at, self.last_event_at
        )

    @property
    def is_up_to_date(self) -> bool:
        """Whether the last read had to wait, so that no bytes were left over.

        Where a caller reads slowly, the connection holds what the endpoint sent
        long before.
        """
        return self.waited_s >= _MIN_WAIT_S

    def record_events(self, count: int) -> float | None:
        """Record received events, and return the seconds per event.

        :param count: number of events.
        """
        now = read_monotonic_clock()
        unit_latency_s = (
            (now - self.last_event_at) / count if self.events else None
        )
        if not self.events:
            self.first_event_at = now
        self.last_event_at = now
        self.events += count
        return unit_latency_s
