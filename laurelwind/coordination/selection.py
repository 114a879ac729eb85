"""Selects the endpoint of each attempt, and tells what rules one out."""

from collections.abc import Sequence

from attrs import frozen

from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.retries import draw_retry_after
from laurelwind.coordination.retry_limits import (
    MIN_REMAINING_S,
    MOVE_RETRIES,
    RetryLimits,
    RetryObstacle,
)
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
)
from laurelwind.errors import (
    CallerError,
    CapacityError,
    EndpointError,
    ErrorKind,
    LaurelwindError,
)
from laurelwind.state.directory import EndpointDirectory, EndpointRecord


@frozen(kw_only=True)
class SelectorDependencies:
    """Collaborators of an :class:`EndpointSelector`.

    :ivar limits: limits on retries.
    :ivar directory: registered endpoints.
    :ivar rollouts: selects the version for each request.
    :ivar placement: selects endpoints.
    """

    limits: RetryLimits
    directory: EndpointDirectory
    rollouts: RolloutRegistry
    placement: Placement


class EndpointSelector:
    """Selects endpoints within the limits on retries.

    :param dependencies: collaborators of the selector.
    :ivar limits: limits on retries.
    """

    def __init__(self, *, dependencies: SelectorDependencies) -> None:
        self._dependencies = dependencies
        self.limits = dependencies.limits

    def choose(self, job: Job) -> EndpointRecord:
        """Select the endpoint of the next attempt.

        :param job: the request.
        :raises LaurelwindError: if no endpoint is left, every queue is longer
            than the time to the deadline, the table is too old, or the prompt
            crashes endpoints.
        """
        self._ensure_not_blocked(job)
        if not self.limits.is_table_fresh:
            raise _build_stale_error(job)
        endpoint = None
        if not job.events or self.limits.find_limit(job) is None:
            endpoint = self._choose_untried(job) or self._choose_fallback(job)
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
            retry_after_s=self._estimate_return(job) + draw_retry_after(),
        )

    def estimate_wait(self, job: Job) -> float:
        """Estimate the seconds until a request would start.

        :param job: the request.
        """
        return self._dependencies.placement.estimate_wait(
            self._list_ready(job), _build_requirements(job)
        )

    def can_retry(self, job: Job) -> bool:
        """Return whether limits and retry budget allow another attempt.

        :param job: the request.
        """
        return (
            job.attempts < job.route.max_attempts
            and self.limits.find_limit(job) is None
        )

    def reserve_retry(self, job: Job) -> bool:
        """Hold a retry for another attempt; return whether limits allow it.

        :param job: the request.
        """
        return self.can_retry(job) and self.limits.reserve(job, 1)

    def reserve_move(
        self, job: Job, endpoint: EndpointRecord
    ) -> RetryObstacle | None:
        """Hold the retries to leave an endpoint, or return what rules it out.

        :param job: the request.
        :param endpoint: the endpoint that the request is at.
        """
        obstacle = self.find_obstacle(job, endpoint)
        if obstacle is None and not self.limits.reserve(job, MOVE_RETRIES):
            return RetryObstacle.RETRY_BUDGET
        return obstacle

    def can_wait(self, job: Job) -> bool:
        """Return whether a begun answer may wait until it can be resumed.

        :param job: the request.
        """
        return (
            bool(job.events)
            and job.attempts - job.refusals < job.route.max_attempts
            and job.remaining_s >= MIN_REMAINING_S
        )

    def find_obstacle(
        self, job: Job, endpoint: EndpointRecord
    ) -> RetryObstacle | None:
        """Return why a request cannot leave its endpoint, or ``None``.

        :param job: the request.
        :param endpoint: the endpoint that the request is at.
        """
        if not job.route.is_repeatable:
            return RetryObstacle.NOT_REPEATABLE
        if job.events and not job.last_event_id:
            return RetryObstacle.NO_EVENT_ID
        if job.attempts >= job.route.max_attempts:
            return RetryObstacle.ATTEMPTS
        limit = self.limits.find_limit(job)
        if limit is not None:
            return limit
        other = self._choose_untried(job, endpoint)
        if other is None or self._is_queue_too_long(job, other):
            return RetryObstacle.NO_ENDPOINT
        return None

    def ensure_retry_allowed(self, job: Job, error: EndpointError) -> None:
        """Raise an error unless another attempt is allowed.

        :param job: the request.
        :param error: failure of the last attempt.
        :raises LaurelwindError: if no further attempt is allowed.
        """
        if self.reserve_retry(job) or self._reserve_return(job):
            return
        if self.can_wait(job):
            return
        if job.may_have_run:
            raise error
        raise CapacityError(
            ErrorKind.NO_ENDPOINT,
            'no retry allowed: every endpoint tried refused the request',
            retry_after_s=draw_retry_after(),
        ) from error

    def _ensure_not_blocked(self, job: Job) -> None:
        screen = self.limits.screen
        if job.events or not screen.reject(job.service, job.request.parts):
            return
        if job.may_have_run:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                'no further attempt: a part of the prompt crashes endpoints',
            )
        raise CallerError(
            ErrorKind.PROMPT_BLOCKED,
            'a part of the prompt crashes endpoints; the request was not run',
        )

    def _list_ready(self, job: Job) -> Sequence[EndpointRecord]:
        return self._dependencies.rollouts.filter_endpoints(
            job.service,
            job.sticky_key,
            self._dependencies.directory.list_ready(job.service),
        )

    def _estimate_return(self, job: Job) -> float:
        """Return the seconds until the first endpoint ends its pause."""
        get_remaining_pause = self._dependencies.placement.get_remaining_pause
        return min(map(get_remaining_pause, self._list_ready(job)), default=0)

    def _choose_untried(
        self, job: Job, current: EndpointRecord | None = None
    ) -> EndpointRecord | None:
        if job.attempts >= job.route.max_attempts:
            return None
        excluded = set(job.fallback_endpoints)
        if current is not None:
            excluded.add(current.name)
        return self._dependencies.placement.choose(
            self._list_ready(job),
            _build_requirements(
                job, excluded=excluded, avoids_backoff=current is not None
            ),
        )

    def _choose_fallback(self, job: Job) -> EndpointRecord | None:
        if job.attempts - job.refusals >= job.route.max_attempts:
            return None
        return self._dependencies.placement.choose(
            [
                endpoint
                for endpoint in self._list_ready(job)
                if endpoint.name in job.fallback_endpoints
            ],
            _build_requirements(job),
        )

    def _reserve_return(self, job: Job) -> bool:
        return (
            self.limits.find_limit(job) is None
            and self._choose_fallback(job) is not None
            and self.limits.reserve(job, 1)
        )

    def _is_queue_too_long(self, job: Job, endpoint: EndpointRecord) -> bool:
        delay_s = self._dependencies.placement.estimate_queue_delay(endpoint)
        return delay_s >= job.remaining_s

    def _ensure_start_before_deadline(
        self, job: Job, endpoint: EndpointRecord
    ) -> None:
        """Reject a request that would wait in a queue past its deadline."""
        if job.may_have_run or not self._is_queue_too_long(job, endpoint):
            return
        delay_s = self._dependencies.placement.estimate_queue_delay(endpoint)
        raise CapacityError(
            ErrorKind.OVERLOADED,
            f'the shortest queue takes {delay_s:.1f} s, past the deadline',
            retry_after_s=delay_s + draw_retry_after(),
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


def _build_requirements(
    job: Job, *, excluded: set[str] | None = None, avoids_backoff: bool = False
) -> PlacementRequirements:
    # The last part of a prompt is specific to the request or session, so only
    # the parts before it are likely to be cached.
    shared = job.request.parts[:-1] or job.request.parts
    tokens = sum(part.tokens for part in shared)
    return PlacementRequirements(
        affinity_key=shared[-1].name if shared else '',
        reuse_saving_s=job.estimate_prefill(tokens),
        excluded_endpoints=frozenset(
            job.excluded_endpoints.union(excluded or ())
        ),
        avoids_backoff=avoids_backoff,
        scheduling_class=job.scheduling_class,
    )
