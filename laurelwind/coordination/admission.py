"""Admits requests by the routing table in force."""

import math
import random
from typing import Final

import anyio
from attrs import field, frozen

from laurelwind.coordination.model_planning import ModelPlanner
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.retries import draw_retry_after
from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.return_times import compute_outage_delay
from laurelwind.coordination.startup import StartupWait
from laurelwind.coordination.tracker import Tracker
from laurelwind.decisions import DecisionLog
from laurelwind.errors import CallerError, CapacityError, ErrorKind
from laurelwind.protocol.exchanges import RelayRequest
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.routes import Route, Workspace

# Shortest wait for a confirmation of the table that is logged.
LOGGED_WAIT_S: Final = 0.01
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class AdmissionDependencies:
    """Collaborators of an :class:`Admission`.

    :ivar tracker: holds the routing table in force.
    :ivar lease: freshness lease of the routing table.
    :ivar planner: plans the model cascade.
    :ivar log: decision log.
    :ivar decisions: makes load decisions.
    :ivar start_wait_s: seconds after the start in which requests wait until
        the daemon is ready.
    """

    tracker: Tracker
    lease: FreshnessLease
    planner: ModelPlanner
    log: DecisionLog
    decisions: LoadDecisions = field(factory=LoadDecisions)
    start_wait_s: float = 0


class Admission:
    """Checks requests against the routing table and builds their jobs.

    :param dependencies: collaborators.
    """

    def __init__(self, *, dependencies: AdmissionDependencies) -> None:
        self._dependencies = dependencies
        self._started_at = read_monotonic_clock()
        self._startup = StartupWait(
            limit_s=dependencies.start_wait_s,
            is_ready=lambda: dependencies.tracker.is_ready,
        )

    async def admit(self, request: RelayRequest, arrived_at: float) -> Job:
        """Build the job of a request that the routing table allows.

        :param request: the request.
        :param arrived_at: moment of arrival, on the monotonic clock.
        :raises CallerError: if the newest table has no such route or key.
        :raises CapacityError: if the table is too old or cannot be confirmed
            as the newest.
        """
        await self._startup.wait()
        match = self._resolve_route(request)
        if isinstance(match, ErrorKind):
            # A stale table must not cause a denial: the route or key may have
            # been added since, so confirm that the table is the newest first.
            if not await self._confirm_table(request, match, arrived_at):
                raise CapacityError(
                    ErrorKind.NOT_READY,
                    'the routing table could not be confirmed as the newest',
                    retry_after_s=self._draw_return_delay(request),
                )
            match = self._resolve_route(request)
        if isinstance(match, ErrorKind):
            raise CallerError(
                match, 'the routing table has no such route or key'
            )
        route, _ = match
        if not route.shares:
            raise CapacityError(
                ErrorKind.NO_ENDPOINT,
                f'route {route.name} has no service with a weight above zero',
                retry_after_s=draw_retry_after(),
            )
        return self._build_job(request, match, arrived_at)

    async def _confirm_table(
        self, request: RelayRequest, reason: ErrorKind, arrived_at: float
    ) -> bool:
        started_at = read_monotonic_clock()
        limit_s = math.inf
        if request.deadline_s is not None:
            limit_s = arrived_at + request.deadline_s - started_at
        is_current = False
        try:
            with anyio.move_on_after(limit_s):
                is_current = await self._dependencies.tracker.ensure_current()
        finally:
            waited_s = read_monotonic_clock() - started_at
            if waited_s >= LOGGED_WAIT_S or not is_current:
                self._dependencies.log.log_info(
                    'admission_waited',
                    request=request.request_id,
                    reason=reason,
                    waited_ms=round(waited_s * _MS_PER_S),
                    is_current=is_current,
                )
        return is_current

    def _resolve_route(
        self, request: RelayRequest
    ) -> tuple[Route, Workspace | None] | ErrorKind:
        table = self._dependencies.tracker.table
        if table is None:
            raise CapacityError(
                ErrorKind.NOT_READY,
                'no routing table has been loaded yet',
                retry_after_s=self._draw_return_delay(request),
            )
        if not self._dependencies.lease.is_valid:
            age = round(self._dependencies.lease.age_s, 1)
            raise CapacityError(
                ErrorKind.NOT_READY,
                f'the routing table was last confirmed {age} s ago',
                retry_after_s=self._draw_return_delay(request),
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            return ErrorKind.ROUTE_UNKNOWN
        if route.is_public:
            return route, None
        workspace = table.workspaces.get(request.key)
        if workspace is None and table.requires_key:
            return ErrorKind.KEY_UNKNOWN
        return route, workspace

    def _draw_return_delay(self, request: RelayRequest) -> float:
        now = read_monotonic_clock()
        if not self._dependencies.decisions.is_active(now):
            return draw_retry_after()
        uptime_s = now - self._started_at
        return compute_outage_delay(
            min(self._dependencies.lease.age_s, uptime_s),
            request.deadline_s,
            random.random(),
        )

    def _build_job(
        self,
        request: RelayRequest,
        match: tuple[Route, Workspace | None],
        arrived_at: float,
    ) -> Job:
        route, workspace = match
        service = route.choose_service(request.session or request.request_id)
        table = self._dependencies.tracker.table
        timeout_s = route.timeout_s
        if request.deadline_s is not None:
            timeout_s = min(timeout_s, request.deadline_s)
        return Job(
            request=request,
            route=route,
            workspace=workspace,
            service=service,
            engine=None if table is None else table.services.get(service),
            arrived_at=arrived_at,
            deadline_at=arrived_at + timeout_s,
            models=self._dependencies.planner.plan(route),
            last_event_id=request.last_event_id,
        )
