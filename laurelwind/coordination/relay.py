"""Serves a caller's request as it is, from its route to its answer."""

import anyio
from attrs import frozen

from laurelwind.coordination.delivery import AnswerDoubtedError, Delivery
from laurelwind.coordination.jobs import Attempt, Job
from laurelwind.coordination.placement import Placement
from laurelwind.coordination.sending import COME_BACK_S, Sender
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
from laurelwind.state.leases import FreshnessLease


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
            await self._serve(self._admit(request, arrived_at), answer)
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

    def _admit(self, request: RelayRequest, arrived_at: float) -> Job:
        parts = self._parts
        table = parts.tracker.table
        if table is None:
            raise CapacityError(
                ErrorKind.NOT_READY,
                'no routing table has been read yet',
                retry_after_s=COME_BACK_S,
            )
        if not parts.lease.is_valid:
            raise CapacityError(
                ErrorKind.NOT_READY,
                'the routing table was last known to be the newest '
                f'{parts.lease.age_s:.1f} s ago',
                retry_after_s=COME_BACK_S,
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            raise self._explain_unknown(ErrorKind.ROUTE_UNKNOWN)
        workspace = table.workspaces.get(request.key)
        if workspace is None and table.requires_key and not route.is_public:
            raise self._explain_unknown(ErrorKind.KEY_UNKNOWN)
        timeout_s = route.timeout_s
        if request.deadline_s is not None:
            timeout_s = min(timeout_s, request.deadline_s)
        return Job(
            request=request,
            route=route,
            workspace=None if route.is_public else workspace,
            service=route.choose_service(request.session or request.request_id),
            arrived_at=arrived_at,
            deadline_at=arrived_at + timeout_s,
            models=parts.planner.plan(route),
            last_event_id=request.last_event_id,
        )

    def _explain_unknown(self, kind: ErrorKind) -> LaurelwindError:
        # Only knowledge that is certainly the newest may say that something
        # does not exist; older knowledge may not have seen it yet.
        parts = self._parts
        if parts.lease.age_s > parts.tracker.denial_age_s:
            return CapacityError(
                ErrorKind.NOT_READY,
                'the routing table may have changed',
                retry_after_s=COME_BACK_S,
            )
        return CallerError(kind, 'no route or no key of this kind is in force')

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
