"""Limits on the retries of requests, and the retries held for them."""

import enum
from typing import Final

from attrs import frozen

from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.scheduling.fleet_retry_budget import (
    FleetRetryBudget,
)
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.stops import StopLimit

# Minimum time to the deadline, in seconds, for a retry.
MIN_REMAINING_S: Final = 0.05
# Retries that a request needs to leave a silent endpoint: the way to another
# one, and the way back where that one refuses.
MOVE_RETRIES: Final = 2
# Attempts of a request, or of its repeats at any daemon, that may break before
# its answer begins.  After the second one the request itself is the likely
# cause, and a further attempt would take one more endpoint from others.
MAX_BROKEN_ATTEMPTS: Final = 2


class RetryObstacle(enum.StrEnum):
    """Why a request cannot move to another endpoint at the moment."""

    NOT_REPEATABLE = 'not_repeatable'
    NO_EVENT_ID = 'no_event_id'
    ANSWER_BEGUN = 'answer_begun'
    ATTEMPTS = 'attempts'
    DEADLINE = 'deadline'
    RETRY_BUDGET = 'retry_budget'
    TABLE_AGE = 'table_age'
    NO_ENDPOINT = 'no_endpoint'
    BROKEN_ATTEMPTS = 'broken_attempts'
    PROMPT_BLOCKED = 'prompt_blocked'


@frozen(kw_only=True)
class RetryLimits:
    """Limits on retries that do not depend on an endpoint.

    A retry is held in the same step as the decision to make it.  Requests that
    decide at the same time would otherwise count on the same retry.

    :ivar lease: freshness lease of the routing table.
    :ivar retry_budget: retry budget.
    :ivar screen: rejects requests that crash endpoints.
    :ivar stop: moment until which answers can be delivered.
    """

    lease: FreshnessLease
    retry_budget: FleetRetryBudget
    screen: SuspectScreen
    stop: StopLimit

    @property
    def is_table_fresh(self) -> bool:
        """Whether requests may be sent by the routing table."""
        return self.lease.is_valid

    def fits_before_stop(self, job: Job) -> bool:
        """Return whether a request may be sent while the daemon stops.

        One that may not be repeated has to be answered before the end, whatever
        time it takes.

        :param job: the request.
        """
        return job.route.is_repeatable or job.deadline_at <= self.stop.ends_at

    def find_limit(self, job: Job) -> RetryObstacle | None:
        """Return what rules out any retry of a request now, or ``None``.

        :param job: the request.
        """
        if job.remaining_s < MIN_REMAINING_S:
            return RetryObstacle.DEADLINE
        if self._has_broken_too_often(job):
            return RetryObstacle.BROKEN_ATTEMPTS
        if self.screen.is_blocked(job.suspect_keys):
            return RetryObstacle.PROMPT_BLOCKED
        if not self.lease.is_valid:
            return RetryObstacle.TABLE_AGE
        budget = self.retry_budget
        if job.reserved_retries or budget.get_remaining_ratio(job.service) > 0:
            return None
        return RetryObstacle.RETRY_BUDGET

    def _has_broken_too_often(self, job: Job) -> bool:
        if job.broken_attempts >= MAX_BROKEN_ATTEMPTS:
            return True
        # Its own answers may also have been cut by chance.
        crashes = self.screen.count_crashes(job.request_key)
        return job.known_crashes > 0 and crashes >= MAX_BROKEN_ATTEMPTS

    def reserve(self, job: Job, count: int) -> bool:
        """Hold retries for a request; return whether the budget allows it.

        :param job: the request.
        :param count: number of retries that it then holds at least.
        """
        missing = max(count - job.reserved_retries, 0)
        if not self.retry_budget.reserve(job.service, missing):
            return False
        job.reserved_retries += missing
        return True

    def hold_retry(self, job: Job) -> None:
        """Hold a retry again that did not reach its endpoint.

        :param job: the request.
        """
        self.retry_budget.hold(job.service, 1)
        job.reserved_retries += 1

    def record_attempt(self, job: Job) -> None:
        """Count an attempt that is sent now, with a retry held for it.

        :param job: the request.
        """
        budget = self.retry_budget
        if not job.attempts:
            job.known_crashes = self.screen.count_crashes(job.request_key)
            budget.record_request(job.service)
            return
        if job.reserved_retries:
            job.reserved_retries -= 1
            budget.release(job.service, 1)
        budget.record_retry(job.service)

    def release_retries(self, job: Job) -> None:
        """Release the retries that are held for a request.

        :param job: the request.
        """
        self.retry_budget.release(job.service, job.reserved_retries)
        job.reserved_retries = 0
