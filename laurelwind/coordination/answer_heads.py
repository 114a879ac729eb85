"""Waits for the heads of answers, and bounds their silence."""

import contextlib
from collections.abc import Iterator
from typing import Final

import anyio

from laurelwind.coordination.relay_jobs import Attempt, Job
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.silence import SilenceTimeouts
from laurelwind.errors import EndpointSilentError, ErrorKind, RunState
from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.state.load import read_monotonic_clock

# Time-out for the first byte of a retryable plain call, as a multiple of the
# latency goal, which is short compared with the work of such calls.
PLAIN_FIRST_BYTE_RATIO: Final = 2.0


class HeadReader:
    """Reads the heads of answers and records how long they took.

    :param placement: tracks the state of endpoints.
    """

    def __init__(self, *, placement: Placement) -> None:
        self._placement = placement
        self._silence_timeouts = SilenceTimeouts()

    async def read(self, job: Job, attempt: Attempt) -> AnswerHead:
        """Return the head of an answer.

        :param job: the request.
        :param attempt: the attempt that is answered.
        :raises EndpointError: if the endpoint is silent for too long, or its
            connection breaks.
        """
        wait_s = self._compute_first_byte_timeout(job, attempt)
        try:
            with fail_after_silence(
                wait_s, awaited='first byte', run=RunState.UNKNOWN
            ):
                head = await attempt.exchange.read_head()
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

    def _record_wait(self, job: Job, attempt: Attempt) -> None:
        self._silence_timeouts.record_wait(
            _get_silence_group(job, attempt),
            attempt.elapsed_s,
            attempt.expected_delay_s,
        )

    def _compute_first_byte_timeout(
        self, job: Job, attempt: Attempt
    ) -> float | None:
        # Queueing delay is no sign of a fault, and a retry elsewhere would only
        # add load, so the time-out includes it.
        if not job.route.is_repeatable:
            return None
        is_last_attempt = job.attempts >= job.route.max_attempts
        goal_s = job.route.latency_goal_s
        if not job.is_stream:
            if is_last_attempt:
                return None
            return goal_s * PLAIN_FIRST_BYTE_RATIO + attempt.expected_delay_s
        group = _get_silence_group(job, attempt)
        if not is_last_attempt:
            return self._silence_timeouts.compute_timeout(
                group, attempt.expected_delay_s, goal_s
            )
        wait_s = self._silence_timeouts.compute_last_timeout(
            group, attempt.expected_delay_s, goal_s
        )
        # A caller that is told at once can still ask again and be served.
        return wait_s if job.remaining_s - wait_s > goal_s else None


def _get_silence_group(job: Job, attempt: Attempt) -> tuple[str, str]:
    return job.route.name, attempt.model


@contextlib.contextmanager
def fail_after_silence(
    wait_s: float | None, *, awaited: str, run: RunState
) -> Iterator[None]:
    """Raise an error if the body of the ``with`` statement takes too long.

    :param wait_s: longest time in seconds, or ``None`` for no limit.
    :param awaited: what is awaited, for the message.
    :param run: what a time-out tells about the request.
    :raises EndpointSilentError: after that time.
    """
    try:
        with anyio.fail_after(wait_s):
            yield
    except TimeoutError:
        raise EndpointSilentError(
            ErrorKind.ENDPOINT_FAILED,
            f'no {awaited} within {wait_s:.1f} s',
            run=run,
        ) from None
