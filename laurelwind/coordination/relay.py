"""Relays requests unchanged, from route lookup to delivery of the answer."""

from collections.abc import Set
from typing import Final

import anyio
from attrs import frozen

from laurelwind.coordination.admission import (
    Admission,
    AdmissionDependencies,
)
from laurelwind.coordination.delivery import (
    Delivery,
    DeliveryDependencies,
    LowConfidenceError,
)
from laurelwind.coordination.endpoint_notices import EndpointNotices
from laurelwind.coordination.model_planning import ModelPlanner
from laurelwind.coordination.plain_answers import AnswerBuffers
from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.sending import Sender, SenderDependencies
from laurelwind.coordination.silence_monitor import SilenceMonitor
from laurelwind.coordination.stream_progress import (
    StreamLateError,
    StreamProgress,
)
from laurelwind.coordination.suspects.reporting import CrashReporter
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.coordination.suspects.watch import WatchedAttempt
from laurelwind.decisions import DecisionLog
from laurelwind.errors import (
    CapacityError,
    EndpointBrokenError,
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.exchanges import CallerAnswer, RelayRequest
from laurelwind.relay_metrics import RelayMetrics

# Parts of a prompt in one log line.
MAX_LOGGED_PARTS: Final = 8


@frozen(kw_only=True)
class RelayDependencies:
    """Collaborators of a :class:`Relay`.

    :ivar admission: checks requests against the routing table.
    :ivar screen: learns what crashes endpoints.
    :ivar reporter: reports attempts without a complete answer.
    :ivar sender: sends requests to endpoints.
    :ivar delivery: delivers answers to callers.
    :ivar log: decision log.
    """

    admission: Admission
    screen: SuspectScreen
    reporter: CrashReporter
    sender: Sender
    delivery: Delivery
    log: DecisionLog


def build_relay(
    *,
    dependencies: SenderDependencies,
    metrics: RelayMetrics,
    buffers: AnswerBuffers | None = None,
) -> 'Relay':
    """Build a relay with its sender, delivery and planner.

    :param dependencies: collaborators of the sender.
    :param metrics: latency metrics.
    :param buffers: buffers plain answers before they begin.
    """
    planner = ModelPlanner()
    sender = Sender(dependencies=dependencies)
    delivery = Delivery(
        dependencies=DeliveryDependencies(
            selector=sender.selector,
            monitor=SilenceMonitor(sender=sender, log=dependencies.log),
            placement=dependencies.placement,
            progress=StreamProgress(
                selector=sender.selector,
                placement=dependencies.placement,
                log=dependencies.log,
            ),
            notices=EndpointNotices(
                placement=dependencies.placement,
                limits=dependencies.permits.limits,
                directory=dependencies.directory,
                notify_leaving=dependencies.notify_leaving,
                log=dependencies.log,
                record_answer=sender.load.record_answer,
            ),
            rollouts=dependencies.rollouts,
            screen=dependencies.screen,
            planner=planner,
            metrics=metrics,
            log=dependencies.log,
            buffers=buffers or AnswerBuffers(),
        )
    )
    return Relay(
        dependencies=RelayDependencies(
            admission=Admission(
                dependencies=AdmissionDependencies(
                    tracker=dependencies.tracker,
                    lease=dependencies.lease,
                    planner=planner,
                    log=dependencies.log,
                    decisions=dependencies.decisions,
                    start_wait_s=dependencies.start_wait_s,
                )
            ),
            screen=dependencies.screen,
            reporter=CrashReporter(
                screen=dependencies.screen, placement=dependencies.placement
            ),
            sender=sender,
            delivery=delivery,
            log=dependencies.log,
        )
    )


class Relay:
    """Relays requests to endpoints, and their answers to the callers.

    :param dependencies: collaborators of the relay.
    """

    def __init__(self, *, dependencies: RelayDependencies) -> None:
        self._dependencies = dependencies

    async def serve(
        self,
        request: RelayRequest,
        answer: CallerAnswer,
        arrived_at: float,
    ) -> None:
        """Serve a request.

        :param request: the request.
        :param answer: answer to the caller.
        :param arrived_at: moment of arrival, on the monotonic clock.
        :raises LaurelwindError: if the request is refused or fails.
        """
        job = await self._dependencies.admission.admit(request, arrived_at)
        await self._serve_job(job, answer)

    def discard_routes(self, names: Set[str]) -> None:
        """Discard what is known of routes that were removed.

        :param names: names of the routes.
        """
        self._dependencies.delivery.heads.discard_routes(names)

    async def _serve_job(self, job: Job, answer: CallerAnswer) -> None:
        try:
            await self._serve_or_fail(job, answer)
        finally:
            self._dependencies.sender.selector.limits.release_retries(job)

    async def _serve_or_fail(self, job: Job, answer: CallerAnswer) -> None:
        try:
            await self._serve_within_deadline(job, answer)
        except LaurelwindError:
            if job.saved_failure is None or answer.has_begun:
                raise
            # The endpoint's failure answer is more informative than this error.
            saved_failure = job.saved_failure
            await answer.begin(
                saved_failure.head.status,
                saved_failure.head.headers,
                len(saved_failure.body),
            )
            await answer.finish(saved_failure.body)
            self._dependencies.log.log_info(
                'answered',
                request=job.request.request_id,
                route=job.route.name,
                endpoint=answer.endpoint,
                status=saved_failure.head.status,
                attempts=job.attempts,
                elapsed_ms=job.elapsed_ms,
            )

    async def _serve_within_deadline(
        self, job: Job, answer: CallerAnswer
    ) -> None:
        with anyio.move_on_after(job.remaining_s):
            await self._run_attempts(job, answer)
            return
        if job.attempts:
            raise EndpointError(
                ErrorKind.DEADLINE_EXCEEDED,
                'no complete answer within the deadline',
            )
        raise CapacityError(
            ErrorKind.NO_ENDPOINT,
            'no endpoint accepted the request within the deadline',
        )

    async def _run_attempts(self, job: Job, answer: CallerAnswer) -> None:
        while True:
            attempt = await self._dependencies.sender.send(job)
            try:
                if await self._deliver(job, attempt, answer):
                    return
            except EndpointError as error:
                self._record_failure(job, attempt, error)
                self._dependencies.sender.selector.ensure_retry_allowed(
                    job, error
                )
            except LowConfidenceError:
                job.model_index += 1
            except StreamLateError:
                # The endpoint is slow and sound, so nothing counts against it.
                job.fallback_endpoints.add(attempt.endpoint.name)
            finally:
                self._dependencies.sender.record_ended(attempt)
                with anyio.CancelScope(shield=True):
                    await attempt.exchange.close()

    async def _deliver(
        self, job: Job, attempt: Attempt, answer: CallerAnswer
    ) -> bool:
        watched = WatchedAttempt(
            keys=job.suspect_keys,
            has_begun=lambda: attempt.events > 0,
        )
        try:
            with self._dependencies.screen.watch.track(watched):
                return await self._dependencies.delivery.deliver(
                    job, attempt, answer
                )
        except (
            LowConfidenceError,
            StreamLateError,
            anyio.get_cancelled_exc_class(),
        ):
            self._dependencies.reporter.report_abandoned(job, attempt)
            raise

    def _record_failure(
        self, job: Job, attempt: Attempt, error: EndpointError
    ) -> None:
        dependencies = self._dependencies
        is_silent = isinstance(error, EndpointSilentError)
        obstacle = None
        backoff_s: float = 0
        if error.run is not RunState.NOT_RUN:
            dependencies.reporter.report_failed(job, attempt, error)
            obstacle = dependencies.sender.selector.find_obstacle(
                job, attempt.endpoint
            )
            backoff_s = dependencies.sender.record_failure(
                attempt.endpoint,
                attempt.elapsed_s,
                attempt.silent_s if is_silent else 0,
            )
            if isinstance(error, EndpointBrokenError):
                dependencies.sender.record_break(attempt)
            # Silence indicates load or a network fault, not a fault of the
            # version.
            if not is_silent:
                dependencies.delivery.record_answer(
                    job,
                    attempt,
                    failed=True,
                    has_broken=isinstance(error, EndpointBrokenError),
                )
        job.record_failure(
            attempt.endpoint.name,
            is_silent=is_silent,
            is_refusal=error.run is RunState.NOT_RUN,
        )
        dependencies.log.log_warning(
            'attempt_failed',
            request=job.request.request_id,
            name=job.name,
            route=job.route.name,
            endpoint=attempt.endpoint.name,
            version=attempt.endpoint.version,
            model=attempt.model,
            reason=error.message,
            run=error.run,
            events=job.events,
            attempt_events=attempt.events,
            parts=[] if job.events else job.shared_parts[:MAX_LOGGED_PARTS],
            given_up=is_silent,
            silent_s=round(attempt.silent_s, 3),
            obstacle=obstacle,
            paused_s=backoff_s,
            elapsed_ms=job.elapsed_ms,
        )
