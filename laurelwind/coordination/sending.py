"""Sends requests to the endpoints that the selector chooses."""

import math
from collections.abc import Callable
from typing import Any, Final

from attrs import field, frozen

from laurelwind.coordination.choosing import Choice, EndpointChooser
from laurelwind.coordination.job_requirements import build_traits
from laurelwind.coordination.limits.endpoint_permits import EndpointPermits
from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.request_placement import RequestPlacement
from laurelwind.coordination.retry_limits import RetryLimits
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.scheduling.fleet_retry_budget import (
    FleetRetryBudget,
)
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.reservations import SentDelay
from laurelwind.coordination.second_runs import ensure_may_run
from laurelwind.coordination.selection import EndpointSelector
from laurelwind.coordination.selection_errors import build_connection_error
from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.load_gate import LoadGate
from laurelwind.coordination.shedding.urgent_classes import UrgentClasses
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.coordination.tracker import Tracker
from laurelwind.coordination.zones.regions import ZoneRegions
from laurelwind.decisions import DecisionLog
from laurelwind.errors import (
    ConnectionLimitError,
    EndpointError,
    EndpointPausedError,
    RunState,
)
from laurelwind.protocol.exchanges import Dispatch, EndpointGateway
from laurelwind.state.directory import EndpointDirectory, EndpointRecord
from laurelwind.state.evacuated_zones import EvacuatedZones
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.stops import StopLimit

_MS_PER_S: Final = 1000


def _ignore_decision(outcome: str, reason: str) -> None:
    """Count nothing."""


@frozen(kw_only=True)
class SenderDependencies:
    """Collaborators of a :class:`Sender`.

    :ivar tracker: holds the routing table in force.
    :ivar lease: freshness lease of the routing table.
    :ivar directory: registered endpoints.
    :ivar rollouts: selects the version for each request.
    :ivar placement: selects endpoints.
    :ivar permits: permits for endpoints with a rate limit.
    :ivar screen: rejects requests that crash endpoints.
    :ivar stop: moment until which answers can be delivered.
    :ivar retry_budget: retry budget.
    :ivar gateway: sends requests to endpoints.
    :ivar notify_work: notifies other daemons of the prefill time, in seconds,
        of a request sent to the named endpoint.
    :ivar notify_loss: notifies other daemons of the seconds that a failed
        request spent at the named endpoint.
    :ivar notify_leaving: notifies other daemons that the named endpoint is
        about to stop, with the start time of its process.
    :ivar log: decision log.
    :ivar zones: the evacuated zones.
    :ivar decisions: makes load decisions.
    :ivar count_decision: called with the outcome and the reason of each load
        decision.
    :ivar regions: regions of the zones.
    :ivar start_wait_s: seconds after the start in which requests wait until
        the daemon is ready.
    """

    tracker: Tracker
    lease: FreshnessLease
    directory: EndpointDirectory
    rollouts: RolloutRegistry
    placement: Placement
    permits: EndpointPermits
    screen: SuspectScreen
    stop: StopLimit
    retry_budget: FleetRetryBudget
    gateway: EndpointGateway
    notify_work: Callable[[str, float], None]
    notify_loss: Callable[[str, float], None]
    notify_leaving: Callable[[str, int], None]
    log: DecisionLog
    zones: EvacuatedZones = field(factory=EvacuatedZones)
    decisions: LoadDecisions = field(factory=LoadDecisions)
    count_decision: Callable[[str, str], None] = _ignore_decision
    regions: ZoneRegions = field(factory=ZoneRegions)
    start_wait_s: float = 0


