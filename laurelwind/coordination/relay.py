"""Serves a caller's request as it is, from its route to its answer."""

import abc
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import anyio
from attrs import define, field, frozen

from laurelwind.coordination.budgets import RetryWindows
from laurelwind.coordination.placement import Lane, Placement, Want
from laurelwind.coordination.rollouts import Outcome, RolloutBook
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
from laurelwind.protocol.event_stream import EventSplitter
from laurelwind.protocol.exchanges import (
    AnswerHead,
    Dispatch,
    EndpointExchange,
    EndpointGateway,
    HeaderPairs,
    RelayRequest,
)
from laurelwind.state.directory import EndpointDirectory, EndpointRecord
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.load import read_clock
from laurelwind.state.routes import (
    ModelSize,
    RequestKind,
    Route,
    Workspace,
)

# Answers up to this size are read whole before anything is passed on, so
# that one that breaks off can be asked for again.
WHOLE_BYTES: Final = 1 << 20
# Part of the latency goal after which a repeatable request that has had no
# first byte is sent to another endpoint.
FIRST_BYTE_SHARE: Final = 0.8
# The same for plain calls, whose goals are short beside their work.
PLAIN_BYTE_SHARE: Final = 2.0
# Times a stream's longest timely pause after which it is resumed elsewhere.
# A pause within it comes from long prompts that others send; going elsewhere
# has the whole prompt read once more, and makes such pauses longer.
GAP_SHARE: Final = 2.0
# Prompt tokens that an engine reads in a second with its largest model; other
# models read faster as they cost less.
READ_TOKENS_PER_S: Final = 20000.0
# Work from which a prompt holds up the answers beside it noticeably.
LONG_WORK_S: Final = 0.5
# Least seconds that a request must have left to be sent once more.
LEAST_LEFT_S: Final = 0.05
# Seconds after which callers may come back when nothing can serve them.
COME_BACK_S: Final = 0.8
_PROMISES: Final = frozenset((408, 421, 429, 503))
_LOWEST_RANK: Final = 9


