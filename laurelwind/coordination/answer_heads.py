"""Waits for the heads of answers."""

from collections.abc import Set
from typing import Final

from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.silence import SilenceTimeouts
from laurelwind.coordination.silence_monitor import (
    SilenceLimit,
    SilenceMonitor,
)
from laurelwind.errors import (
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.state.load import read_monotonic_clock

# Time-out for the first byte of a retryable plain call, as a multiple of the
# latency goal, which is short compared with the work of such calls.
PLAIN_FIRST_BYTE_RATIO: Final = 2.0
# Statuses by which callers may conclude that a request did not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_MISDIRECTED: Final = 421
_FIRST_FINAL_STATUS: Final = 200
_END_OF_STATUSES: Final = 600
_FINAL_STATUSES: Final = range(_FIRST_FINAL_STATUS, _END_OF_STATUSES)


class HeadReader:
    """Reads the heads of answers and records how long they took.

    :param placement: tracks the state of endpoints.
    :param monitor: decides when silence ends an attempt.
    """

    def __init__(
        self, *, placement: Placement, monitor: SilenceMonitor
    ) -> None:
        self._placement = placement
        self._monitor = monitor
        self._silence_timeouts = SilenceTimeouts()

    async def read(self, job: Job, attempt: Attempt) -> AnswerHead:
        """Return the head of an answer.

        :param job: the request.
        :param attempt: the attempt that is answered.
        :raises EndpointError: if the endpoint is silent for too long, or its
            connection breaks.
        """
        limit = SilenceLimit(
            timeout_s=self._compute_timeout(job, attempt),
            awaited='first byte',
            run=RunState.UNKNOWN,
        )
        try:
            head = await self._monitor.read(
                job, attempt, limit, attempt.exchange.read_head
            )
        except EndpointSilentError:
            self._record_wait(job, attempt)
            raise
        self._record_wait(job, attempt)
        attempt.first_byte_at = read_monotonic_clock()
        self._placement.record_first_byte(
            attempt.endpoint,
            attempt.first_byte_at - attempt.sent_at,
            attempt.prefill_s,
        )
        return head

    def discard_routes(self, names: Set[str]) -> None:
        """Discard the waits of routes that were removed.

        :param names: names of the routes.
        """
        self._silence_timeouts.discard_routes(names)

    def _record_wait(self, job: Job, attempt: Attempt) -> None:
        self._silence_timeouts.record_wait(
            _get_silence_group(job, attempt),
            attempt.elapsed_s,
            attempt.expected_delay_s,
        )

    def _compute_timeout(self, job: Job, attempt: Attempt) -> float | None:
        # Queueing delay is no sign of a fault, and a retry elsewhere would only
        # add load, so the time-out includes it.
        if not job.route.is_repeatable:
            return None
        goal_s = job.route.latency_goal_s
        if job.is_stream:
            return self._silence_timeouts.compute_timeout(
                _get_silence_group(job, attempt),
                attempt.expected_delay_s,
                goal_s,
            )
        if job.attempts >= job.route.max_attempts:
            return None
        return goal_s * PLAIN_FIRST_BYTE_RATIO + attempt.expected_delay_s


def _get_silence_group(job: Job, attempt: Attempt) -> tuple[str, str]:
    return job.route.name, attempt.model


def check_head(head: AnswerHead) -> None:
    """Check that an answer may be delivered.

    :param head: head of the answer.
    :raises EndpointError: if the endpoint refused the request, or its status
        must not reach the caller.
    """
    if head.status not in _FINAL_STATUSES:
        # The HTTP server cannot send it on.
        raise EndpointError(
            ErrorKind.ANSWER_BROKEN,
            f'the endpoint answered with the unknown status {head.status}',
            run=RunState.RAN,
        )
    if head.did_not_run or head.status == _MISDIRECTED:
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            f'the endpoint refused the request with status {head.status}',
            run=RunState.NOT_RUN,
        )
    if head.status in _NOT_RUN_STATUSES:
        # Callers may take this status as proof that the request did not run.
        # The endpoint does not declare that, so the request may have run.
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            f'the endpoint answered with status {head.status}',
            run=RunState.RAN,
        )
