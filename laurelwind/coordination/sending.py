"""Selects endpoints and sends requests to them."""

import random
from collections.abc import Callable, Sequence
from typing import Final

from attrs import frozen

from laurelwind.coordination.relay_jobs import Attempt, Job
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.scheduling.fleet_retry_budget import (
    FleetRetryBudget,
)
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
)
from laurelwind.coordination.tracker import Tracker
from laurelwind.decisions import DecisionLog
from laurelwind.errors import (
    CapacityError,
    EndpointError,
    EndpointPausedError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.exchanges import Dispatch, EndpointGateway
from laurelwind.state.directory import EndpointDirectory, EndpointRecord
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.load import read_monotonic_clock

# Minimum time to the deadline, in seconds, for a retry.
MIN_REMAINING_S: Final = 0.05
# Range of the Retry-After delay, in seconds, when no endpoint can serve a
# request: long enough for an endpoint to finish a request, short compared with
# latency goals.  The jitter keeps callers that were rejected together from
# retrying together.
MIN_RETRY_AFTER_S: Final = 0.5
MAX_RETRY_AFTER_S: Final = 1.1
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class SenderDependencies:
    """Collaborators of a :class:`Sender`.

    :ivar tracker: holds the routing table in force.
    :ivar lease: freshness lease of the routing table.
    :ivar directory: registered endpoints.
    :ivar rollouts: selects the version for each request.
    :ivar placement: selects endpoints.
    :ivar retry_budget: retry budget.
    :ivar gateway: sends requests to endpoints.
    :ivar notify_work: notifies other daemons of the prefill time, in seconds,
        of a request sent to the named endpoint.
    :ivar notify_loss: notifies other daemons of the seconds that a failed
        request spent at the named endpoint.
    :ivar notify_leaving: notifies other daemons that the named endpoint is
        about to stop, with the start time of its process.
    :ivar log: decision log.
    """

    tracker: Tracker
    lease: FreshnessLease
    directory: EndpointDirectory
    rollouts: RolloutRegistry
    placement: Placement
    retry_budget: FleetRetryBudget
    gateway: EndpointGateway
    notify_work: Callable[[str, float], None]
    notify_loss: Callable[[str, float], None]
    notify_leaving: Callable[[str, int], None]
    log: DecisionLog


class Sender:
    """Sends requests to the endpoints selected by placement.

    :param dependencies: collaborators of the sender.
    """

    def __init__(self, *, dependencies: SenderDependencies) -> None:
        self._dependencies = dependencies

    async def send(self, job: Job) -> Attempt:
        """Send a request to the first endpoint that accepts it.

        :param job: the request.
        :raises LaurelwindError: if no endpoint accepts the request, or it may
            not be retried.
        """
        while True:
            endpoint = self._choose_endpoint(job)
            try:
                return await self._send_to_endpoint(job, endpoint)
            except EndpointError as error:
                self._handle_unsent(job, endpoint, error)

    def estimate_wait(self, job: Job) -> float:
        """Estimate the seconds until a request would start.

        :param job: the request.
        """
        endpoints, requirements = (
            self._list_ready_endpoints(job),
            _build_requirements(job),
        )
        return self._dependencies.placement.estimate_wait(
            endpoints, requirements
        )

    def can_retry(self, job: Job) -> bool:
        """Return whether limits and retry budget allow another attempt.

        :param job: the request.
        """
        if (
            job.attempts >= job.route.max_attempts
            or job.remaining_s < MIN_REMAINING_S
        ):
            return False
        return (
            self._dependencies.retry_budget.get_remaining_ratio(job.service) > 0
        )

    def ensure_retry_allowed(self, job: Job, error: EndpointError) -> None:
        """Raise an error unless another attempt is allowed.

        :param job: the request.
        :param error: failure of the last attempt.
        :raises LaurelwindError: if no further attempt is allowed.
        """
        if self.can_retry(job):
            return
        if job.may_have_run:
            raise error
        raise CapacityError(
            ErrorKind.NO_ENDPOINT,
            'no retry allowed: every endpoint tried refused the request',
            retry_after_s=draw_retry_after(),
        ) from error

    def _list_ready_endpoints(self, job: Job) -> Sequence[EndpointRecord]:
        return self._dependencies.rollouts.filter_endpoints(
            job.service,
            job.sticky_key,
            self._dependencies.directory.list_ready(job.service),
        )

    def _choose_endpoint(self, job: Job) -> EndpointRecord:
        endpoints = self._list_ready_endpoints(job)
        endpoint = self._dependencies.placement.choose(
            endpoints, _build_requirements(job)
        )
        if endpoint is not None:
            self._ensure_start_before_deadline(job, endpoint)
            return endpoint
        if job.may_have_run:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                'no endpoint left: every endpoint tried failed',
            )
        raise CapacityError(
            ErrorKind.NO_ENDPOINT,
            'no ready endpoint is left for the request',
            retry_after_s=self._estimate_return(endpoints) + draw_retry_after(),
        )

    def _estimate_return(self, endpoints: Sequence[EndpointRecord]) -> float:
        """Return the seconds until the first endpoint ends its pause."""
        get_remaining_pause = self._dependencies.placement.get_remaining_pause
        return min(map(get_remaining_pause, endpoints), default=0)

    def _ensure_start_before_deadline(
        self, job: Job, endpoint: EndpointRecord
    ) -> None:
        """Reject a request that would wait in a queue past its deadline."""
        delay_s = self._dependencies.placement.estimate_queue_delay(endpoint)
        if delay_s < job.remaining_s or job.may_have_run:
            return
        raise CapacityError(
            ErrorKind.OVERLOADED,
            f'the shortest queue takes {delay_s:.1f} s, past the deadline',
            retry_after_s=delay_s + draw_retry_after(),
        )

    async def _send_to_endpoint(
        self, job: Job, endpoint: EndpointRecord
    ) -> Attempt:
        dependencies = self._dependencies
        if not dependencies.lease.is_valid:
            raise _build_stale_error(job)
        if job.attempts:
            dependencies.retry_budget.record_retry(job.service)
        else:
            dependencies.retry_budget.record_request(job.service)
        job.attempts += 1
        dispatch = self._build_dispatch(job, endpoint)
        self._log_sent(job, endpoint, dispatch)
        dependencies.placement.record_sent(endpoint, job.prefill_s)
        expected_delay_s = dependencies.placement.estimate_queue_delay(endpoint)
        dependencies.notify_work(endpoint.name, job.prefill_s)
        sent_at = read_monotonic_clock()
        try:
            exchange = await dependencies.gateway.send(job.request, dispatch)
        except BaseException:
            dependencies.placement.record_ended(endpoint)
            raise
        return Attempt(
            endpoint=endpoint,
            exchange=exchange,
            sent_at=sent_at,
            model=dispatch.model,
            prefill_s=job.prefill_s,
            expected_delay_s=expected_delay_s,
        )

    def record_failure(self, endpoint: EndpointRecord, lost_s: float) -> float:
        """Record a failed attempt here and at peers; return the backoff.

        :param endpoint: the endpoint that failed.
        :param lost_s: seconds that the request spent there.
        """
        self._dependencies.notify_loss(endpoint.name, lost_s)
        return self._dependencies.placement.record_failure(endpoint, lost_s)

    def _handle_unsent(
        self, job: Job, endpoint: EndpointRecord, error: EndpointError
    ) -> None:
        # A pause that an endpoint asks for is no fault of it.
        is_paused = isinstance(error, EndpointPausedError)
        backoff_s = 0 if is_paused else self.record_failure(endpoint, 0)
        job.excluded_endpoints.add(endpoint.name)
        self._dependencies.log.log_warning(
            'not_sent',
            request=job.request.request_id,
            endpoint=endpoint.name,
            reason=error.message,
            run=error.run,
            paused_s=backoff_s,
        )
        if error.run is RunState.NOT_RUN:
            job.attempts -= 1
            self._dependencies.retry_budget.discard_attempt(
                job.service, is_retry=job.attempts > 0
            )
            return
        job.may_have_run = True
        if not job.route.is_repeatable:
            raise error
        self.ensure_retry_allowed(job, error)

    def _build_dispatch(self, job: Job, endpoint: EndpointRecord) -> Dispatch:
        placement = self._dependencies.placement
        return Dispatch(
            address=endpoint.address,
            endpoint=endpoint.name,
            workspace='' if job.workspace is None else job.workspace.name,
            deadline_s=job.remaining_s,
            model='' if job.model is None else job.model.name,
            priority=job.priority if job.is_stream else None,
            last_event_id=job.last_event_id,
            is_repeatable=job.route.is_repeatable,
            accepts_requests=lambda: (
                not placement.get_remaining_pause(endpoint)
            ),
        )

    def _log_sent(
        self, job: Job, endpoint: EndpointRecord, dispatch: Dispatch
    ) -> None:
        table = self._dependencies.tracker.table
        self._dependencies.log.log_info(
            'sent',
            request=job.request.request_id,
            route=job.route.name,
            endpoint=endpoint.name,
            version=endpoint.version,
            model=dispatch.model,
            attempt=job.attempts,
            work_ms=round(job.prefill_s * _MS_PER_S),
            table=None if table is None else table.version,
            table_age_ms=round(self._dependencies.lease.age_s * _MS_PER_S),
            left_ms=round(dispatch.deadline_s * _MS_PER_S),
        )


def draw_retry_after() -> float:
    """Return a random Retry-After delay, in seconds."""
    return random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)


def _build_requirements(job: Job) -> PlacementRequirements:
    # The last part of a prompt is specific to the request or session, so only
    # the parts before it are likely to be cached.
    shared = job.request.parts[:-1] or job.request.parts
    tokens = sum(part.tokens for part in shared)
    return PlacementRequirements(
        affinity_key=shared[-1].name if shared else '',
        reuse_saving_s=job.estimate_prefill(tokens),
        excluded_endpoints=frozenset(job.excluded_endpoints),
        scheduling_class=job.scheduling_class,
    )


def _build_stale_error(job: Job) -> LaurelwindError:
    if job.may_have_run:
        return EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            'the attempt failed and the routing table is too old for a retry',
        )
    return CapacityError(
        ErrorKind.NOT_READY,
        'the freshness lease of the routing table has expired',
        retry_after_s=draw_retry_after(),
    )