class Sender:
    """Sends requests to the endpoints selected by placement.

    :param dependencies: collaborators of the sender.
    :ivar selector: selects the endpoints.
    :ivar load: rejects requests that the load does not allow to be served.
    """

    def __init__(self, *, dependencies: SenderDependencies) -> None:
        self._dependencies = dependencies
        placement = RequestPlacement(
            directory=dependencies.directory,
            rollouts=dependencies.rollouts,
            placement=dependencies.placement,
            refusals=dependencies.permits.refusals,
            zones=dependencies.zones,
            regions=dependencies.regions,
        )
        self.load = LoadGate(
            decisions=dependencies.decisions,
            placement=placement,
            urgent=UrgentClasses(read_table=lambda: dependencies.tracker.table),
            count=dependencies.count_decision,
            log=dependencies.log,
        )
        self.selector = EndpointSelector(
            limits=RetryLimits(
                lease=dependencies.lease,
                retry_budget=dependencies.retry_budget,
                screen=dependencies.screen,
                stop=dependencies.stop,
            ),
            placement=placement,
            load=self.load,
        )
        self._chooser = EndpointChooser(
            selector=self.selector,
            permits=dependencies.permits,
            log=dependencies.log,
        )

    async def send(self, job: Job) -> Attempt:
        """Send a request to the first endpoint that accepts it.

        :param job: the request.
        :raises LaurelwindError: if no endpoint accepts the request, or it may
            not be retried.
        """
        while True:
            ensure_may_run(job)
            choice = await self._chooser.choose(job)
            started_at = read_monotonic_clock()
            try:
                return await self._send_to_endpoint(job, choice)
            except EndpointError as error:
                self._handle_unsent(job, choice, error, started_at)

    async def _send_to_endpoint(self, job: Job, choice: Choice) -> Attempt:
        dependencies = self._dependencies
        endpoint = choice.endpoint
        self.selector.limits.record_attempt(job)
        job.attempts += 1
        dispatch = _build_dispatch(
            job, endpoint, lambda: self._may_send(choice)
        )
        delay = dependencies.placement.record_request(
            endpoint, job.prefill_s, build_traits(job)
        )
        self._log_sent(job, endpoint, dispatch, delay)
        dependencies.notify_work(endpoint.name, job.prefill_s)
        sent_at = read_monotonic_clock()
        try:
            exchange = await dependencies.gateway.send(job.request, dispatch)
        except BaseException:
            dependencies.placement.record_attempt_end(
                endpoint, delay.reservation
            )
            raise
        attempt = Attempt(
            endpoint=endpoint,
            exchange=exchange,
            sent_at=sent_at,
            model=dispatch.model,
            prefill_s=job.prefill_s,
            prompt_tokens=job.request.prompt_tokens,
            expected_delay_s=delay.expected_s,
            reservation=delay.reservation,
        )
        self.load.record_sent(job, attempt)
        return attempt

    def _may_send(self, choice: Choice) -> bool:
        dependencies = self._dependencies
        if dependencies.placement.get_remaining_pause(choice.endpoint):
            return False
        zone = choice.endpoint.zone
        if zone in dependencies.zones.names:
            return False
        if not dependencies.permits.is_valid(choice.permit):
            return False
        dependencies.zones.record_sent(zone, read_monotonic_clock())
        return True

    def record_failure(
        self, endpoint: EndpointRecord, lost_s: float, silent_s: float = 0
    ) -> float:
        """Record a failed attempt here and at peers; return the backoff.

        :param endpoint: the endpoint that failed.
        :param lost_s: seconds that the request spent there.
        :param silent_s: seconds of silence for which it left, or zero.
        """
        self._dependencies.notify_loss(endpoint.name, lost_s)
        return self._dependencies.placement.record_failure(
            endpoint, lost_s, silent_s=silent_s
        )

    def record_break(self, attempt: Attempt) -> None:
        """Record that an endpoint whose connection broke may have restarted.

        :param attempt: the attempt that broke.
        """
        cold = self._dependencies.permits.limits.cold
        if cold is not None:
            cold.record_failure(
                attempt.endpoint,
                read_monotonic_clock(),
                sent_at=attempt.sent_at,
            )

    def record_ended(self, attempt: Attempt) -> None:
        """Record the end of an attempt.

        :param attempt: the attempt.
        """
        self._dependencies.placement.record_attempt_end(
            attempt.endpoint, attempt.reservation
        )
        self.load.discard(attempt)

    def begin_silence(self, endpoint: EndpointRecord, silent_s: float) -> None:
        """Record that a request waits for an endpoint that is silent.

        :param endpoint: the silent endpoint.
        :param silent_s: seconds of its silence.
        """
        if self._dependencies.placement.begin_silence(endpoint):
            self._dependencies.notify_loss(endpoint.name, silent_s)

    def estimate_slowness(
        self, attempt: Attempt, timeout_s: float | None
    ) -> float:
        """Estimate how much longer an endpoint needs than was expected.

        :param attempt: the attempt that waits for it.
        :param timeout_s: seconds after which it would count as silent.
        """
        if attempt.reservation is None:
            return 0
        expected_s = attempt.expected_delay_s
        if attempt.first_byte_at:
            expected_s = timeout_s or 0
        return self._dependencies.placement.estimate_slowness(
            attempt.endpoint, attempt.reservation, expected_s
        )

    def end_silence(self, endpoint: EndpointRecord) -> None:
        """Record that such a request got an answer, or ended.

        :param endpoint: the endpoint.
        """
        self._dependencies.placement.end_silence(endpoint)

    def _handle_unsent(
        self,
        job: Job,
        choice: Choice,
        error: EndpointError,
        started_at: float,
    ) -> None:
        endpoint = choice.endpoint
        if error.run is RunState.NOT_RUN:
            self._dependencies.permits.give_back(choice.permit)
        backoff_s: float = 0
        # An endpoint with a pause or a limit may take the request later, and a
        # limit of this daemon says nothing about the endpoint.
        if not isinstance(error, EndpointPausedError | ConnectionLimitError):
            backoff_s = self.record_failure(endpoint, 0)
            cold = self._dependencies.permits.limits.cold
            if cold is not None:
                cold.record_failure(endpoint, started_at)
            job.excluded_endpoints.add(endpoint.name)
            job.avoids_cold = True
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
            is_retry = job.attempts > 0
            self._dependencies.retry_budget.discard_attempt(
                job.service, is_retry=is_retry
            )
            if is_retry:
                self.selector.limits.hold_retry(job)
            if isinstance(error, ConnectionLimitError):
                raise build_connection_error(job) from error
            return
        self.selector.ensure_retry_allowed(job, error)

    def _log_sent(
        self,
        job: Job,
        endpoint: EndpointRecord,
        dispatch: Dispatch,
        delay: SentDelay,
    ) -> None:
        table = self._dependencies.tracker.table
        limit = self._dependencies.permits.refusals.find_rate_limit(endpoint)
        self._dependencies.log.log_info(
            'sent',
            request=job.request.request_id,
            route=job.route.name,
            endpoint=endpoint.name,
            version=endpoint.version,
            model=dispatch.model,
            attempt=job.attempts,
            limit_per_s=None if limit is None else limit.rate,
            work_ms=round(job.prefill_s * _MS_PER_S),
            table=None if table is None else table.version,
            table_age_ms=round(self._dependencies.lease.age_s * _MS_PER_S),
            left_ms=round(dispatch.deadline_s * _MS_PER_S),
            **_describe_forecast(job, delay),
        )


def _describe_forecast(job: Job, delay: SentDelay) -> dict[str, Any]:
    """Return the fields that services with a pace have in the log."""
    forecast = delay.forecast
    if forecast is None:
        return {}
    age_ms = None
    if math.isfinite(forecast.age_s):
        age_ms = round(forecast.age_s * _MS_PER_S)
    return {
        'step_class': job.step_class.name.lower(),
        'slowdown': round(forecast.slowdown, 2),
        'occupancy': round(forecast.occupancy, 2),
        'report_age_ms': age_ms,
        'first_in_ms': round(forecast.first_s * _MS_PER_S),
        'finish_in_ms': round(forecast.finish_s * _MS_PER_S),
    }


def _build_dispatch(
    job: Job,
    endpoint: EndpointRecord,
    accepts_requests: Callable[[], bool],
) -> Dispatch:
    return Dispatch(
        address=endpoint.address,
        endpoint=endpoint.name,
        workspace='' if job.workspace is None else job.workspace.name,
        deadline_s=job.remaining_s,
        model='' if job.model is None else job.model.name,
        priority=job.priority if job.is_stream else None,
        last_event_id=job.last_event_id,
        is_repeatable=job.route.is_repeatable,
        accepts_requests=accepts_requests,
    )
