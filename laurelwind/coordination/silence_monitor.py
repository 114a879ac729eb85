"""Ends waits for silent endpoints once another endpoint can take over."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import anyio
from attrs import define, frozen

from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.retry_limits import RetryObstacle
from laurelwind.coordination.sending import Sender
from laurelwind.decisions import DecisionLog
from laurelwind.errors import EndpointSilentError, ErrorKind, RunState
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.timers import is_timer_late

# First and longest interval, in seconds, at which a tolerated silence is
# reviewed. It doubles, as a review compares all endpoints of the service.
REVIEW_INTERVAL_S: Final = 0.25
MAX_REVIEW_INTERVAL_S: Final = 1.0
# Time, in seconds, to read what arrived together with a time-out.
SECOND_READ_S: Final = 0.01

_Received = TypeVar('_Received')


@frozen(kw_only=True)
class SilenceLimit:
    """Limit on the silence of an endpoint.

    :ivar timeout_s: seconds after which another endpoint may take over, or
        ``None`` for no limit.
    :ivar awaited: what is awaited, for messages.
    :ivar run: what the silence tells about the request.
    """

    timeout_s: float | None
    awaited: str
    run: RunState


class SilenceMonitor:
    """Reads from endpoints, and decides when their silence ends an attempt.

    An endpoint that is silent may still go on, so its attempt ends only if
    another endpoint would take the request at that moment.

    :param sender: tells whether the request can move, and records silence.
    :param log: decision log.
    """

    def __init__(self, *, sender: Sender, log: DecisionLog) -> None:
        self._sender = sender
        self._log = log

    async def read(
        self,
        job: Job,
        attempt: Attempt,
        limit: SilenceLimit,
        receive: Callable[[], Awaitable[_Received]],
    ) -> _Received:
        """Return what an endpoint sends.

        :param job: the request.
        :param attempt: the attempt that is answered.
        :param limit: limit on the silence.
        :param receive: waits for the endpoint; it may be cancelled and called
            again.
        :raises EndpointError: if the endpoint is silent for too long and
            another one can take over, or its connection breaks.
        """
        timer = _Timer(timeout_s=limit.timeout_s)
        is_extended = False
        while True:
            with timer.start():
                return await receive()
            if timer.must_repeat():
                continue
            slow_s = self._sender.estimate_slowness(attempt, limit.timeout_s)
            if is_extended or not slow_s:
                break
            # An endpoint that is slow by its own reports is not silent yet.
            is_extended = True
            timer = _Timer(timeout_s=min(slow_s, job.remaining_s / 2))
            self._log_slowness(job, attempt, slow_s)
        obstacle = self._leave(job, attempt, limit)
        self._begin_silence(job, attempt, obstacle)
        try:
            received = await self._read_on(job, attempt, limit, receive)
        finally:
            self._sender.end_silence(attempt.endpoint)
        self._log_end(job, attempt)
        return received

    async def _read_on(
        self,
        job: Job,
        attempt: Attempt,
        limit: SilenceLimit,
        receive: Callable[[], Awaitable[_Received]],
    ) -> _Received:
        """Read on, and review from time to time whether to leave."""
        interval_s = REVIEW_INTERVAL_S
        while True:
            with anyio.move_on_after(interval_s):
                return await receive()
            self._leave(job, attempt, limit)
            interval_s = min(interval_s * 2, MAX_REVIEW_INTERVAL_S)

    def _leave(
        self, job: Job, attempt: Attempt, limit: SilenceLimit
    ) -> RetryObstacle:
        """Leave a silent endpoint, or return what rules it out."""
        obstacle = self._sender.selector.reserve_move(job, attempt.endpoint)
        if obstacle is not None:
            return obstacle
        raise EndpointSilentError(
            ErrorKind.ENDPOINT_FAILED,
            f'no {limit.awaited} within {attempt.silent_s:.1f} s',
            run=limit.run,
        )

    def _begin_silence(
        self, job: Job, attempt: Attempt, obstacle: RetryObstacle
    ) -> None:
        # Other requests avoid the endpoint until it goes on.
        self._sender.begin_silence(attempt.endpoint, attempt.silent_s)
        self._log.log_warning(
            'silence_tolerated',
            request=job.request.request_id,
            endpoint=attempt.endpoint.name,
            silent_s=round(attempt.silent_s, 3),
            obstacle=obstacle,
            events=job.events,
            left_s=round(job.remaining_s, 3),
        )

    def _log_slowness(self, job: Job, attempt: Attempt, slow_s: float) -> None:
        self._log.log_info(
            'slowness_tolerated',
            request=job.request.request_id,
            endpoint=attempt.endpoint.name,
            silent_s=round(attempt.silent_s, 3),
            slow_s=round(slow_s, 3),
            events=job.events,
            left_s=round(job.remaining_s, 3),
        )

    def _log_end(self, job: Job, attempt: Attempt) -> None:
        self._log.log_info(
            'silence_ended',
            request=job.request.request_id,
            endpoint=attempt.endpoint.name,
            silent_s=round(attempt.silent_s, 3),
            events=job.events,
        )


@define(kw_only=True)
class _Timer:
    """Time-out of a wait, repeated once before it counts.

    :ivar timeout_s: length in seconds, or ``None`` for no limit.
    :ivar started_at: moment of the last start, on the monotonic clock.
    :ivar is_repeated: whether it was repeated.
    """

    timeout_s: float | None
    started_at: float = 0
    is_repeated: bool = False

    def start(self) -> anyio.CancelScope:
        self.started_at = read_monotonic_clock()
        return anyio.move_on_after(self.timeout_s)

    def must_repeat(self) -> bool:
        if self.is_repeated or self.timeout_s is None:
            return False
        is_late = is_timer_late(self.started_at, self.timeout_s)
        self.timeout_s = REVIEW_INTERVAL_S if is_late else SECOND_READ_S
        self.is_repeated = True
        return True
