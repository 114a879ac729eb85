"""Passes an endpoint's answer on to the caller."""

import contextlib
from collections.abc import Iterator
from typing import Final

import anyio
from attrs import frozen

from laurelwind.coordination.jobs import Attempt, Job, WholeAnswer
from laurelwind.coordination.placement import Placement
from laurelwind.coordination.rollouts import RolloutBook
from laurelwind.coordination.sending import Sender
from laurelwind.coordination.sizing import ModelPlanner
from laurelwind.coordination.verdicts import Outcome
from laurelwind.decisions import DecisionLog
from laurelwind.errors import (
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.event_stream import EventSplitter
from laurelwind.protocol.exchanges import AnswerHead, CallerAnswer
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.state.load import read_clock

# Answers up to this size are read whole before anything is passed on, so
# that one that breaks off can be asked for again.
WHOLE_BYTES: Final = 1_048_576
# Part of the latency goal after which a repeatable request that has had no
# first byte is sent to another endpoint.
FIRST_BYTE_SHARE: Final = 0.8
# The same for plain calls, whose goals are short beside their work.
PLAIN_BYTE_SHARE: Final = 2.0
# Times a stream's longest timely pause after which it is resumed elsewhere.
# A pause within it comes from long prompts that others send; going elsewhere
# has the whole prompt read once more, and makes such pauses longer.
GAP_SHARE: Final = 2.0
# Statuses that promise that a request did not run.
_PROMISES: Final = frozenset((408, 421, 429, 503))
_MISDIRECTED: Final = 421
_SERVER_ERROR: Final = 500


class AnswerDoubtedError(Exception):
    """The model doubts its own answer, and a larger one may do better."""


@frozen(kw_only=True)
class DeliveryParts:
    """What a delivery works with.

    :ivar sender: knows whether a request may be sent once more.
    :ivar placement: remembers how endpoints did.
    :ivar rollouts: counts what versions did.
    :ivar planner: decides which answers are kept.
    :ivar metrics: where latencies are counted.
    :ivar log: where decisions are written.
    """

    sender: Sender
    placement: Placement
    rollouts: RolloutBook
    planner: ModelPlanner
    metrics: RelayMetrics
    log: DecisionLog


class Delivery:
    """Reads an answer, and passes it on as far as it is sound.

    :param parts: what it works with.
    """

    def __init__(self, *, parts: DeliveryParts) -> None:
        self._parts = parts

    async def deliver(
        self, job: Job, attempt: Attempt, answer: CallerAnswer
    ) -> bool:
        """Pass an answer on; false where the request is to be sent again.

        :param job: the request.
        :param attempt: where it was sent.
        :param answer: where the answer goes.
        :raises EndpointError: when the answer is not sound.
        :raises AnswerDoubtedError: when a larger model is to be asked.
        """
        head = await self._read_head(job, attempt)
        if head.load is not None:
            self._parts.placement.note_report(attempt.endpoint, head.load)
        _check_head(head)
        if head.is_success and job.is_stream:
            self._check_confidence(job, attempt, head)
            await self._relay_stream(job, attempt, head, answer)
            return True
        return await self._relay_whole(job, attempt, head, answer)

    def note_answer(self, job: Job, attempt: Attempt, *, failed: bool) -> None:
        """Count what an answer says of its version and its endpoint.

        :param job: the request.
        :param attempt: where it was sent.
        :param failed: whether it failed.
        """
        self._parts.rollouts.note_outcome(
            attempt.endpoint,
            Outcome(
                route=job.route.name,
                scale=attempt.model,
                failed=failed,
                pace_s=attempt.pace_s,
            ),
        )
        if not failed:
            self._parts.placement.note_success(attempt.endpoint)

    async def _read_head(self, job: Job, attempt: Attempt) -> AnswerHead:
        wait_s: float | None = None
        if job.route.is_repeatable and job.attempts < job.route.max_attempts:
            share = FIRST_BYTE_SHARE if job.is_stream else PLAIN_BYTE_SHARE
            # Where work waits, silence is no sign of a fault, and going
            # elsewhere would only add to the work.
            wait_s = job.route.latency_goal_s * share + attempt.expected_s
        with _fail_after(wait_s, awaited='first byte', run=RunState.UNKNOWN):
            head = await attempt.exchange.read_head()
        attempt.first_at = read_clock()
        self._parts.placement.note_first_byte(
            attempt.endpoint, attempt.first_at - attempt.sent_at, attempt.work_s
        )
        return head

    async def _relay_whole(
        self,
        job: Job,
        attempt: Attempt,
        head: AnswerHead,
        answer: CallerAnswer,
    ) -> bool:
        body = await _read_whole(attempt)
        has_failed = head.status >= _SERVER_ERROR
        self.note_answer(job, attempt, failed=has_failed)
        if has_failed:
            self._parts.placement.note_error(attempt.endpoint)
        if has_failed and job.route.is_repeatable:
            job.may_have_run = True
            job.avoided.add(attempt.endpoint.name)
            if self._parts.sender.has_room(job):
                job.kept = WholeAnswer(head=head, body=body)
                return False
        if len(body) < WHOLE_BYTES:
            await answer.begin(head.status, head.headers, len(body))
            await answer.finish(body)
        else:
            await answer.begin(head.status, head.headers, head.length)
            await _relay_rest(attempt, body, answer)
        self._log_answered(job, attempt, head.status)
        return True

    async def _relay_stream(
        self,
        job: Job,
        attempt: Attempt,
        head: AnswerHead,
        answer: CallerAnswer,
    ) -> None:
        splitter = EventSplitter()
        while True:
            chunk = await self._read_events(job, attempt)
            if not chunk:
                break
            events = splitter.feed(chunk)
            if not events:
                continue
            self._parts.placement.note_events(
                attempt.endpoint, attempt.note_events(len(events))
            )
            if not answer.has_begun:
                await answer.begin(head.status, head.headers, None)
            await answer.send(b''.join(event.raw for event in events))
            job.note_events(len(events), events[-1].event_id)
        if splitter.has_rest or not job.events:
            raise EndpointError(
                ErrorKind.ANSWER_BROKEN,
                'the stream ended within an event',
                run=RunState.RAN,
            )
        self.note_answer(job, attempt, failed=False)
        await answer.finish()
        self._log_answered(job, attempt, head.status)

    def _check_confidence(
        self, job: Job, attempt: Attempt, head: AnswerHead
    ) -> None:
        parts = self._parts
        if job.events or not job.has_larger_model:
            return
        if not parts.sender.has_room(job):
            return
        job.step += 1
        wait_s = parts.sender.estimate_wait(job)
        job.step -= 1
        if parts.planner.is_acceptable(job, head.confidence, wait_s):
            return
        parts.placement.note_success(attempt.endpoint)
        parts.log.note(
            'answer_dropped',
            request=job.request.request_id,
            endpoint=attempt.endpoint.name,
            model=attempt.model,
            confidence=head.confidence,
            larger_waits_s=round(wait_s, 3),
        )
        raise AnswerDoubtedError

    async def _read_events(self, job: Job, attempt: Attempt) -> bytes:
        wait_s = None
        if job.route.is_resumable and job.attempts < job.route.max_attempts:
            wait_s = job.route.gap_goal_s * GAP_SHARE
        with _fail_after(wait_s, awaited='event', run=RunState.RAN):
            return await attempt.exchange.read_chunk()

    def _log_answered(self, job: Job, attempt: Attempt, status: int) -> None:
        metrics = self._parts.metrics
        metrics.answers.labels(job.route.name).observe(job.elapsed_s)
        metrics.attempts.observe(job.attempts)
        if job.events:
            metrics.first_events.observe(job.first_at - job.arrived_at)
            metrics.gaps.observe(job.longest_gap_s)
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
            longest_gap_s=round(job.longest_gap_s, 3),
            elapsed_ms=job.elapsed_ms,
        )


@contextlib.contextmanager
def _fail_after(
    wait_s: float | None, *, awaited: str, run: RunState
) -> Iterator[None]:
    try:
        with anyio.fail_after(wait_s):
            yield
    except TimeoutError:
        raise EndpointSilentError(
            ErrorKind.ENDPOINT_FAILED,
            f'no {awaited} within {wait_s:.1f} s',
            run=run,
        ) from None


def _check_head(head: AnswerHead) -> None:
    if head.did_not_run or head.status == _MISDIRECTED:
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            f'the endpoint refused it with {head.status}',
            run=RunState.NOT_RUN,
        )
    if head.status in _PROMISES:
        # Without the endpoint's word that it did not run, it may have.
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            f'the endpoint answered {head.status}',
            run=RunState.RAN,
        )


async def _read_whole(attempt: Attempt) -> bytes:
    body = b''
    while len(body) < WHOLE_BYTES:
        chunk = await attempt.exchange.read_chunk()
        if not chunk:
            break
        body += chunk
    return body


async def _relay_rest(
    attempt: Attempt, body: bytes, answer: CallerAnswer
) -> None:
    while body:
        await answer.send(body)
        body = await attempt.exchange.read_chunk()
    await answer.finish()
