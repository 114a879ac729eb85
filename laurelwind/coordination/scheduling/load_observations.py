"""What is observed of endpoints that report their pace."""

from typing import Final

from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.coordination.scheduling.class_positions import ClassPositions
from laurelwind.coordination.scheduling.report_observations import (
    ReportObservations,
)
from laurelwind.coordination.scheduling.requirements import RequestTraits
from laurelwind.coordination.scheduling.reservations import (
    Reservation,
    estimate_tokens,
)
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Prompt tokens that a second of work in a hint stands for: hints of other
# daemons state prefill times by the rate of ``relay_jobs``.
HINT_TOKENS_PER_S: Final = 20000.0


class LoadObservations(ReportObservations):
    """Tracks what endpoints hold and the learned rates of services.

    :param separates_classes: whether classes of requests are kept on separate
        endpoints.
    """

    def __init__(self, *, separates_classes: bool) -> None:
        super().__init__()
        self._separates_classes = separates_classes
        self._positions = ClassPositions()

    def get_class(self, endpoint: EndpointRecord) -> StepClass | None:
        """Return the class of requests that an endpoint serves first.

        It is ``None`` where classes are not separated, and before there was
        demand.

        :param endpoint: the endpoint.
        """
        if not self._separates_classes:
            return None
        shares = self.get_service_load(endpoint.service).demand.shares
        return self._positions.get_class(endpoint, shares)

    def record_attempt(
        self, endpoint: EndpointRecord, traits: RequestTraits
    ) -> Reservation:
        """Record a request that this daemon sends.

        :param endpoint: the endpoint that receives it.
        :param traits: work of the request.
        """
        now = read_monotonic_clock()
        state = self._get_state(endpoint)
        load = self.get_service_load(endpoint.service)
        load.used_at = now
        slowdown = state.pace.estimate(now)
        reservation = Reservation(
            step_class=traits.step_class,
            tokens=estimate_tokens(load, traits),
            prefill_s=traits.prefill_s * load.prefill_ratio,
            slowdown=slowdown,
            sent_at=now,
        )
        load.record_prompt(reservation.prefill_s)
        state.in_flight += 1
        state.held_tokens += reservation.tokens
        state.arrivals.add(now, reservation.tokens, is_local=True)
        state.add_queued_prefill(reservation.prefill_s * slowdown, now)
        lane = self.get_lane(endpoint)
        load.batches[lane].tokens.record(reservation.tokens)
        return reservation

    def record_attempt_end(
        self, endpoint: EndpointRecord, reservation: Reservation | None
    ) -> None:
        """Record the end of a request that this daemon sent.

        :param endpoint: the endpoint that received it.
        :param reservation: what it held, or ``None`` if the endpoints of the
            service reported no pace as it was sent.
        """
        now = read_monotonic_clock()
        state = self._get_state(endpoint)
        batch = max(state.estimate_requests(now), 1)
        self.record_ended(endpoint)
        if reservation is None:
            return
        state.held_tokens = max(state.held_tokens - reservation.tokens, 0)
        load = self.get_service_load(endpoint.service)
        held_s = (now - reservation.sent_at) / reservation.slowdown
        lane = self.get_lane(endpoint)
        load.batches[lane].record_hold(held_s)
        decode_s = max(held_s - reservation.prefill_s, 0)
        load.demand.record(
            reservation.step_class,
            reservation.prefill_s + decode_s / batch,
            now,
        )

    def retain_endpoints(self, names: set[str]) -> None:
        """Discard the state of removed endpoints, and of unused services."""
        super().retain_endpoints(names)
        self._positions.retain(self._services.keys())

    def estimate_slowness(
        self,
        endpoint: EndpointRecord,
        reservation: Reservation,
        expected_s: float,
    ) -> float:
        """Estimate how much longer than expected an endpoint needs.

        Only a report since the request was sent counts: an endpoint that
        reports is alive, and its pace and queue tell why it sends nothing yet.

        :param endpoint: the endpoint.
        :param reservation: what the request holds there.
        :param expected_s: seconds that were expected at the pace then.
        """
        state = self._get_state(endpoint)
        now = read_monotonic_clock()
        report = state.get_report(now)
        if report is None or state.reported_at <= reservation.sent_at:
            return 0
        ratio = state.pace.estimate(now) / reservation.slowdown
        queue_s = state.estimate_queued_prefill(now) if report.waiting else 0
        return max(ratio - 1, 0) * expected_s + queue_s

    def record_remote_work(self, name: str, prefill_s: float) -> None:
        """Record a request that another daemon sent; see the base class."""
        state = self._get_named_state(name)
        if not self.is_paced(state.service):
            super().record_remote_work(name, prefill_s)
            return
        now = read_monotonic_clock()
        load = self.get_service_load(state.service)
        slowdown = state.pace.estimate(now)
        state.add_queued_prefill(prefill_s * load.prefill_ratio * slowdown, now)
        state.arrivals.add(now, prefill_s * HINT_TOKENS_PER_S, is_local=False)

    def record_event_latency(
        self, endpoint: EndpointRecord, unit_latency_s: float | None
    ) -> None:
        """Record the latency between events; see the base class."""
        super().record_event_latency(endpoint, unit_latency_s)
        if unit_latency_s is None or not self.is_paced(endpoint.service):
            return
        now = read_monotonic_clock()
        state = self._get_state(endpoint)
        if state.get_report(now) is None:
            return
        lane = self.get_lane(endpoint)
        self.get_service_load(endpoint.service).event_times[lane].record(
            unit_latency_s / state.pace.estimate(now),
            state.estimate_requests(now),
        )

    def record_first_event(
        self, endpoint: EndpointRecord, waited_s: float, prefill_s: float
    ) -> None:
        """Record the time to the first event of a stream.

        :param endpoint: the endpoint.
        :param waited_s: seconds from sending to the first event.
        :param prefill_s: estimated prefill time of the prompt, in seconds.
        """
        if not self.is_paced(endpoint.service):
            return
        now = read_monotonic_clock()
        slowdown = self._get_state(endpoint).pace.estimate(now)
        self.get_service_load(endpoint.service).record_first_event(
            waited_s / slowdown, prefill_s
        )

    def record_length(self, service: str, traits: RequestTraits) -> None:
        """Record the events of a complete stream.

        :param service: name of its service.
        :param traits: traits of the request after its last event.
        """
        if traits.sent_events and self.is_paced(service):
            self.get_service_load(service).lengths.record(
                traits.route, traits.sent_events, traits.length_hint
            )
