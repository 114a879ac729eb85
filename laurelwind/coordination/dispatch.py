"""Serves chat requests: planning, fetching, rating, charging, delivery."""

import random
import time
from collections.abc import Mapping
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from laurelwind.coordination.attempts import AnswerFetcher
from laurelwind.coordination.cascade import CascadePlanner, Plan, find_version
from laurelwind.coordination.chat_answers import ChatAnswerHead, ChatAnswerSink
from laurelwind.coordination.chat_requests import ChatRequest, FetchState
from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.coordination.ledger import Ledger
from laurelwind.coordination.quarantine import Quarantine
from laurelwind.coordination.retries import RetryBudget
from laurelwind.errors import (
    CapacityError,
    EndpointError,
    ErrorKind,
    LaurelwindError,
    PlatformError,
    RunState,
)
from laurelwind.metrics import Metrics
from laurelwind.protocol.answers import read_text
from laurelwind.protocol.endpoints import NO_PART, AnswerProgress
from laurelwind.protocol.platform import RatingRequest, RatingService
from laurelwind.state.document import Preference, Version
from laurelwind.state.evidence import Subject
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.records import Charge, ChargeLine, StepResult
from laurelwind.tracing import Tracing

_TOKENS_PER_PRICE_UNIT: Final = 1000
_RATING_TIMEOUT_S: Final[Mapping[Preference, float]] = {
    Preference.LATENCY: 0.4,
    Preference.CERTAINTY: 3.0,
}


_AUDIT_SHARES: Final[Mapping[Preference, float]] = {
    Preference.LATENCY: 0.05,
    Preference.CERTAINTY: 0.2,
}
_AUDIT_TIMEOUT_S: Final = 10.0
_MAX_CONCURRENT_AUDITS: Final = 64


@define(kw_only=True)
class _Delivery:
    """One chat request with its plan, charge lines and answer sink."""

    fetch_state: FetchState
    sink: ChatAnswerSink
    plan: Plan
    lines: list[ChargeLine] = field(factory=list)
    has_begun: bool = False
    is_escalated: bool = False
    started_at: float = field(factory=read_monotonic_clock)

    @property
    def request(self) -> ChatRequest:
        """The request being served."""
        return self.fetch_state.request


@frozen(kw_only=True)
class DispatchDependencies:
    """Collaborators of a chat dispatcher."""

    follower: ConfigurationFollower
    fetcher: AnswerFetcher
    ratings: RatingService
    ledger: Ledger
    quarantine: Quarantine
    planner: CascadePlanner
    budget: RetryBudget
    metrics: Metrics
    tracing: Tracing


