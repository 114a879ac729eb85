"""Load reports of endpoints, from their answers and from other daemons."""

import abc
from collections.abc import Sequence
from typing import Final

from laurelwind.coordination.load.service_loads import ServiceLoad
from laurelwind.coordination.load.step_classes import (
    SHARED_LANE,
    StepClass,
)
from laurelwind.coordination.scheduling.observations import (
    EndpointObservations,
)
from laurelwind.protocol.exchanges import LoadReport
from laurelwind.protocol.load_reports import SharedReport
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Time, in seconds, after which what was learned of an unused service is
# discarded.
SERVICE_TTL_S: Final = 600.0
# Age in seconds up to which a report is sent on to other daemons.
MAX_FORWARD_AGE_S: Final = 1.2


class ReportObservations(EndpointObservations, abc.ABC):
    """Tracks the reports of endpoints that state their pace."""

    def __init__(self) -> None:
        super().__init__()
        self._services: dict[str, ServiceLoad] = {}
        # Endpoints with a report that other daemons were not sent, newest last.
        self._updates: dict[str, None] = {}

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

    def record_report(
        self, endpoint: EndpointRecord, report: LoadReport
    ) -> None:
        """Record the load reported by an endpoint; see the base class."""
        self._record_surplus(endpoint, report)
        super().record_report(endpoint, report)
        if report.slowdown is not None:
            self._apply_pace(endpoint, report, read_monotonic_clock())

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
        self._record_surplus(endpoint, report)
        state.report = report
        state.reported_at = reported_at
        sent_since = state.arrivals.count_local(reported_at)
        state.in_flight_at_report = max(state.in_flight - sent_since, 0)
        self._apply_pace(endpoint, report, reported_at)
        return True

    def take_updates(self, count: int) -> Sequence[SharedReport]:
        """Return reports that other daemons were not sent, the newest first.

        The rest stays for the next call, unless it is too old by then.

        :param count: largest number of reports.
        """
        now = read_monotonic_clock()
        taken: list[SharedReport] = []
        while self._updates and len(taken) < count:
            name, _ = self._updates.popitem()
            state = self._get_named_state(name)
            age_s = max(now - state.reported_at, 0)
            if state.report is not None and age_s < MAX_FORWARD_AGE_S:
                taken.append(
                    SharedReport(
                        endpoint=name, report=state.report, age_s=age_s
                    )
                )
        return taken

    def get_largest_slowdown(self) -> float:
        """Return the largest slowdown of an endpoint, 0 if none is known."""
        now = read_monotonic_clock()
        return max(
            (
                state.pace.estimate(now)
                for state in self._states.values()
                if state.pace.is_known
            ),
            default=0,
        )

    def get_oldest_pace_age(self) -> float:
        """Return the largest age of a pace where requests are in flight."""
        now = read_monotonic_clock()
        return max(
            (
                now - state.pace.reported_at
                for state in self._states.values()
                if state.pace.is_known and state.in_flight
            ),
            default=0,
        )

    def retain_endpoints(self, names: set[str]) -> None:
        """Discard the state of removed endpoints, and of unused services."""
        super().retain_endpoints(names)
        self._updates = {
            name: None for name in self._updates if name in self._states
        }
        now = read_monotonic_clock()
        for service, load in tuple(self._services.items()):
            if now - max(load.used_at, load.paced_at) > SERVICE_TTL_S:
                self._services.pop(service)

    @abc.abstractmethod
    def get_class(self, endpoint: EndpointRecord) -> StepClass | None:
        """Return the class of requests that an endpoint serves first.

        It is ``None`` before there was demand.

        :param endpoint: the endpoint.
        """

    def get_lane(self, endpoint: EndpointRecord) -> StepClass:
        """Return the class under which an endpoint's batch is known.

        Endpoints of no class share one.

        :param endpoint: the endpoint.
        """
        step_class = self.get_class(endpoint)
        return SHARED_LANE if step_class is None else step_class

    def _record_surplus(
        self, endpoint: EndpointRecord, report: LoadReport
    ) -> None:
        """Compare a report with what was estimated before it."""
        now = read_monotonic_clock()
        state = self._get_state(endpoint)
        if report.slowdown is None or state.get_report(now) is None:
            return
        step_class = self.get_class(endpoint)
        if step_class is not None:
            load = self.get_service_load(endpoint.service)
            load.batches[step_class].record_surplus(
                report.running + report.waiting - state.estimate_requests(now)
            )

    def _apply_pace(
        self, endpoint: EndpointRecord, report: LoadReport, reported_at: float
    ) -> None:
        state = self._get_state(endpoint)
        state.service = endpoint.service
        state.pace.record(report.slowdown or 1, reported_at)
        load = self.get_service_load(endpoint.service)
        load.paced_at = max(load.paced_at, reported_at)
        load.record_report(report)
        step_class = self.get_class(endpoint)
        if step_class is not None:
            load.batches[step_class].record_report(
                report.running + report.waiting
            )
        self._updates.pop(endpoint.name, None)
        self._updates[endpoint.name] = None