class CallerAnswer(abc.ABC):
    """The answer to one caller."""

    has_begun: bool = False

    @abc.abstractmethod
    async def begin(
        self, status: int, headers: HeaderPairs, length: int | None
    ) -> None:
        """Send the head.

        :param status: HTTP status code.
        :param headers: headers besides the framing.
        :param length: length of the body, or ``None`` where it streams.
        """

    @abc.abstractmethod
    async def send(self, chunk: bytes) -> None:
        """Send a part of the body.

        :param chunk: its bytes.
        """

    @abc.abstractmethod
    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last part of the body.

        :param chunk: its bytes.
        """


@frozen(kw_only=True)
class RelayParts:
    """What a relay works with.

    :ivar tracker: knows what is in force.
    :ivar lease: how old that knowledge may be.
    :ivar directory: the endpoints.
    :ivar rollouts: which versions are to be used.
    :ivar placement: chooses endpoints.
    :ivar planner: chooses models.
    :ivar windows: the retry budget.
    :ivar gateway: reaches endpoints.
    :ivar tell_work: tells other daemons of an endpoint's name and seconds of
        work.
    :ivar log: where decisions are written.
    """

    tracker: Tracker
    lease: FreshnessLease
    directory: EndpointDirectory
    rollouts: RolloutBook
    placement: Placement
    planner: ModelPlanner
    windows: RetryWindows
    gateway: EndpointGateway
    tell_work: Callable[[str, float], Awaitable[None]]
    log: DecisionLog


@define(kw_only=True)
class _Job:
    """One request on its way."""

    request: RelayRequest
    route: Route
    workspace: Workspace | None
    service: str
    arrived_at: float
    deadline_at: float
    models: Sequence[ModelSize] = ()
    attempts: int = 0
    step: int = 0
    may_have_run: bool = False
    avoided: set[str] = field(factory=set)
    head: AnswerHead | None = None
    last_event_id: str = ''
    events: int = 0
    first_at: float = 0
    event_at: float = 0
    longest_gap_s: float = 0

    def note_events(self, count: int) -> None:
        """Note events that are passed on."""
        now = read_clock()
        if self.events:
            self.longest_gap_s = max(self.longest_gap_s, now - self.event_at)
        else:
            self.first_at = now
        self.event_at = now
        self.events += count

    @property
    def left_s(self) -> float:
        return self.deadline_at - read_clock()

    @property
    def elapsed_ms(self) -> int:
        return round((read_clock() - self.arrived_at) * 1000)

    @property
    def first_ms(self) -> int | None:
        if not self.events:
            return None
        return round((self.first_at - self.arrived_at) * 1000)

    @property
    def model(self) -> ModelSize | None:
        if not self.models:
            return None
        return self.models[min(self.step, len(self.models) - 1)]

    def estimate_work(self, tokens: int) -> float:
        """Estimate the seconds that reading some tokens takes."""
        if self.model is None:
            return 0
        dearest = max(model.cost for model in self.models) or 1
        return tokens / READ_TOKENS_PER_S * (self.model.cost or 1) / dearest

    @property
    def work_s(self) -> float:
        return self.estimate_work(self.request.prompt_tokens)

    @property
    def lane(self) -> Lane | None:
        if len(self.models) < 2:
            return None
        return Lane.LONG if self.work_s > LONG_WORK_S else Lane.OTHER

    @property
    def group(self) -> str:
        return self.request.session or self.request.request_id

    @property
    def rank(self) -> int | None:
        if self.route.kind is not RequestKind.STREAMING:
            return None
        rank = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            rank = self.workspace.priority
        return min(max(rank, 0), _LOWEST_RANK)


@define(kw_only=True)
class _Attempt:
    """One request at one endpoint."""

    endpoint: EndpointRecord
    exchange: EndpointExchange
    sent_at: float
    model: str = ''
    has_started: bool = False
    first_at: float = 0
    events: int = 0


class _NotAcceptable(Exception):
    """The model doubts its own answer, and a larger one may do better."""


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
            job = self._admit(request, arrived_at)
            with anyio.move_on_after(job.left_s) as scope:
                await self._run(job, answer)
            if scope.cancelled_caught:
                raise self._explain_timeout(job)
        finally:
            self.in_flight -= 1

    def _admit(self, request: RelayRequest, arrived_at: float) -> _Job:
        parts = self._parts
        table = parts.tracker.table
        if table is None or not parts.lease.is_valid:
            raise CapacityError(
                ErrorKind.NOT_READY,
                'the routing table in force is not known yet',
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
        service = route.choose_service(request.session or request.request_id)
        return _Job(
            request=request,
            route=route,
            workspace=None if route.is_public else workspace,
            service=service,
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

    def _explain_timeout(self, job: _Job) -> LaurelwindError:
        if not job.attempts:
            return CapacityError(
                ErrorKind.NO_ENDPOINT, 'no endpoint was free in time'
            )
        return EndpointError(
            ErrorKind.DEADLINE_EXCEEDED, 'no whole answer came in time'
        )

    async def _run(self, job: _Job, answer: CallerAnswer) -> None:
        while True:
            attempt = await self._send(job)
            try:
                if await self._receive(job, attempt, answer):
                    return
            except EndpointError as error:
                self._note_failure(job, attempt, error)
                self._check_repeat(job, error, answer)
            except _NotAcceptable:
                job.step += 1
            finally:
                self._parts.placement.note_ended(attempt.endpoint)
                with anyio.CancelScope(shield=True):
                    await attempt.exchange.close()

    async def _send(self, job: _Job) -> _Attempt:
        while True:
            endpoint = self._choose(job)
            try:
                return await self._send_to(job, endpoint)
            except EndpointError as error:
                self._note_unsent(job, endpoint, error)

    def _choose(self, job: _Job) -> EndpointRecord:
        parts = self._parts
        ready = parts.rollouts.filter_endpoints(
            job.service, job.group, parts.directory.list_ready(job.service)
        )
        parts_known = job.request.parts[:-1] or job.request.parts
        shared_tokens = sum(part.tokens for part in parts_known)
        want = Want(
            affinity=parts_known[-1].name if parts_known else '',
            saving_s=job.estimate_work(shared_tokens),
            avoided=frozenset(job.avoided),
            lane=job.lane,
        )
        endpoint = parts.placement.choose(ready, want)
        if endpoint is None:
            raise self._explain_no_endpoint(job)
        return endpoint

    def _explain_no_endpoint(self, job: _Job) -> LaurelwindError:
        if job.may_have_run:
            return EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                'every endpoint that was asked failed',
            )
        return CapacityError(
            ErrorKind.NO_ENDPOINT,
            'no endpoint can take the request now',
            retry_after_s=COME_BACK_S,
        )

    async def _send_to(self, job: _Job, endpoint: EndpointRecord) -> _Attempt:
        parts = self._parts
        if not parts.lease.is_valid:
            raise self._explain_stale(job)
        model = job.model
        dispatch = Dispatch(
            address=endpoint.address,
            endpoint=endpoint.name,
            workspace='' if job.workspace is None else job.workspace.name,
            deadline_s=job.left_s,
            model='' if model is None else model.name,
            priority=job.rank,
            last_event_id=job.last_event_id,
        )
        if job.attempts:
            parts.windows.note_repeat(job.service)
        else:
            parts.windows.note_request(job.service)
        job.attempts += 1
        parts.placement.note_sent(endpoint, job.work_s)
        await parts.tell_work(endpoint.name, job.work_s)
        parts.log.note(
            'sent',
            request=job.request.request_id,
            route=job.route.name,
            endpoint=endpoint.name,
            version=endpoint.version,
            model=dispatch.model,
            attempt=job.attempts,
            table=parts.tracker.table and parts.tracker.table.version,
            table_age_ms=round(parts.lease.age_s * 1000),
            left_ms=round(dispatch.deadline_s * 1000),
        )
        try:
            exchange = await parts.gateway.send(job.request, dispatch)
        except BaseException:
            parts.placement.note_ended(endpoint)
            raise
        return _Attempt(
            endpoint=endpoint,
            exchange=exchange,
            sent_at=read_clock(),
            model=dispatch.model,
        )

    def _explain_stale(self, job: _Job) -> LaurelwindError:
        if job.may_have_run:
            return EndpointError(
                ErrorKind.ENDPOINT_FAILED, 'it may not be sent once more'
            )
        return CapacityError(
            ErrorKind.NOT_READY,
            'the routing table in force is not known',
            retry_after_s=COME_BACK_S,
        )

    def _note_unsent(
        self, job: _Job, endpoint: EndpointRecord, error: EndpointError
    ) -> None:
        pause_s = self._parts.placement.note_failure(endpoint)
        job.avoided.add(endpoint.name)
        self._parts.log.warning(
            'not_sent',
            request=job.request.request_id,
            endpoint=endpoint.name,
            reason=error.message,
            run=error.run,
            paused_s=pause_s,
        )
        if error.run is RunState.NOT_RUN:
            job.attempts -= 1
            return
        job.may_have_run = True
        if not job.route.is_repeatable:
            raise error
        self._check_room(job, error)

    async def _receive(
        self, job: _Job, attempt: _Attempt, answer: CallerAnswer
    ) -> bool:
        head = await self._read_head(job, attempt)
        if head.load is not None:
            self._parts.placement.note_report(attempt.endpoint, head.load)
        if head.did_not_run or head.status == 421:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                f'the endpoint refused it with {head.status}',
                run=RunState.NOT_RUN,
            )
        if head.status in _PROMISES:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                f'the endpoint answered {head.status}',
                run=RunState.RAN,
            )
        if head.is_success and job.route.kind is RequestKind.STREAMING:
            await self._relay_stream(job, attempt, head, answer)
            return True
        return await self._relay_whole(job, attempt, head, answer)

    async def _read_head(self, job: _Job, attempt: _Attempt) -> AnswerHead:
        wait_s: float | None = None
        if job.route.is_repeatable and job.attempts < job.route.max_attempts:
            share = PLAIN_BYTE_SHARE
            if job.route.kind is RequestKind.STREAMING:
                share = FIRST_BYTE_SHARE
            wait_s = job.route.latency_goal_s * share
        try:
            with anyio.fail_after(wait_s):
                return await attempt.exchange.read_head()
        except TimeoutError:
            raise EndpointSilentError(
                ErrorKind.ENDPOINT_FAILED,
                f'no first byte within {wait_s} s',
                run=RunState.UNKNOWN,
            ) from None

    async def _relay_whole(
        self,
        job: _Job,
        attempt: _Attempt,
        head: AnswerHead,
        answer: CallerAnswer,
    ) -> bool:
        body = b''
        while len(body) < WHOLE_BYTES:
            chunk = await attempt.exchange.read_chunk()
            if not chunk:
                break
            body += chunk
        if head.length is not None and len(body) < min(
            head.length, WHOLE_BYTES
        ):
            raise EndpointError(
                ErrorKind.ANSWER_BROKEN,
                'the answer was not whole',
                run=RunState.RAN,
            )
        self._note_answer(job, attempt, failed=not head.is_success)
        if head.status >= 500 and job.route.is_repeatable:
            job.may_have_run = True
            job.avoided.add(attempt.endpoint.name)
            if self._has_room(job):
                return False
        await answer.begin(
            head.status,
            head.headers,
            head.length if len(body) >= WHOLE_BYTES else len(body),
        )
        if len(body) >= WHOLE_BYTES:
            await self._relay_rest(attempt, body, answer)
        else:
            await answer.finish(body)
        self._log_answered(job, attempt, head.status)
        return True

    async def _relay_rest(
        self, attempt: _Attempt, body: bytes, answer: CallerAnswer
    ) -> None:
        while body:
            await answer.send(body)
            body = await attempt.exchange.read_chunk()
        await answer.finish()

    async def _relay_stream(
        self,
        job: _Job,
        attempt: _Attempt,
        head: AnswerHead,
        answer: CallerAnswer,
    ) -> None:
        self._check_confidence(job, attempt, head)
        splitter = EventSplitter()
        while True:
            chunk = await self._read_events(job, attempt)
            if not chunk:
                break
            events = splitter.feed(chunk)
            if not events:
                continue
            attempt.events += len(events)
            if not answer.has_begun:
                await answer.begin(head.status, head.headers, None)
            await answer.send(b''.join(event.raw for event in events))
            job.note_events(len(events))
            job.last_event_id = events[-1].event_id or job.last_event_id
        if splitter.has_rest or not job.events:
            raise EndpointError(
                ErrorKind.ANSWER_BROKEN,
                'the stream ended within an event',
                run=RunState.RAN,
            )
        self._note_answer(job, attempt, failed=False)
        await answer.finish()
        self._log_answered(job, attempt, head.status)

    def _check_confidence(
        self, job: _Job, attempt: _Attempt, head: AnswerHead
    ) -> None:
        parts = self._parts
        has_larger = job.step + 1 < len(job.models)
        if job.events or not has_larger or not self._has_room(job):
            return
        room = parts.windows.measure_room(job.service)
        if parts.planner.is_acceptable(head.confidence, room):
            return
        self._note_started(job, attempt)
        parts.placement.note_success(attempt.endpoint)
        parts.log.note(
            'answer_dropped',
            request=job.request.request_id,
            endpoint=attempt.endpoint.name,
            model=attempt.model,
            confidence=head.confidence,
            retry_room=round(room, 2),
        )
        raise _NotAcceptable

    async def _read_events(self, job: _Job, attempt: _Attempt) -> bytes:
        wait_s = None
        if job.route.is_resumable and job.attempts < job.route.max_attempts:
            wait_s = job.route.gap_goal_s * GAP_SHARE
        try:
            with anyio.fail_after(wait_s):
                chunk = await attempt.exchange.read_chunk()
        except TimeoutError:
            raise EndpointSilentError(
                ErrorKind.ENDPOINT_FAILED,
                f'no event within {wait_s} s',
                run=RunState.RAN,
            ) from None
        self._note_started(job, attempt)
        return chunk

    def _note_started(self, job: _Job, attempt: _Attempt) -> None:
        if attempt.has_started:
            return
        attempt.has_started = True
        attempt.first_at = read_clock()

    def _note_answer(
        self, job: _Job, attempt: _Attempt, *, failed: bool
    ) -> None:
        pace_s = read_clock() - attempt.sent_at
        if attempt.events > 1:
            pace_s = (read_clock() - attempt.first_at) / (attempt.events - 1)
        self._parts.rollouts.note_outcome(
            attempt.endpoint,
            Outcome(
                route=job.route.name,
                endpoint=attempt.endpoint.name,
                scale=attempt.model,
                failed=failed,
                pace_s=pace_s,
            ),
        )
        if not failed:
            self._parts.placement.note_success(attempt.endpoint)

    def _note_failure(
        self, job: _Job, attempt: _Attempt, error: EndpointError
    ) -> None:
        parts = self._parts
        if error.run is RunState.NOT_RUN:
            pause_s = 0.0
        else:
            job.may_have_run = True
            pause_s = parts.placement.note_failure(attempt.endpoint)
            # Silence speaks of load or of the path, not of the version.
            if not isinstance(error, EndpointSilentError):
                self._note_answer(job, attempt, failed=True)
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
        self, job: _Job, error: EndpointError, answer: CallerAnswer
    ) -> None:
        if error.run is not RunState.NOT_RUN and not job.route.is_repeatable:
            raise error
        if answer.has_begun and not job.last_event_id:
            raise error
        self._check_room(job, error)

    def _check_room(self, job: _Job, error: EndpointError) -> None:
        if self._has_room(job):
            return
        if job.may_have_run:
            raise error
        raise CapacityError(
            ErrorKind.NO_ENDPOINT,
            'every endpoint that was asked is full',
            retry_after_s=COME_BACK_S,
        ) from error

    def _has_room(self, job: _Job) -> bool:
        if job.attempts >= job.route.max_attempts or job.left_s < LEAST_LEFT_S:
            return False
        return self._parts.windows.measure_room(job.service) > 0

    def _log_answered(self, job: _Job, attempt: _Attempt, status: int) -> None:
        self._parts.log.note(
            'answered',
            request=job.request.request_id,
            route=job.route.name,
            endpoint=attempt.endpoint.name,
            model=attempt.model,
            status=status,
            attempts=job.attempts,
            events=job.events,
            first_ms=job.first_ms,
            longest_gap_ms=round(job.longest_gap_s * 1000),
            elapsed_ms=job.elapsed_ms,
        )
