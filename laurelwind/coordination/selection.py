"""Selects the endpoint of each attempt, and tells what rules one out."""

from collections.abc import Sequence, Set

from attrs import frozen

from laurelwind.coordination.job_requirements import build_requirements
from laurelwind.coordination.limits.permit_refusals import PermitRefusals
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
from laurelwind.coordination.selection_errors import (
    build_blocked_error,
    build_exhausted_error,
    build_queue_error,
    build_stale_error,
)
from laurelwind.errors import (
    CapacityError,
    EndpointError,
    ErrorKind,
    LaurelwindError,
)
from laurelwind.state.directory import EndpointDirectory, EndpointRecord
from laurelwind.state.rate_limits import get_process


@frozen(kw_only=True)
class SelectorDependencies:
    """Collaborators of an :class:`EndpointSelector`.

    :ivar limits: limits on retries.
    :ivar directory: registered endpoints.
    :ivar rollouts: selects the version for each request.
    :ivar placement: selects endpoints.
    :ivar refusals: tells which endpoints with a rate limit have permits.
    """

    limits: RetryLimits
    directory: EndpointDirectory
    rollouts: RolloutRegistry
    placement: Placement
    refusals: PermitRefusals


class EndpointSelector:
    """Selects endpoints within the limits on retries.

    :param dependencies: collaborators of the selector.
    :ivar limits: limits on retries.
    """

    def __init__(self, *, dependencies: SelectorDependencies) -> None:
        self._dependencies = dependencies
        self.limits = dependencies.limits

    def choose(
        self, job: Job, *, avoids_backoff: bool = False
    ) -> EndpointRecord | None:
        """Select the endpoint of the next attempt, or return ``None``.

        An endpoint with a rate limit is selected only while a permit may be
        available at once.

        :param job: the request.
        :param avoids_backoff: whether endpoints in backoff are ruled out,
            rather than used when there is no other.
        :raises LaurelwindError: if every queue is longer than the time to the
            deadline, the table is too old, or the prompt crashes endpoints.
        """
        self._ensure_may_send(job)
        if job.events and self.limits.find_limit(job) is not None:
            return None
        endpoint = self._choose_untried(job, avoids_backoff=avoids_backoff)
        if endpoint is None and not avoids_backoff:
            endpoint = self._choose_fallback(job)
        if endpoint is not None:
            self._ensure_start_before_deadline(job, endpoint)
        return endpoint

    def choose_queued(self, job: Job) -> EndpointRecord | None:
        """Select an endpoint with a limit whose permit the request may await.

        :param job: the request.
        :raises LaurelwindError: as :meth:`choose`.
        """
        self._ensure_may_send(job)
        if job.attempts >= job.route.max_attempts:
            return None
        if job.events and self.limits.find_limit(job) is not None:
            return None
        ready = self._list_ready(job)
        excluded = self._dependencies.refusals.list_without_queue(ready)
        return self._dependencies.placement.choose(
            ready, build_requirements(job, excluded=excluded)
        )

    def has_limited(self, job: Job) -> bool:
        """Return whether an endpoint for a request has a rate limit.

        :param job: the request.
        """
        ready = self._list_ready(job)
        return bool(self._dependencies.refusals.list_limited(ready))

    def is_ready(self, job: Job, endpoint: EndpointRecord) -> bool:
        """Return whether an endpoint still accepts a request.

        :param job: the request.
        :param endpoint: the endpoint.
        """
        return any(
            get_process(other) == get_process(endpoint)
            for other in self._list_ready(job)
        )

    def build_error(self, job: Job) -> LaurelwindError:
        """Build the error of a request for which no endpoint is left.

        :param job: the request.
        """
        return build_exhausted_error(
            job, self._estimate_return(job), is_limited=self.has_limited(job)
        )

    def estimate_wait(self, job: Job) -> float:
        """Estimate the seconds until a request would start.

        :param job: the request.
        """
        ready = self._list_ready(job)
        return self._dependencies.placement.estimate_wait(
            ready,
            build_requirements(job, excluded=self._list_refusing(ready)),
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

    def _ensure_may_send(self, job: Job) -> None:
        self._ensure_not_blocked(job)
        if not self.limits.is_table_fresh:
            raise build_stale_error(job)

    def _ensure_not_blocked(self, job: Job) -> None:
        screen = self.limits.screen
        if not job.events and screen.reject(job.service, job.request.parts):
            raise build_blocked_error(job)

    def _list_ready(self, job: Job) -> Sequence[EndpointRecord]:
        return self._dependencies.rollouts.filter_endpoints(
            job.service,
            job.sticky_key,
            self._dependencies.directory.list_ready(job.service),
            allows_target=not job.avoids_target_version,
        )

    def _list_refusing(self, endpoints: Sequence[EndpointRecord]) -> Set[str]:
        return self._dependencies.refusals.list_refusing(endpoints)

    def _estimate_return(self, job: Job) -> float:
        """Return the seconds until the first endpoint accepts requests."""
        return min(
            map(self._estimate_acceptance, self._list_ready(job)), default=0
        )

    def _estimate_acceptance(self, endpoint: EndpointRecord) -> float:
        return max(
            self._dependencies.placement.get_remaining_pause(endpoint),
            self._dependencies.refusals.estimate_wait(endpoint),
        )

    def _choose_untried(
        self,
        job: Job,
        current: EndpointRecord | None = None,
        *,
        avoids_backoff: bool = False,
    ) -> EndpointRecord | None:
        if job.attempts >= job.route.max_attempts:
            return None
        ready = self._list_ready(job)
        excluded = job.fallback_endpoints | self._list_refusing(ready)
        if current is not None:
            # It may find no permit at an endpoint with a limit.
            excluded |= self._dependencies.refusals.list_limited(ready)
            excluded |= {current.name}
        return self._dependencies.placement.choose(
            ready,
            build_requirements(
                job,
                excluded=excluded,
                avoids_backoff=avoids_backoff or current is not None,
            ),
        )

    def _choose_fallback(self, job: Job) -> EndpointRecord | None:
        if job.attempts - job.refusals >= job.route.max_attempts:
            return None
        ready = [
            endpoint
            for endpoint in self._list_ready(job)
            if endpoint.name in job.fallback_endpoints
        ]
        return self._dependencies.placement.choose(
            ready,
            build_requirements(job, excluded=self._list_refusing(ready)),
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
        raise build_queue_error(
            self._dependencies.placement.estimate_queue_delay(endpoint)
        )
