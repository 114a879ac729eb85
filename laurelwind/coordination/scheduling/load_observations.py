"""What is observed of endpoints that report their pace."""

from collections.abc import Sequence

from attrs import frozen

from laurelwind.coordination.load.service_loads import ServiceLoad
from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.coordination.scheduling.class_positions import ClassPositions
from laurelwind.coordination.scheduling.observations import (
    EndpointObservations,
)
from laurelwind.coordination.scheduling.requirements import RequestTraits
from laurelwind.protocol.exchanges import LoadReport
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Time, in seconds, after which what was learned of an unused service is
# discarded.
SERVICE_TTL_S = 600.0
# Prompt tokens that a second of work in a hint stands for: hints of other
# daemons state prefill times by the rate of ``relay_jobs``.
HINT_TOKENS_PER_S = 20000.0
# Expected answers are reserved with this factor where no limit is given, as
# estimates are often too small.
OUTPUT_RESERVE = 2


@frozen(kw_only=True)
class Reservation:
    """What an attempt holds at its endpoint until it ends.

    :ivar step_class: class of the request.
    :ivar tokens: tokens of memory that it may hold at its end.
    :ivar slowdown: slowdown of the endpoint as it was sent.
    :ivar sent_at: moment of sending.
    """

    step_class: StepClass
    tokens: int
    slowdown: float
    sent_at: float


class LoadObservations(EndpointObservations):
    """Tracks the load of endpoints and the learned rates of services."""

    def __init__(self) -> None:
        super().__init__()
        self._services: dict[str, ServiceLoad] = {}
        self._positions = ClassPositions()

    def is_paced(self, service: str) -> bool:
        """Return whether the endpoints of a service report their pace.

        :param service: name of the service.
        """
        load = self._services.get(service)
        return load is not None and load.is_paced(read_monotonic_clock())

    def get_service_load(self, service: str) -> ServiceLoad:
        """Return what was learned of a service.

        :param service: name of the service.
        """
        load = self._services.get(service)
        if load is None:
            load = ServiceLoad()
            self._services[service] = load
        return load

    def list_paced(self) -> Sequence[tuple[str, ServiceLoad]]:
        """List the services whose endpoints report their pace."""
        now = read_monotonic_clock()
        return tuple(
            (name, load)
            for name, load in self._services.items()
            if load.is_paced(now)
        )

    def get_class(self, endpoint: EndpointRecord) -> StepClass | None:
        """Return the class of requests that an endpoint serves first.

        It is ``None`` before there was demand.

        :param endpoint: the endpoint.
        """
        shares = self.get_service_load(endpoint.service).demand.shares
        return self._positions.get_class(endpoint, shares)

    def record_report(
        self, endpoint: EndpointRecord, report: LoadReport
    ) -> None:
        """Record the load reported by an endpoint; see the base class."""
        super().record_report(endpoint, report)
        if report.slowdown is not None:
            now = read_monotonic_clock()
            state = self._get_state(endpoint)
            state.service = endpoint.service
            state.pace.record(report.slowdown, now)
            self.get_service_load(endpoint.service).paced_at = now

    def record_remote_report(
        self, endpoint: EndpointRecord, report: LoadReport, age_s: float
    ) -> bool:
        """Record a report that another daemon received; return if it is newer.

        :param endpoint: the endpoint.
        :param report: the reported load, with a pace.
        :param age_s: age of the report in seconds.
        """
        now = read_monotonic_clock()
        reported_at = now - age_s
        state = self._get_state(endpoint)
        if report.slowdown is None or (
            state.report is not None and reported_at <= state.reported_at
        ):
            return False
        state.report = report
        state.reported_at = reported_at
        sent_since = state.arrivals.count_local(reported_at)
        state.in_flight_at_report = max(state.in_flight - sent_since, 0)
        state.service = endpoint.service
        state.pace.record(report.slowdown, reported_at)
        load = self.get_service_load(endpoint.service)
        load.paced_at = max(load.paced_at, reported_at)
        return True

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
            slowdown=slowdown,
            sent_at=now,
        )
        state.in_flight += 1
        state.held_tokens += reservation.tokens
        state.arrivals.add(now, reservation.tokens, is_local=True)
        prefill_s = traits.prefill_s * load.prefill_ratio * slowdown
        state.add_queued_prefill(prefill_s, now)
        lane = self.get_class(endpoint) or traits.step_class
        load.tokens[lane].record(reservation.tokens)
        return reservation

    def record_attempt_end(
        self, endpoint: EndpointRecord, reservation: Reservation | None
    ) -> None:
        """Record the end of a request that this daemon sent.

        :param endpoint: the endpoint that received it.
        :param reservation: what it held, or ``None`` if the endpoints of the
            service reported no pace as it was sent.
        """
        self.record_ended(endpoint)
        if reservation is None:
            return
        now = read_monotonic_clock()
        state = self._get_state(endpoint)
        state.held_tokens = max(state.held_tokens - reservation.tokens, 0)
        load = self.get_service_load(endpoint.service)
        held_s = (now - reservation.sent_at) / reservation.slowdown
        load.record_held(reservation.step_class, held_s, now)

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
        lane = self.get_class(endpoint) or StepClass.HEAVY
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

    def retain_endpoints(self, names: set[str]) -> None:
        """Discard the state of removed endpoints, and of unused services."""
        super().retain_endpoints(names)
        now = read_monotonic_clock()
        for service, load in tuple(self._services.items()):
            if now - max(load.used_at, load.paced_at) > SERVICE_TTL_S:
                self._services.pop(service)
                self._positions.discard(service)


def estimate_tokens(load: ServiceLoad, traits: RequestTraits) -> int:
    """Return the tokens of memory that a request may hold at its end.

    :param load: what was learned of its service.
    :param traits: work of the request.
    """
    output = traits.output_limit
    if not output:
        events = load.lengths.estimate_events(traits.route, traits.length_hint)
        expected = load.lengths.convert_to_tokens(events)
        output = max(expected, traits.length_hint) * OUTPUT_RESERVE
    return traits.prompt_tokens + output
