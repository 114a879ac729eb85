"""Chooses the endpoint of each attempt, with a permit where it has a limit."""

from typing import Final

import anyio
from attrs import frozen

from laurelwind.coordination.limits.endpoint_permits import (
    EndpointPermits,
    Permit,
)
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.selection import EndpointSelector
from laurelwind.decisions import DecisionLog
from laurelwind.errors import EndpointError
from laurelwind.state.directory import LAPSE_GRACE_S, EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Longest wait of a begun answer until it can be resumed, in seconds, and the
# interval of its checks: endpoints that lapsed are back within this time.
MAX_RESUME_WAIT_S: Final = LAPSE_GRACE_S
RESUME_INTERVAL_S: Final = 0.1
# Largest share of the time to the deadline for which a request waits for a
# permit, so that enough is left to serve it.
MAX_PERMIT_WAIT_SHARE: Final = 0.5
# Asks for permits of one request before it is rejected or sent elsewhere.
MAX_ASKS: Final = 3
# Interval at which the load decision about a waiting request is reviewed: short
# compared with latency goals.
REVIEW_INTERVAL_S: Final = 0.25
_PRIORITIES: Final = 10


@frozen(kw_only=True)
class Choice:
    """The endpoint of an attempt.

    :ivar endpoint: the endpoint.
    :ivar permit: permit to send one request to it.
    """

    endpoint: EndpointRecord
    permit: Permit


class EndpointChooser:
    """Chooses endpoints, and waits for permits and for endpoints that return.

    :param selector: selects the endpoints.
    :param permits: permits for endpoints with a rate limit.
    :param log: decision log.
    """

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        permits: EndpointPermits,
        log: DecisionLog,
    ) -> None:
        self._selector = selector
        self._permits = permits
        self._log = log

    async def choose(self, job: Job) -> Choice:
        """Choose an endpoint; a begun answer waits for one.

        :param job: the request.
        :raises LaurelwindError: if there is none, or no permit soon enough.
        """
        try:
            return await self._choose_permitted(job)
        except EndpointError as error:
            # An answer that has begun can't be rejected, so it waits.
            if not self._selector.can_wait(job):
                raise
            self._log_wait(job, error)
        return await self._await_endpoint(job)

    async def _await_endpoint(self, job: Job) -> Choice:
        wait_until = read_monotonic_clock() + MAX_RESUME_WAIT_S
        while True:
            await anyio.sleep(RESUME_INTERVAL_S)
            try:
                return await self._choose_permitted(job)
            except EndpointError:
                is_over = read_monotonic_clock() > wait_until
                if is_over or not self._selector.can_wait(job):
                    raise

    async def _choose_permitted(self, job: Job) -> Choice:
        """Prefer sound endpoints with a permit, then a wait for a permit."""
        choice = None
        if self._selector.placement.list_limited(job):
            choice = await self._choose_at_once(job, avoids_backoff=True)
            choice = choice or await self._choose_old_version(job)
            choice = choice or await self._choose_queued(job)
        choice = choice or await self._choose_at_once(job)
        if choice is None:
            raise self._selector.build_error(job)
        return choice

    async def _choose_at_once(
        self, job: Job, *, avoids_backoff: bool = False
    ) -> Choice | None:
        for _ in range(MAX_ASKS):
            endpoint = self._selector.choose(job, avoids_backoff=avoids_backoff)
            if endpoint is None:
                break
            permit = await self._permits.acquire(
                job.request.request_id, endpoint
            )
            if permit is not None:
                return Choice(endpoint=endpoint, permit=permit)
            job.avoids_cold = True
        return None

    async def _choose_old_version(self, job: Job) -> Choice | None:
        """Choose an endpoint that is not of the version being rolled out.

        A session keeps its version, and a begun answer too.
        """
        if job.request.session or job.events:
            return None
        if not self._selector.placement.is_rolling_out(job):
            return None
        job.avoids_target_version = True
        choice = await self._choose_at_once(job, avoids_backoff=True)
        job.avoids_target_version = choice is not None
        return choice

    async def _choose_queued(self, job: Job) -> Choice | None:
        for _ in range(MAX_ASKS):
            choice = await self._ask_queued(job)
            if choice is None:
                continue
            if not await self._wait_until_due(job, choice):
                break
            if self._selector.placement.is_ready(job, choice.endpoint):
                return choice
            self._permits.give_back(choice.permit)
        return None

    async def _ask_queued(self, job: Job) -> Choice | None:
        endpoint = self._selector.choose_queued(job)
        if endpoint is None:
            return None
        permit = await self._permits.acquire(
            job.request.request_id, endpoint, _compute_max_wait(job)
        )
        if permit is None:
            return None
        return Choice(endpoint=endpoint, permit=permit)

    async def _wait_until_due(self, job: Job, choice: Choice) -> bool:
        """Wait for a permit; more urgent requests may rule the wait out.

        Return ``False`` if another endpoint should be used at once; the permit
        is given back then.
        """
        permit = choice.permit
        try:
            left_s = permit.due_at - read_monotonic_clock()
            while left_s > 0:
                endpoint = self._selector.load.review(
                    job, choice.endpoint, left_s
                )
                if endpoint is not choice.endpoint:
                    self._permits.give_back(permit)
                    return False
                await anyio.sleep(min(left_s, REVIEW_INTERVAL_S))
                left_s = permit.due_at - read_monotonic_clock()
        except BaseException:
            self._permits.give_back(permit)
            raise
        return True

    def _log_wait(self, job: Job, error: EndpointError) -> None:
        self._log.log_info(
            'resume_awaited',
            request=job.request.request_id,
            reason=error.message,
            events=job.events,
            left_s=round(job.remaining_s, 3),
        )


def _compute_max_wait(job: Job) -> float:
    """Return the longest wait for a permit; urgent requests wait longer."""
    wait_s = min(
        job.route.latency_goal_s, job.remaining_s * MAX_PERMIT_WAIT_SHARE
    )
    return max(wait_s, 0) * (1 - job.priority / _PRIORITIES)
