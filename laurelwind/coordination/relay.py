"""Serves a caller's request as it is, from its route to its answer."""

import anyio
from attrs import frozen

from laurelwind.coordination.delivery import (
    AnswerDoubtedError,
    Delivery,
    DeliveryParts,
)
from laurelwind.coordination.jobs import Attempt, Job
from laurelwind.coordination.placement import Placement
from laurelwind.coordination.sending import Sender, SenderParts, draw_return
from laurelwind.coordination.sizing import ModelPlanner
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
class RelayParts:
    """What a relay works with.

    :ivar tracker: knows what is in force.
    :ivar lease: how old that knowledge may be.
    :ivar placement: remembers how endpoints did.
    :ivar planner: chooses models.
    :ivar sender: sends requests.
    :ivar delivery: passes answers on.
    :ivar log: where decisions are written.
    """

    tracker: Tracker
    lease: FreshnessLease
    placement: Placement
    planner: ModelPlanner
    sender: Sender
    delivery: Delivery
    log: DecisionLog


def build_relay(*, parts: SenderParts, metrics: RelayMetrics) -> 'Relay':
    """Put a relay together.

    :param parts: what requests are sent with.
    :param metrics: where latencies are counted.
    """
    planner = ModelPlanner()
    sender = Sender(parts=parts)
    delivery = Delivery(
        parts=DeliveryParts(
            sender=sender,
            placement=parts.placement,
            rollouts=parts.rollouts,
            planner=planner,
            metrics=metrics,
            log=parts.log,
        )
    )
    return Relay(
        parts=RelayParts(
            tracker=parts.tracker,
            lease=parts.lease,
            placement=parts.placement,
            planner=planner,
            sender=sender,
            delivery=delivery,
            log=parts.log,
        )
    )


class Relay:
    """Passes requests on, and their answers back.

    :param parts: what it works with.
    """

    def __init__(self, *, parts: RelayParts) -> None:
        self._parts = parts
        self.in_flight = 0

    async def serve(
        self,
        request: RelayRequest,
        answer: CallerAnswer,
        arrived_at: float,
    ) -> None:
        """Serve one request.

        :param request: the request.
        :param answer: where its answer goes.
        :param arrived_at: when it arrived, on the monotonic clock.
        :raises LaurelwindError: when it is refused or fails.
        """
        self.in_flight += 1
        try:
            await self._serve(await self._admit(request, arrived_at), answer)
        finally:
            self.in_flight -= 1

    async def _serve(self, job: Job, answer: CallerAnswer) -> None:
        try:
            await self._serve_in_time(job, answer)
        except LaurelwindError:
            if job.kept is None or answer.has_begun:
                raise
            # What an endpoint said itself tells more than our own failure.
            kept = job.kept
            await answer.begin(
                kept.head.status, kept.head.headers, len(kept.body)
            )
            await answer.finish(kept.body)

    async def _serve_in_time(self, job: Job, answer: CallerAnswer) -> None:
        with anyio.move_on_after(job.left_s):
            await self._attempt_until_answered(job, answer)
            return
        if job.attempts:
            raise EndpointError(
                ErrorKind.DEADLINE_EXCEEDED, 'no whole answer came in time'
            )
        raise CapacityError(
            ErrorKind.NO_ENDPOINT, 'no endpoint was free in time'
        )

    async def _admit(self, request: RelayRequest, arrived_at: float) -> Job:
        found = self._look_up(request)
        if isinstance(found, ErrorKind):
            # Only knowledge that is certainly the newest may say that
            # something does not exist.
            if not await self._parts.tracker.confirm():
                raise CapacityError(
                    ErrorKind.NOT_READY,
                    'the routing table may have changed',
                    retry_after_s=draw_return(),
                )
            found = self._look_up(request)
        if isinstance(found, ErrorKind):
            raise CallerError(found, 'no such route or key is in force')
        return self._build_job(request, found, arrived_at)

    def _look_up(
        self, request: RelayRequest
    ) -> tuple[Route, Workspace | None] | ErrorKind:
        table = self._parts.tracker.table
        if table is None:
            raise CapacityError(
                ErrorKind.NOT_READY,
                'no routing table has been read yet',
                retry_after_s=draw_return(),
            )
        if not self._parts.lease.is_valid:
            age = round(self._parts.lease.age_s, 1)
            raise CapacityError(
                ErrorKind.NOT_READY,
                f'the routing table was known to be the newest {age} s ago',
                retry_after_s=draw_return(),
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
        found: tuple[Route, Workspace | None],
        arrived_at: float,
    ) -> Job:
        route, workspace = found
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
            models=self._parts.planner.plan(route),
            last_event_id=request.last_event_id,
        )

    async def _attempt_until_answered(
        self, job: Job, answer: CallerAnswer
    ) -> None:
        while True:
            attempt = await self._parts.sender.send(job)
            try:
                if await self._parts.delivery.deliver(job, attempt, answer):
                    return
            except EndpointError as error:
                self._note_failure(job, attempt, error)
                self._check_repeat(job, error, answer)
            except AnswerDoubtedError:
                job.step += 1
            finally:
                self._parts.placement.note_ended(attempt.endpoint)
                with anyio.CancelScope(shield=True):
                    await attempt.exchange.close()

    def _note_failure(
        self, job: Job, attempt: Attempt, error: EndpointError
    ) -> None:
        parts = self._parts
        pause_s: float = 0
        if error.run is not RunState.NOT_RUN:
            job.may_have_run = True
            pause_s = parts.placement.note_failure(attempt.endpoint)
            # Silence speaks of load or of the path, not of the version.
            if not isinstance(error, EndpointSilentError):
                parts.delivery.note_answer(job, attempt, failed=True)
        job.avoided.add(attempt.endpoint.name)
        parts.log.warning(
            'attempt_failed',
            request=job.request.request_id,
            route=job.route.name,
            endpoint=attempt.endpoint.name,
            version=attempt.endpoint.version,
            model=attempt.model,
            reason=error.message,
            run=error.run,
            events=job.events,
            paused_s=pause_s,
            elapsed_ms=job.elapsed_ms,
        )

    def _check_repeat(
        self, job: Job, error: EndpointError, answer: CallerAnswer
    ) -> None:
        if error.run is not RunState.NOT_RUN and not job.route.is_repeatable:
            raise error
        if answer.has_begun and not job.last_event_id:
            raise error
        self._parts.sender.check_room(job, error)
