"""Sends a request to an endpoint that suits it."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from attrs import frozen

from laurelwind.coordination.budgets import RetryWindows
from laurelwind.coordination.jobs import Attempt, Job
from laurelwind.coordination.placement import Placement, Want
from laurelwind.coordination.rollouts import RolloutBook
from laurelwind.coordination.tracker import Tracker
from laurelwind.decisions import DecisionLog
from laurelwind.errors import (
    CapacityError,
    EndpointError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.exchanges import Dispatch, EndpointGateway
from laurelwind.state.directory import EndpointDirectory, EndpointRecord
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.load import read_clock

# Least seconds that a request must have left to be sent once more.
LEAST_LEFT_S: Final = 0.05
# Seconds after which callers may come back when nothing can serve them: long
# enough for an endpoint to finish something, short beside their goals.  They
# are spread, so that callers that were refused together do not return so.
LEAST_RETURN_S: Final = 0.5
MOST_RETURN_S: Final = 1.1
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class SenderParts:
    """What a sender works with.

    :ivar tracker: knows what is in force.
    :ivar lease: how old that knowledge may be.
    :ivar directory: the endpoints.
    :ivar rollouts: which versions are to be used.
    :ivar placement: chooses endpoints.
    :ivar windows: the retry budget.
    :ivar gateway: reaches endpoints.
    :ivar tell_work: tells other daemons of an endpoint's name and seconds of
        work.
    :ivar log: where decisions are written.
    """

    tracker: Tracker
    lease: FreshnessLease
    directory: EndpointDirectory
    rollouts: RolloutBook
    placement: Placement
    windows: RetryWindows
    gateway: EndpointGateway
    tell_work: Callable[[str, float], Awaitable[None]]
    log: DecisionLog


class Sender:
    """Chooses an endpoint, and sends a request to it.

    :param parts: what it works with.
    """

    def __init__(self, *, parts: SenderParts) -> None:
        self._parts = parts

    async def send(self, job: Job) -> Attempt:
        """Send a request to the first endpoint that takes it.

        :param job: the request.
        :raises LaurelwindError: when none does.
        """
        while True:
            endpoint = self._choose(job)
            try:
                return await self._send_to(job, endpoint)
            except EndpointError as error:
                self._note_unsent(job, endpoint, error)

    def estimate_wait(self, job: Job) -> float:
        """Estimate the seconds that a request would wait to be begun.

        :param job: the request.
        """
        ready, want = self._list_ready(job), _build_want(job)
        return self._parts.placement.estimate_wait(ready, want)

    def has_room(self, job: Job) -> bool:
        """Tell whether a request may be sent once more.

        :param job: the request.
        """
        if job.attempts >= job.route.max_attempts or job.left_s < LEAST_LEFT_S:
            return False
        return self._parts.windows.measure_room(job.service) > 0

    def check_room(self, job: Job, error: EndpointError) -> None:
        """Go on only where a request may be sent once more.

        :param job: the request.
        :param error: why its last attempt failed.
        :raises LaurelwindError: when it may not.
        """
        if self.has_room(job):
            return
        if job.may_have_run:
            raise error
        raise CapacityError(
            ErrorKind.NO_ENDPOINT,
            'every endpoint that was asked is full',
            retry_after_s=draw_return(),
        ) from error

    def _list_ready(self, job: Job) -> Sequence[EndpointRecord]:
        return self._parts.rollouts.filter_endpoints(
            job.service,
            job.group,
            self._parts.directory.list_ready(job.service),
        )

    def _choose(self, job: Job) -> EndpointRecord:
        endpoint = self._parts.placement.choose(
            self._list_ready(job), _build_want(job)
        )
        if endpoint is not None:
            return endpoint
        if job.may_have_run:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                'every endpoint that was asked failed',
            )
        raise CapacityError(
            ErrorKind.NO_ENDPOINT,
            'no endpoint can take the request now',
            retry_after_s=draw_return(),
        )

    async def _send_to(self, job: Job, endpoint: EndpointRecord) -> Attempt:
        parts = self._parts
        if not parts.lease.is_valid:
            raise _explain_stale(job)
        if job.attempts:
            parts.windows.note_repeat(job.service)
        else:
            parts.windows.note_request(job.service)
        job.attempts += 1
        dispatch = _build_dispatch(job, endpoint)
        self._log_sent(job, endpoint, dispatch)
        parts.placement.note_sent(endpoint, job.work_s)
        expected_s = parts.placement.estimate_behind(endpoint)
        await parts.tell_work(endpoint.name, job.work_s)
        try:
            exchange = await parts.gateway.send(job.request, dispatch)
        except BaseException:
            parts.placement.note_ended(endpoint)
            raise
        return Attempt(
            endpoint=endpoint,
            exchange=exchange,
            sent_at=read_clock(),
            model=dispatch.model,
            work_s=job.work_s,
            expected_s=expected_s,
        )

    def _note_unsent(
        self, job: Job, endpoint: EndpointRecord, error: EndpointError
    ) -> None:
        pause_s = self._parts.placement.note_failure(endpoint)
        job.avoided.add(endpoint.name)
        self._parts.log.warning(
            'not_sent',
            request=job.request.request_id,
            endpoint=endpoint.name,
            reason=error.message,
            run=error.run,
            paused_s=pause_s,
        )
        if error.run is RunState.NOT_RUN:
            job.attempts -= 1
            return
        job.may_have_run = True
        if not job.route.is_repeatable:
            raise error
        self.check_room(job, error)

    def _log_sent(
        self, job: Job, endpoint: EndpointRecord, dispatch: Dispatch
    ) -> None:
        table = self._parts.tracker.table
        self._parts.log.note(
            'sent',
            request=job.request.request_id,
            route=job.route.name,
            endpoint=endpoint.name,
            version=endpoint.version,
            model=dispatch.model,
            attempt=job.attempts,
            work_ms=round(job.work_s * _MS_PER_S),
            table=None if table is None else table.version,
            table_age_ms=round(self._parts.lease.age_s * _MS_PER_S),
            left_ms=round(dispatch.deadline_s * _MS_PER_S),
        )


def draw_return() -> float:
    """Draw the seconds after which a caller that is refused may come back."""
    return random.uniform(LEAST_RETURN_S, MOST_RETURN_S)


def _build_dispatch(job: Job, endpoint: EndpointRecord) -> Dispatch:
    return Dispatch(
        address=endpoint.address,
        endpoint=endpoint.name,
        workspace='' if job.workspace is None else job.workspace.name,
        deadline_s=job.left_s,
        model='' if job.model is None else job.model.name,
        priority=job.rank if job.is_stream else None,
        last_event_id=job.last_event_id,
        is_repeatable=job.route.is_repeatable,
    )


def _build_want(job: Job) -> Want:
    # The last part of a prompt is the request's or the session's own.
    shared = job.request.parts[:-1] or job.request.parts
    tokens = sum(part.tokens for part in shared)
    return Want(
        affinity=shared[-1].name if shared else '',
        saving_s=job.estimate_work(tokens),
        avoided=frozenset(job.avoided),
        lane=job.lane,
    )


def _explain_stale(job: Job) -> LaurelwindError:
    if job.may_have_run:
        return EndpointError(
            ErrorKind.ENDPOINT_FAILED, 'it may not be sent once more'
        )
    return CapacityError(
        ErrorKind.NOT_READY,
        'the routing table in force is not known',
        retry_after_s=draw_return(),
    )
