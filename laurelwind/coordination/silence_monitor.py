"""Ends waits for silent endpoints once another endpoint can take over."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import anyio
from attrs import frozen

from laurelwind.coordination.relay_jobs import Attempt, Job
from laurelwind.coordination.selection import RetryObstacle
from laurelwind.coordination.sending import Sender
from laurelwind.decisions import DecisionLog
from laurelwind.errors import EndpointSilentError, ErrorKind, RunState

# Interval, in seconds, at which a tolerated silence is reviewed.
REVIEW_INTERVAL_S: Final = 0.25

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
        timeout_s = limit.timeout_s
        is_tolerated = False
        while True:
            with anyio.move_on_after(timeout_s):
                received = await receive()
                if is_tolerated:
                    self._log_end(job, attempt)
                return received
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
            timeout_s = REVIEW_INTERVAL_S

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