class ChatDispatcher:
    """Serves chat requests.

    :param dependencies: collaborators.
    """

    def __init__(self, *, dependencies: DispatchDependencies) -> None:
        self._dependencies = dependencies
        self._random = random.Random()
        self._task_group: TaskGroup | None = None
        self._active_audits = 0

    def start(self, task_group: TaskGroup) -> None:
        """Start the fetcher, and enable audits of streamed answers.

        An audit rates one of a sample of these answers.

        :param task_group: task group that runs the background tasks.
        """
        self._dependencies.fetcher.start(task_group)
        self._task_group = task_group

    async def run(self, request: ChatRequest, sink: ChatAnswerSink) -> None:
        """Serve one request.

        :param request: the chat request.
        :param sink: destination of the answer.
        :raises LaurelwindError: when no complete answer can be delivered.
        """
        self._dependencies.ledger.check_capacity()
        plan = self._plan(request)
        delivery = _Delivery(
            fetch_state=FetchState(request=request), sink=sink, plan=plan
        )
        self._dependencies.budget.record_request()
        try:
            with anyio.fail_after(self._resolve_deadline_s(request)):
                await self._run_steps(delivery)
        except TimeoutError:
            raise CapacityError(
                ErrorKind.DEADLINE_EXCEEDED,
                'deadline exceeded before the answer was complete',
                run=delivery.fetch_state.run_state,
            ) from None
        except LaurelwindError as error:
            if error.run is RunState.NOT_RUN:
                error.run = delivery.fetch_state.run_state
            raise
        except anyio.get_cancelled_exc_class():
            self._charge_cancelled(delivery)
            raise

    def _plan(self, request: ChatRequest) -> Plan:
        document = self._dependencies.follower.current.document
        if request.session is not None:
            return self._dependencies.planner.plan_session(
                document, request.session
            )
        return self._dependencies.planner.plan(
            document, request.workspace, request.requested
        )

    def _resolve_deadline_s(self, request: ChatRequest) -> float:
        document = self._dependencies.follower.current.document
        workspace_limit_s = document.workspaces[
            request.workspace
        ].limits.deadline_s
        if request.deadline_s is None:
            return workspace_limit_s
        return min(request.deadline_s, workspace_limit_s)

    async def _run_steps(self, delivery: _Delivery) -> None:
        for step in delivery.plan.steps:
            delivery.fetch_state.reference = step.reference
            delivery.fetch_state.progress = AnswerProgress()
            if not step.is_buffered:
                await self._run_streamed(delivery)
                return
            if await self._run_buffered(delivery):
                return
            delivery.is_escalated = True

    async def _run_streamed(self, delivery: _Delivery) -> None:
        is_audited = self._should_audit(delivery)
        sent_events: list[bytes] = []

        async def emit(events: bytes) -> None:
            if is_audited:
                sent_events.append(events)
            await self._begin_answer(delivery)
            await delivery.sink.send(events)

        progress = await self._dependencies.fetcher.fetch(
            delivery.fetch_state, emit
        )
        await self._finish_answer(delivery, progress)
        if is_audited:
            self._schedule_audit(
                delivery, b''.join(sent_events) + progress.buffered_events
            )

    async def _run_buffered(self, delivery: _Delivery) -> bool:
        buffered_events: list[bytes] = []

        async def buffer_events(events: bytes) -> None:
            buffered_events.append(events)

        try:
            progress = await self._dependencies.fetcher.fetch(
                delivery.fetch_state, buffer_events
            )
        except (EndpointError, CapacityError):
            self._dependencies.metrics.escalations.labels('failure').inc()
            return False
        events = b''.join(buffered_events)
        if not await self._rate_answer(delivery, events):
            self._add_charge_line(delivery, progress, StepResult.ESCALATED)
            return False
        await self._begin_answer(delivery)
        await delivery.sink.send(events)
        await self._finish_answer(delivery, progress)
        return True

    def _should_audit(self, delivery: _Delivery) -> bool:
        """Return whether to rate an answer that is streamed unrated."""
        document = self._dependencies.follower.current.document
        workspace = document.workspaces[delivery.request.workspace]
        if delivery.plan.task not in workspace.tasks:
            return False
        share = _AUDIT_SHARES[workspace.preference]
        return (
            self._random.random() < share
            and self._active_audits < _MAX_CONCURRENT_AUDITS
        )

    def _schedule_audit(self, delivery: _Delivery, events: bytes) -> None:
        if self._task_group is not None:
            self._task_group.start_soon(self._audit_answer, delivery, events)

    async def _audit_answer(self, delivery: _Delivery, events: bytes) -> None:
        """Rate a delivered answer; only the recorded ratings are affected."""
        self._active_audits += 1
        try:
            rating = await self._dependencies.ratings.rate(
                _build_rating_request(delivery, events), _AUDIT_TIMEOUT_S
            )
        except PlatformError:
            return
        finally:
            self._active_audits -= 1
        self._record_rating(delivery, passed=rating.passed)

    async def _begin_answer(self, delivery: _Delivery) -> None:
        if delivery.has_begun:
            return
        delivery.has_begun = True
        self._dependencies.metrics.first_part_seconds.observe(
            read_monotonic_clock() - delivery.started_at
        )
        await delivery.sink.begin(
            ChatAnswerHead(
                request_id=delivery.request.request_id,
                reference=delivery.fetch_state.reference,
                is_escalated=delivery.is_escalated,
            )
        )

    async def _finish_answer(
        self, delivery: _Delivery, progress: AnswerProgress
    ) -> None:
        self._add_charge_line(delivery, progress, StepResult.DELIVERED)
        await self._charge(delivery)
        await self._begin_answer(delivery)
        await delivery.sink.finish(progress.buffered_events)
        self._dependencies.metrics.requests.labels(
            delivery.request.workspace,
            delivery.fetch_state.reference,
            'delivered',
        ).inc()

    async def _rate_answer(self, delivery: _Delivery, events: bytes) -> bool:
        document = self._dependencies.follower.current.document
        workspace = document.workspaces[delivery.request.workspace]
        request = _build_rating_request(
            delivery, events + delivery.fetch_state.progress.buffered_events
        )
        with self._dependencies.tracing.tracer.start_as_current_span('rating'):
            try:
                rating = await self._dependencies.ratings.rate(
                    request, _RATING_TIMEOUT_S[workspace.preference]
                )
            except PlatformError:
                self._dependencies.metrics.escalations.labels('unrated').inc()
                return workspace.preference is Preference.LATENCY
        self._record_rating(delivery, passed=rating.passed)
        return rating.passed

    def _record_rating(self, delivery: _Delivery, *, passed: bool) -> None:
        subject = Subject(
            workspace=delivery.request.workspace,
            task=delivery.plan.task,
            reference=delivery.fetch_state.reference,
        )
        self._dependencies.quarantine.record_rating(subject, passed=passed)
        if not passed:
            self._dependencies.metrics.escalations.labels('failed').inc()

    def _add_charge_line(
        self,
        delivery: _Delivery,
        progress: AnswerProgress,
        step_result: StepResult,
    ) -> None:
        reference = delivery.fetch_state.reference
        document = self._dependencies.follower.current.document
        usage = progress.usage
        prompt = 0 if usage is None else usage.prompt_tokens
        completion = (
            progress.last_part + 1 if usage is None else usage.completion_tokens
        )
        delivery.lines.append(
            ChargeLine(
                reference=reference,
                prompt_tokens=prompt,
                completion_tokens=completion,
                amount=_calculate_amount(
                    find_version(document, reference), prompt, completion
                ),
                ended=step_result,
            )
        )
        delivery.fetch_state.progress = AnswerProgress()

    async def _charge(self, delivery: _Delivery) -> None:
        charge = _take_charge(delivery)
        with self._dependencies.tracing.tracer.start_as_current_span('charge'):
            await self._dependencies.ledger.charge(charge)

    def _charge_cancelled(self, delivery: _Delivery) -> None:
        """Charge the steps that ran before the request was cancelled."""
        progress = delivery.fetch_state.progress
        if progress.last_part != NO_PART:
            self._add_charge_line(delivery, progress, StepResult.CANCELLED)
        if delivery.lines:
            self._dependencies.ledger.charge_later(_take_charge(delivery))


def _take_charge(delivery: _Delivery) -> Charge:
    """Build the charge of a request from its lines, and remove them."""
    lines = tuple(delivery.lines)
    delivery.lines.clear()
    return Charge(
        request_id=delivery.request.request_id,
        workspace=delivery.request.workspace,
        charged_at=time.time(),
        lines=lines,
    )


def _build_rating_request(delivery: _Delivery, events: bytes) -> RatingRequest:
    return RatingRequest(
        request_id=delivery.request.request_id,
        workspace=delivery.request.workspace,
        task=delivery.plan.task,
        reference=delivery.fetch_state.reference,
        prompt=_extract_prompt(delivery.request.body),
        answer=read_text(events),
    )


def _calculate_amount(
    version: Version | None, prompt: int, completion: int
) -> int:
    if version is None:
        return 0
    amount = version.price.prompt * prompt
    amount += version.price.completion * completion
    return -(-amount // _TOKENS_PER_PRICE_UNIT)


def _extract_prompt(body: Mapping[str, Any]) -> str:
    messages = body.get('messages', ())
    texts = [
        message.get('content')
        for message in messages
        if isinstance(message, dict)
    ]
    return '\n'.join(text for text in texts if isinstance(text, str))
