"""Delivers the answers of endpoints to callers."""

from typing import Final

from attrs import field, frozen

from laurelwind.coordination.answer_heads import HeadReader, check_head
from laurelwind.coordination.attempt_timing import AttemptTimings
from laurelwind.coordination.continuations import (
    EventReader,
    check_continuation,
    has_all_events,
)
from laurelwind.coordination.endpoint_notices import EndpointNotices
from laurelwind.coordination.model_planning import ModelPlanner
from laurelwind.coordination.plain_answers import (
    AnswerBuffers,
    relay_remaining,
)
from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import BufferedAnswer, Job
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.selection import EndpointSelector
from laurelwind.coordination.silence_monitor import (
    SilenceLimit,
    SilenceMonitor,
)
from laurelwind.coordination.stream_progress import StreamProgress
from laurelwind.coordination.suspects.keys import build_endpoint_key
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.decisions import DecisionLog
from laurelwind.errors import (
    EndpointBrokenError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.exchanges import AnswerHead, CallerAnswer
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.state.load import read_monotonic_clock

# Time-out between the events of a stream, as a multiple of its gap goal; after
# it the stream is resumed at another endpoint if one can take it.  Shorter gaps
# are caused by long prompts in the same batch; resuming then repeats the whole
# prefill and makes such gaps longer.
GAP_TIMEOUT_RATIO: Final = 2.0
_SERVER_ERROR: Final = 500


class LowConfidenceError(Exception):
    """The confidence of an answer is too low; a larger model is tried next."""


@frozen(kw_only=True)
class DeliveryDependencies:
    """Collaborators of a :class:`Delivery`.

    :ivar selector: decides whether a request may be retried.
    :ivar monitor: decides when silence ends an attempt.
    :ivar placement: tracks the state of endpoints.
    :ivar progress: learns from streams, and moves late ones.
    :ivar notices: applies what endpoints report of themselves.
    :ivar rollouts: tracks the outcomes of versions.
    :ivar screen: learns which requests are answered.
    :ivar planner: decides which answers are escalated to a larger model.
    :ivar metrics: latency metrics.
    :ivar log: decision log.
    :ivar buffers: buffers plain answers before they begin.
    """

    selector: EndpointSelector
    monitor: SilenceMonitor
    placement: Placement
    progress: StreamProgress
    notices: EndpointNotices
    rollouts: RolloutRegistry
    screen: SuspectScreen
    planner: ModelPlanner
    metrics: RelayMetrics
    log: DecisionLog
    buffers: AnswerBuffers = field(factory=AnswerBuffers)


class Delivery:
    """Validates the answers of endpoints and delivers them to callers.

    :param dependencies: collaborators of the delivery.
    :ivar heads: reads the heads of answers.
    """

    def __init__(self, *, dependencies: DeliveryDependencies) -> None:
        self._dependencies = dependencies
        self._timings = AttemptTimings(
            rollouts=dependencies.rollouts,
            screen=dependencies.screen,
            directory=dependencies.notices.directory,
        )
        self.heads = HeadReader(
            placement=dependencies.placement, monitor=dependencies.monitor
        )

    async def deliver(
        self, job: Job, attempt: Attempt, answer: CallerAnswer
    ) -> bool:
        """Deliver an answer; return false if the request must be retried.

        :param job: the request.
        :param attempt: the attempt that is answered.
        :param answer: answer to the caller.
        :raises EndpointError: if the answer is refused, late or incomplete.
        :raises StreamLateError: if the stream moves, as it would be late.
        :raises LowConfidenceError: if a larger model must be asked.
        """
        answer.endpoint = attempt.endpoint.name
        with self._timings.track(job, attempt):
            return await self._deliver(job, attempt, answer)

    async def _deliver(
        self, job: Job, attempt: Attempt, answer: CallerAnswer
    ) -> bool:
        head = await self.heads.read(job, attempt)
        self._dependencies.notices.apply(attempt, head)
        check_head(head)
        if answer.has_begun:
            check_continuation(head)
        # The endpoint has taken the request, so that no way back is needed.
        self._dependencies.selector.limits.release_retries(job)
        if head.is_success and job.is_stream:
            self._check_confidence(job, attempt, head)
            await self._relay_stream(job, attempt, head, answer)
            return True
        return await self._relay_buffered(job, attempt, head, answer)

    def record_answer(
        self,
        job: Job,
        attempt: Attempt,
        *,
        failed: bool,
        has_broken: bool = False,
    ) -> None:
        """Record the outcome of an attempt for its version and endpoint.

        :param job: the request.
        :param attempt: the attempt that is answered.
        :param failed: whether the attempt failed.
        :param has_broken: whether its connection broke.
        """
        self._timings.record_outcome(
            job, attempt, failed=failed, has_broken=has_broken
        )
        if not failed:
            self._dependencies.placement.record_success(attempt.endpoint)

    async def _relay_buffered(
        self,
        job: Job,
        attempt: Attempt,
        head: AnswerHead,
        answer: CallerAnswer,
    ) -> bool:
        is_server_error = head.status >= _SERVER_ERROR
        body, is_whole = await self._dependencies.buffers.read(
            attempt, needs_whole=is_server_error
        )
        if is_whole:
            self._record_complete(job, attempt)
        self.record_answer(job, attempt, failed=is_server_error)
        if is_server_error:
            self._dependencies.placement.record_server_error(attempt.endpoint)
        selector = self._dependencies.selector
        if is_server_error and selector.can_retry(job):
            job.excluded_endpoints.add(attempt.endpoint.name)
            if selector.reserve_retry(job):
                if is_whole:
                    job.saved_failure = BufferedAnswer(head=head, body=body)
                return False
        job.has_begun = True
        if is_whole:
            await answer.begin(head.status, head.headers, len(body))
            await answer.finish(body)
        else:
            await answer.begin(head.status, head.headers, head.length)
            await relay_remaining(attempt, body, answer)
            self._record_complete(job, attempt)
        self._log_answered(job, attempt, head.status)
        return True

    async def _relay_stream(
        self,
        job: Job,
        attempt: Attempt,
        head: AnswerHead,
        answer: CallerAnswer,
    ) -> None:
        reader = EventReader(
            last_event_id=job.last_event_id, is_continuation=answer.has_begun
        )
        while True:
            chunk = await self._read_events(job, attempt)
            if not chunk:
                break
            events = reader.feed(chunk)
            if not events:
                continue
            self._record_events(job, attempt, len(events))
            job.has_begun = True
            if not answer.has_begun:
                await answer.begin(head.status, head.headers, None)
            await answer.send(b''.join(event.raw for event in events))
            job.record_events(len(events), reader.resume_id)
            answer.events = job.events
            self._dependencies.progress.review(job, attempt)
        if reader.has_incomplete_event or not has_all_events(
            job, attempt, head
        ):
            raise EndpointBrokenError(
                ErrorKind.ANSWER_BROKEN,
                'the stream ended before its first event or within an event',
                run=RunState.RAN,
            )
        self.record_answer(job, attempt, failed=False)
        self._dependencies.screen.record_completion(job.request_key)
        self._dependencies.progress.record_end(job)
        await answer.finish()
        self._log_answered(job, attempt, head.status)

    def _record_complete(self, job: Job, attempt: Attempt) -> None:
        """Record that an endpoint gave a plain answer to its end."""
        screen = self._dependencies.screen
        screen.record_answer(job.service, job.request.parts)
        screen.record_completion(job.request_key)
        self._dependencies.placement.record_response(attempt.endpoint)

    def _record_events(self, job: Job, attempt: Attempt, count: int) -> None:
        screen = self._dependencies.screen
        if not attempt.events:
            screen.record_answer(job.service, job.request.parts)
            self._dependencies.progress.record_first_event(attempt)
        if attempt.is_up_to_date:
            key = build_endpoint_key(attempt.endpoint)
            screen.record_event(key, attempt.sent_at)
        self._dependencies.placement.record_event_latency(
            attempt.endpoint, attempt.record_events(count)
        )
        self._timings.record_events(job, attempt)

    def _check_confidence(
        self, job: Job, attempt: Attempt, head: AnswerHead
    ) -> None:
        dependencies = self._dependencies
        if job.events or not job.has_larger_model:
            return
        if not dependencies.selector.can_retry(job):
            return
        job.model_index += 1
        wait_s = dependencies.selector.placement.estimate_wait(job)
        job.model_index -= 1
        if dependencies.planner.is_acceptable(job, head.confidence, wait_s):
            return
        if not dependencies.selector.reserve_retry(job):
            return
        dependencies.placement.record_success(attempt.endpoint)
        dependencies.log.log_info(
            'answer_dropped',
            request=job.request.request_id,
            endpoint=attempt.endpoint.name,
            model=attempt.model,
            confidence=head.confidence,
            larger_waits_s=round(wait_s, 3),
        )
        raise LowConfidenceError

    async def _read_events(self, job: Job, attempt: Attempt) -> bytes:
        timeout_s = None
        if job.route.is_resumable and job.attempts < job.route.max_attempts:
            timeout_s = job.route.gap_goal_s * GAP_TIMEOUT_RATIO
        limit = SilenceLimit(
            timeout_s=timeout_s, awaited='event', run=RunState.RAN
        )
        started_at = read_monotonic_clock()
        chunk = await self._dependencies.monitor.read(
            job, attempt, limit, attempt.exchange.read_chunk
        )
        attempt.waited_s = read_monotonic_clock() - started_at
        return chunk

    def _log_answered(self, job: Job, attempt: Attempt, status: int) -> None:
        metrics = self._dependencies.metrics
        metrics.answer_seconds.labels(job.route.name).observe(job.elapsed_s)
        metrics.attempts.observe(job.attempts)
        if job.events:
            metrics.first_event_seconds.observe(
                job.first_event_at - job.arrived_at
            )
            metrics.longest_gap_seconds.observe(job.longest_gap_s)
        self._dependencies.log.log_info(
            'answered',
            request=job.request.request_id,
            route=job.route.name,
            endpoint=attempt.endpoint.name,
            model=attempt.model,
            status=status,
            attempts=job.attempts,
            events=job.events,
            first_ms=job.first_ms,
            longest_gap_s=round(job.longest_gap_s, 3),
            elapsed_ms=job.elapsed_ms,
        )
