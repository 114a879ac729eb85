"""What this daemon and its peers observe of endpoints."""

from typing import Final

from laurelwind.coordination.scheduling.endpoint_states import (
    REMOTE_LOSS_WEIGHT,
    SERVER_ERROR_WEIGHT,
    EndpointState,
)
from laurelwind.protocol.exchanges import LoadReport
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Exponential backoff after consecutive failures, up to MAX_BACKOFF_S.
INITIAL_BACKOFF_S: Final = 0.4
MAX_BACKOFF_S: Final = 5.0
_MAX_DOUBLINGS: Final = 4
# Longest time, in seconds, over which requests return to an endpoint whose rate
# limit has ended.
MAX_RETURN_S: Final = 5.0
# Seconds that a failed request loses at least: its next attempt queues and
# reads the prompt again.
MIN_LOSS_S: Final = 2.0


class EndpointObservations:
    """Tracks the state of each endpoint."""

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}

    def estimate_queue_delay(self, endpoint: EndpointRecord) -> float:
        """Estimate the queueing delay at an endpoint, in seconds.

        :param endpoint: the endpoint.
        """
        return self._get_state(endpoint).estimate_queue_delay(
            read_monotonic_clock()
        )

    def record_sent(self, endpoint: EndpointRecord, prefill_s: float) -> None:
        """Record a request that this daemon sends.

        :param endpoint: the endpoint that receives it.
        :param prefill_s: prefill time of its prompt, in seconds.
        """
        state = self._get_state(endpoint)
        state.in_flight += 1
        state.add_queued_prefill(prefill_s, read_monotonic_clock())

    def record_remote_work(self, name: str, prefill_s: float) -> None:
        """Record a request that another daemon sent.

        :param name: name of the endpoint.
        :param prefill_s: prefill time of its prompt, in seconds.
        """
        self._get_named_state(name).add_queued_prefill(
            prefill_s, read_monotonic_clock()
        )

    def record_ended(self, endpoint: EndpointRecord) -> None:
        """Record the end of a request that this daemon sent.

        :param endpoint: the endpoint that received it.
        """
        state = self._get_state(endpoint)
        state.in_flight = max(state.in_flight - 1, 0)

    def record_first_byte(
        self, endpoint: EndpointRecord, waited_s: float, prefill_s: float
    ) -> None:
        """Record the time to first byte of an answer.

        :param endpoint: the endpoint.
        :param waited_s: seconds from sending to the first byte.
        :param prefill_s: prefill time of the prompt, in seconds.
        """
        self._get_state(endpoint).record_observed_delay(
            max(waited_s - prefill_s, 0), read_monotonic_clock()
        )

    def record_event_latency(
        self, endpoint: EndpointRecord, unit_latency_s: float | None
    ) -> None:
        """Record the latency between the events of a stream.

        :param endpoint: the endpoint.
        :param unit_latency_s: seconds per event, or ``None`` for the first one.
        """
        state = self._get_state(endpoint)
        state.last_response_at = read_monotonic_clock()
        if unit_latency_s is not None:
            state.record_unit_latency(unit_latency_s, state.last_response_at)

    def record_response(self, endpoint: EndpointRecord) -> None:
        """Record a complete answer, whether it tells of a failure or not.

        :param endpoint: the endpoint.
        """
        self._get_state(endpoint).last_response_at = read_monotonic_clock()

    def get_last_response_time(self, endpoint: EndpointRecord) -> float:
        """Return the moment of the last event or complete answer.

        It is minus infinity before the first one.

        :param endpoint: the endpoint.
        """
        return self._get_state(endpoint).last_response_at

    def record_report(
        self, endpoint: EndpointRecord, report: LoadReport
    ) -> None:
        """Record the load reported by an endpoint.

        :param endpoint: the endpoint.
        :param report: the reported load.
        """
        state = self._get_state(endpoint)
        state.report = report
        state.reported_at = read_monotonic_clock()
        state.in_flight_at_report = state.in_flight

    def record_success(self, endpoint: EndpointRecord) -> None:
        """Record a served request, and end the endpoint's backoff.

        :param endpoint: the endpoint.
        """
        state = self._get_state(endpoint)
        state.failures = 0
        state.backoff_until = 0
        state.record_loss(0, read_monotonic_clock())

    def record_pause(self, endpoint: EndpointRecord, pause_s: float) -> None:
        """Record that an endpoint asks for no further request for a while.

        A pause that ends later stays in force.

        :param endpoint: the endpoint.
        :param pause_s: length of the pause, in seconds.
        """
        state = self._get_state(endpoint)
        paused_until = read_monotonic_clock() + pause_s
        if paused_until > state.paused_until:
            state.paused_until = paused_until
            state.pause_s = pause_s

    def record_limit_end(self, name: str, lasted_s: float) -> None:
        """Let requests return gradually, as a rate limit has ended.

        :param name: name of the endpoint.
        :param lasted_s: seconds for which the limit was in force.
        """
        state = self._get_named_state(name)
        now = read_monotonic_clock()
        if state.paused_until <= now:
            state.paused_until = now
            state.pause_s = min(max(lasted_s, 0), MAX_RETURN_S)

    def get_remaining_pause(self, endpoint: EndpointRecord) -> float:
        """Return the seconds until an endpoint accepts requests again.

        :param endpoint: the endpoint.
        """
        remaining_s = (
            self._get_state(endpoint).paused_until - read_monotonic_clock()
        )
        return max(remaining_s, 0)

    def begin_silence(self, endpoint: EndpointRecord) -> bool:
        """Record a request that waits for a silent endpoint.

        :param endpoint: the endpoint.
        :returns: whether it is the first one.
        """
        state = self._get_state(endpoint)
        state.silent_requests += 1
        return state.silent_requests == 1

    def end_silence(self, endpoint: EndpointRecord) -> None:
        """Record that such a request got an answer, or ended.

        :param endpoint: the endpoint.
        """
        state = self._get_state(endpoint)
        state.silent_requests = max(state.silent_requests - 1, 0)

    def record_server_error(self, endpoint: EndpointRecord) -> None:
        """Record a 5xx answer of an endpoint.

        :param endpoint: the endpoint.
        """
        self._get_state(endpoint).record_loss(
            MIN_LOSS_S, read_monotonic_clock(), SERVER_ERROR_WEIGHT
        )

    def record_remote_loss(self, name: str, lost_s: float) -> None:
        """Record a failure that another daemon reports.

        :param name: name of the endpoint.
        :param lost_s: seconds that the request had spent at the endpoint.
        """
        self._get_named_state(name).record_loss(
            max(lost_s, MIN_LOSS_S), read_monotonic_clock(), REMOTE_LOSS_WEIGHT
        )

    def record_failure(
        self,
        endpoint: EndpointRecord,
        lost_s: float = 0,
        *,
        silent_s: float = 0,
    ) -> float:
        """Record a failure, and return the backoff in seconds.

        Requests that leave an endpoint for the same silence are one failure:
        the backoff would otherwise outlast the silence by far.

        :param endpoint: the endpoint.
        :param lost_s: seconds that the request spent at the endpoint.
        :param silent_s: seconds of silence for which it left the endpoint, or
            zero for other failures.
        """
        state = self._get_state(endpoint)
        now = read_monotonic_clock()
        state.record_failure(now - silent_s, now)
        doublings = min(state.failures - 1, _MAX_DOUBLINGS)
        backoff_s = min(INITIAL_BACKOFF_S * (1 << doublings), MAX_BACKOFF_S)
        state.backoff_until = now + backoff_s
        state.record_loss(max(lost_s, MIN_LOSS_S), now)
        return backoff_s

    def retain_endpoints(self, names: set[str]) -> None:
        """Discard the state of removed endpoints without requests in flight.

        :param names: names of the endpoints that remain.
        """
        for name in tuple(self._states):
            if name not in names and not self._states[name].in_flight:
                self._states.pop(name)

    def _get_state(self, endpoint: EndpointRecord) -> EndpointState:
        return self._get_named_state(endpoint.name)

    def _get_named_state(self, name: str) -> EndpointState:
        state = self._states.get(name)
        if state is None:
            state = EndpointState()
            self._states[name] = state
        return state
