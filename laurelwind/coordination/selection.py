"""Selects the endpoint of each attempt, and finds what rules one out."""

from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.request_placement import RequestPlacement
from laurelwind.coordination.retries import draw_retry_after
from laurelwind.coordination.retry_limits import (
    MIN_REMAINING_S,
    MOVE_RETRIES,
    RetryLimits,
    RetryObstacle,
)
from laurelwind.coordination.second_runs import find_run_obstacle
from laurelwind.coordination.selection_errors import (
    build_blocked_error,
    build_exhausted_error,
    build_queue_error,
    build_stale_error,
    build_stopping_error,
)
from laurelwind.coordination.shedding.load_gate import LoadGate
from laurelwind.errors import (
    CapacityError,
    EndpointError,
    ErrorKind,
    LaurelwindError,
)
from laurelwind.state.directory import EndpointRecord


class EndpointSelector:
    """Selects endpoints within the limits on retries.

    :param limits: limits on retries.
    :param placement: places requests among endpoints.
    :param load: rejects requests that the load does not allow to be served.
    :ivar limits: limits on retries.
    :ivar placement: places requests among endpoints.
    :ivar load: rejects requests that the load does not allow to be served.
    """

    def __init__(
        self,
        *,
        limits: RetryLimits,
        placement: RequestPlacement,
        load: LoadGate,
    ) -> None:
        self.limits = limits
        self.placement = placement
        self.load = load

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
            deadline, the load does not allow the request to be served, the
            table is too old, the request crashes endpoints, or the daemon
            stops before a request that may not be repeated is due.
        """
        self._ensure_may_send(job)
        if job.events and self.limits.find_limit(job) is not None:
            return None
        endpoint = self.placement.choose_untried(
            job, avoids_backoff=avoids_backoff
        )
        if endpoint is None and not avoids_backoff:
            endpoint = self.placement.choose_fallback(job)
        if endpoint is not None:
            endpoint = self.load.review(job, endpoint)
            self._ensure_start_before_deadline(job, endpoint)
        return endpoint

    def choose_queued(self, job: Job) -> EndpointRecord | None:
        """Select an endpoint with a limit whose permit the request may await.

        :param job: the request.
        :raises LaurelwindError: as :meth:`choose`.
        """
        self._ensure_may_send(job)
        if job.events and self.limits.find_limit(job) is not None:
            return None
        return self.placement.choose_queued(job)

    def build_error(self, job: Job) -> LaurelwindError:
        """Build the error of a request for which no endpoint is left.

        :param job: the request.
        """
        return build_exhausted_error(
            job,
            self.placement.estimate_return(job),
            is_limited=bool(self.placement.list_limited(job)),
        )

    def can_retry(self, job: Job) -> bool:
        """Return whether limits and retry budget allow another attempt.

        :param job: the request.
        """
        return (
            find_run_obstacle(job) is None
            and job.attempts < job.route.max_attempts
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
            and find_run_obstacle(job) is None
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
        obstacle = find_run_obstacle(job)
        if obstacle is not None:
            return obstacle
        if job.attempts >= job.route.max_attempts:
            return RetryObstacle.ATTEMPTS
        limit = self.limits.find_limit(job)
        if limit is not None:
            return limit
        other = self.placement.choose_untried(job, endpoint)
        if other is None or self.placement.is_queue_too_long(job, other):
            return RetryObstacle.NO_ENDPOINT
        return None

    def ensure_retry_allowed(self, job: Job, error: EndpointError) -> None:
        """Raise an error unless another attempt is allowed.

        :param job: the request.
        :param error: failure of the last attempt.
        :raises LaurelwindError: if no further attempt is allowed.
        """
        if find_run_obstacle(job) is not None:
            raise error
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
        if not self.limits.fits_before_stop(job):
            raise build_stopping_error()

    def _ensure_not_blocked(self, job: Job) -> None:
        if self.limits.screen.reject(job.suspect_keys):
            raise build_blocked_error(job)

    def _reserve_return(self, job: Job) -> bool:
        return (
            self.limits.find_limit(job) is None
            and self.placement.choose_fallback(job) is not None
            and self.limits.reserve(job, 1)
        )

    def _ensure_start_before_deadline(
        self, job: Job, endpoint: EndpointRecord
    ) -> None:
        """Reject a request that would wait in a queue past its deadline.

        Where there is a forecast, the load decision has checked that already,
        by the endpoint's own report.
        """
        if job.may_have_run or job.forecast is not None:
            return
        if self.placement.is_queue_too_long(job, endpoint):
            raise build_queue_error(
                self.placement.estimate_queue_delay(endpoint)
            )
