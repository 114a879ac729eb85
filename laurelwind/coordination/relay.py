"""Relays requests unchanged, from route lookup to delivery of the answer."""

import anyio
from attrs import frozen

from laurelwind.coordination.delivery import (
    Delivery,
    DeliveryDependencies,
    LowConfidenceError,
)
from laurelwind.coordination.model_planning import ModelPlanner
from laurelwind.coordination.relay_jobs import Attempt, Job
from laurelwind.coordination.retries import draw_retry_after
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.sending import Sender, SenderDependencies
from laurelwind.coordination.silence_monitor import SilenceMonitor
from laurelwind.coordination.tracker import Tracker
from laurelwind.decisions import DecisionLog
from laurelwind.errors import (
    CallerError,
    CapacityError,
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.exchanges import CallerAnswer, RelayRequest
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.routes import Route, Workspace


@frozen(kw_only=True)
class RelayDependencies:
    """Collaborators of a :class:`Relay`.

    :ivar tracker: holds the routing table in force.
    :ivar lease: freshness lease of the routing table.
    :ivar placement: tracks the state of endpoints.
    :ivar planner: plans the model cascade.
    :ivar sender: sends requests to endpoints.
    :ivar delivery: delivers answers to callers.
    :ivar log: decision log.
    """

    tracker: Tracker
    lease: FreshnessLease
    placement: Placement
    planner: ModelPlanner
    sender: Sender
    delivery: Delivery
    log: DecisionLog


def build_relay(
    *, dependencies: SenderDependencies, metrics: RelayMetrics
) -> 'Relay':
    """Build a relay with its sender, delivery and planner.

    :param dependencies: collaborators of the sender.
    :param metrics: latency metrics.
    """
    planner = ModelPlanner()
    sender = Sender(dependencies=dependencies)
    delivery = Delivery(
        dependencies=DeliveryDependencies(
            selector=sender.selector,
            monitor=SilenceMonitor(sender=sender, log=dependencies.log),
            placement=dependencies.placement,
            rollouts=dependencies.rollouts,
            planner=planner,
            metrics=metrics,
            log=dependencies.log,
        )
    )
    return Relay(
        dependencies=RelayDependencies(
            tracker=dependencies.tracker,
            lease=dependencies.lease,
            placement=dependencies.placement,
            planner=planner,
            sender=sender,
            delivery=delivery,
            log=dependencies.log,
        )
    )


class Relay:
    """Relays requests to endpoints, and their answers to the callers.

    :param dependencies: collaborators of the relay.
    """

    def __init__(self, *, dependencies: RelayDependencies) -> None:
        self._dependencies = dependencies
        self.in_flight = 0

    async def serve(
        self,
        request: RelayRequest,
        answer: CallerAnswer,
        arrived_at: float,
    ) -> None:
        """Serve a request.

        :param request: the request.
        :param answer: answer to the caller.
        :param arrived_at: moment of arrival, on the monotonic clock.
        :raises LaurelwindError: if the request is refused or fails.
        """
        self.in_flight += 1
        try:
            await self._serve_job(
                await self._admit(request, arrived_at), answer
            )
        finally:
            self.in_flight -= 1

    async def _serve_job(self, job: Job, answer: CallerAnswer) -> None:
        try:
            await self._serve_within_deadline(job, answer)
        except LaurelwindError:
            if job.saved_failure is None or answer.has_begun:
                raise
            # The endpoint's failure answer is more informative than this error.
            saved_failure = job.saved_failure
            await answer.begin(
                saved_failure.head.status,
                saved_failure.head.headers,
                len(saved_failure.body),
            )
            await answer.finish(saved_failure.body)

    async def _serve_within_deadline(
        self, job: Job, answer: CallerAnswer
    ) -> None:
        with anyio.move_on_after(job.remaining_s):
            await self._run_attempts(job, answer)
            return
        if job.attempts:
            raise EndpointError(
                ErrorKind.DEADLINE_EXCEEDED,
                'no complete answer within the deadline',
            )
        raise CapacityError(
            ErrorKind.NO_ENDPOINT,
            'no endpoint accepted the request within the deadline',
        )

    async def _admit(self, request: RelayRequest, arrived_at: float) -> Job:
        match = self._resolve_route(request)
        if isinstance(match, ErrorKind):
            # A stale table must not cause a denial: the route or key may have
            # been added since, so confirm that the table is the newest first.
            if not await self._dependencies.tracker.ensure_current():
                raise CapacityError(
                    ErrorKind.NOT_READY,
                    'the routing table could not be confirmed as the newest',
                    retry_after_s=draw_retry_after(),
                )
            match = self._resolve_route(request)
        if isinstance(match, ErrorKind):
            raise CallerError(
                match, 'the routing table has no such route or key'
            )
        return self._build_job(request, match, arrived_at)

    def _resolve_route(
        self, request: RelayRequest
    ) -> tuple[Route, Workspace | None] | ErrorKind:
        table = self._dependencies.tracker.table
        if table is None:
            raise CapacityError(
                ErrorKind.NOT_READY,
                'no routing table has been loaded yet',
                retry_after_s=draw_retry_after(),
            )
        if not self._dependencies.lease.is_valid:
            age = round(self._dependencies.lease.age_s, 1)
            raise CapacityError(
                ErrorKind.NOT_READY,
                f'the routing table was last confirmed {age} s ago',
                retry_after_s=draw_retry_after(),
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

    def _build_job(
        self,
        request: RelayRequest,
        match: tuple[Route, Workspace | None],
        arrived_at: float,
    ) -> Job:
        route, workspace = match
        timeout_s = route.timeout_s
        if request.deadline_s is not None:
            timeout_s = min(timeout_s, request.deadline_s)
        return Job(
            request=request,
            route=route,
            workspace=workspace,
            service=route.choose_service(request.session or request.request_id),
            arrived_at=arrived_at,
            deadline_at=arrived_at + timeout_s,
            models=self._dependencies.planner.plan(route),
            last_event_id=request.last_event_id,
        )

    async def _run_attempts(self, job: Job, answer: CallerAnswer) -> None:
        while True:
            attempt = await self._dependencies.sender.send(job)
            try:
                if await self._dependencies.delivery.deliver(
                    job, attempt, answer
                ):
                    return
            except EndpointError as error:
                self._record_failure(job, attempt, error)
                self._ensure_retry_possible(job, error, answer)
            except LowConfidenceError:
                job.may_have_run = True
                job.model_index += 1
            finally:
                self._dependencies.placement.record_ended(attempt.endpoint)
                with anyio.CancelScope(shield=True):
                    await attempt.exchange.close()

    def _record_failure(
        self, job: Job, attempt: Attempt, error: EndpointError
    ) -> None:
        dependencies = self._dependencies
        is_silent = isinstance(error, EndpointSilentError)
        obstacle = None
        backoff_s: float = 0
        if error.run is not RunState.NOT_RUN:
            job.may_have_run = True
            obstacle = dependencies.sender.selector.find_obstacle(
                job, attempt.endpoint
            )
            backoff_s = dependencies.sender.record_failure(
                attempt.endpoint, attempt.elapsed_s
            )
            # Silence indicates load or a network fault, not a fault of the
            # version.
            if not is_silent:
                dependencies.delivery.record_answer(job, attempt, failed=True)
        job.record_failure(
            attempt.endpoint.name,
            is_silent=is_silent,
            is_refusal=error.run is RunState.NOT_RUN,
        )
        dependencies.log.log_warning(
            'attempt_failed',
            request=job.request.request_id,
            route=job.route.name,
            endpoint=attempt.endpoint.name,
            version=attempt.endpoint.version,
            model=attempt.model,
            reason=error.message,
            run=error.run,
            events=job.events,
            given_up=is_silent,
            silent_s=round(attempt.silent_s, 3),
            obstacle=obstacle,
            paused_s=backoff_s,
            elapsed_ms=job.elapsed_ms,
        )

    def _ensure_retry_possible(
        self, job: Job, error: EndpointError, answer: CallerAnswer
    ) -> None:
        if error.run is not RunState.NOT_RUN and not job.route.is_repeatable:
            raise error
        if answer.has_begun and not job.last_event_id:
            raise error
        self._dependencies.sender.selector.ensure_retry_allowed(job, error)
