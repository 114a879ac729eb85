"""Ends waits for silent endpoints once another endpoint can take over."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import anyio
from attrs import define, frozen

from laurelwind.coordination.relay_jobs import Attempt, Job
from laurelwind.coordination.selection import RetryObstacle
from laurelwind.coordination.sending import Sender
from laurelwind.decisions import DecisionLog
from laurelwind.errors import EndpointSilentError, ErrorKind, RunState
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.timers import is_timer_late

# Interval, in seconds, at which a tolerated silence is reviewed.
REVIEW_INTERVAL_S: Final = 0.25
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
        is_tolerated = False
        while True:
            with timer.start():
                received = await receive()
                if is_tolerated:
                    self._log_end(job, attempt)
                return received
            if timer.must_repeat():
                continue
            obstacle = self._sender.selector.find_obstacle(
                job, attempt.endpoint
            )
            if obstacle is None:
                raise EndpointSilentError(
                    ErrorKind.ENDPOINT_FAILED,
                    f'no {limit.awaited} within {attempt.silent_s:.1f} s',
                    run=limit.run,
                )
            if not is_tolerated:
                self._record_tolerated(job, attempt, obstacle)
            is_tolerated = True
            timer.timeout_s = REVIEW_INTERVAL_S

    def _record_tolerated(
        self, job: Job, attempt: Attempt, obstacle: RetryObstacle
    ) -> None:
        # Other requests avoid the endpoint until it goes on.
        backoff_s = self._sender.record_failure(
            attempt.endpoint, attempt.silent_s
        )
        self._log.log_warning(
            'silence_tolerated',
            request=job.request.request_id,
            endpoint=attempt.endpoint.name,
            silent_s=round(attempt.silent_s, 3),
            obstacle=obstacle,
            events=job.events,
            paused_s=backoff_s,
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
