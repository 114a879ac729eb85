"""Applies load decisions to the requests of a relay."""

from collections.abc import Callable
from typing import Final

from attrs import field, frozen

from laurelwind.coordination.load.forecasts import Work
from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.request_placement import RequestPlacement
from laurelwind.coordination.selection_errors import build_shed_error
from laurelwind.coordination.shedding.decisions import (
    LoadDecision,
    LoadRequest,
)
from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.pressure import has_room
from laurelwind.coordination.shedding.rules import is_fresh
from laurelwind.coordination.shedding.urgent_classes import UrgentClasses
from laurelwind.decisions import DecisionLog
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Further endpoints that are compared before a request is rejected for its
# deadline, so that the work per request does not grow with the fleet.
MAX_ALTERNATIVES: Final = 2
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class LoadGate:
    """Reviews requests by load before they are sent and while they wait.

    :ivar decisions: makes the decisions.
    :ivar placement: forecasts requests.
    :ivar urgent: the most urgent requests of each service.
    :ivar count: called with the outcome and the reason of each decision.
    :ivar log: decision log.
    """

    decisions: LoadDecisions
    placement: RequestPlacement
    urgent: UrgentClasses
    count: Callable[[str, str], None]
    log: DecisionLog
    # Service and priority of the attempts without an answer, by their id().
    _attempts: dict[int, tuple[str, int]] = field(factory=dict, init=False)

    def review(
        self, job: Job, endpoint: EndpointRecord, delay_s: float = 0
    ) -> EndpointRecord:
        """Reject a request that the load does not allow to be served.

        A request that an endpoint may have run is never rejected.

        :param job: the request.
        :param endpoint: the endpoint that was selected for it.
        :param delay_s: seconds until it may be sent, as it waits for a permit.
        :returns: the endpoint to send it to: the selected one, or another one
            where it is in time or of the old version of a service.
        :raises CapacityError: if the request is rejected.
        """
        job.forecast = None
        if job.may_have_run or job.events:
            return endpoint
        work = self.placement.estimate_work(job)
        if work is None:
            return endpoint
        job.work = work
        now = read_monotonic_clock()
        job.forecast = self.placement.forecast_at(job, endpoint, work)
        if job.forecast is None:
            return endpoint
        request = build_load_request(job, delay_s)
        if self.decisions.misses_deadline(request, job.forecast, now):
            timely = self._choose_timely(job, endpoint, now)
            if timely is not None:
                endpoint = timely
                request = build_load_request(job)
        self._record_urgent(job, endpoint, now)
        is_first = job.load_decision is None
        decision = self.decisions.review(
            request, job.forecast, now, last=job.load_decision
        )
        if decision.is_shed:
            old = self._choose_old_version(job)
            if old is not None:
                endpoint = old
                decision = self.decisions.review(
                    build_load_request(job), job.forecast, now, last=decision
                )
        job.load_decision = decision
        if is_first or decision.is_shed:
            self.count(decision.outcome, decision.reason)
        if decision.is_shed:
            self._log_shed(job, request, decision)
            raise build_shed_error(decision)
        return endpoint

    def record_sent(self, job: Job, attempt: Attempt) -> None:
        """Track an attempt, to compare its delay with the forecast.

        :param job: the request.
        :param attempt: the attempt.
        """
        if job.forecast is None or job.events:
            return
        self._attempts[id(attempt)] = (job.service, job.priority)
        self.decisions.record_sent(
            str(id(attempt)),
            build_load_request(job),
            job.forecast,
            attempt.sent_at,
        )

    def record_answer(self, attempt: Attempt) -> None:
        """Record that the head of an answer has arrived.

        :param attempt: the attempt that is answered.
        """
        place = self._attempts.pop(id(attempt), None)
        if place is not None:
            self.decisions.record_answer(
                str(id(attempt)), *place, read_monotonic_clock()
            )

    def discard(self, attempt: Attempt) -> None:
        """Record that an attempt has ended.

        :param attempt: the attempt.
        """
        place = self._attempts.pop(id(attempt), None)
        if place is not None:
            self.decisions.discard(str(id(attempt)), *place)

    def _choose_timely(
        self, job: Job, endpoint: EndpointRecord, now: float
    ) -> EndpointRecord | None:
        """Select an endpoint that is not known to miss the deadline."""
        request = build_load_request(job)
        compared = {endpoint.name}
        for _ in range(MAX_ALTERNATIVES):
            other = self.placement.choose_untried(
                job, avoids_backoff=True, compared=compared
            )
            if other is None:
                break
            forecast = self.placement.forecast_at(job, other, job.work)
            if forecast is None:
                break
            if not self.decisions.misses_deadline(request, forecast, now):
                job.forecast = forecast
                return other
            compared.add(other.name)
        return None

    def _choose_old_version(self, job: Job) -> EndpointRecord | None:
        """Select an endpoint of the old version if only that one has room."""
        if job.request.session or job.avoids_target_version:
            return None
        if not self.placement.is_rolling_out(job):
            return None
        job.avoids_target_version = True
        endpoint = self.placement.choose_untried(job)
        if endpoint is not None:
            forecast = self.placement.forecast_at(job, endpoint, job.work)
            if (
                forecast is not None
                and is_fresh(forecast)
                and has_room(forecast, job.route.latency_goal_s)
            ):
                job.forecast = forecast
                return endpoint
        job.avoids_target_version = False
        return None

    def _record_urgent(
        self, job: Job, endpoint: EndpointRecord, now: float
    ) -> None:
        """Record how long the most urgent requests would wait there."""
        forecast = job.forecast
        urgent = self.urgent.find(job.service)
        if urgent is None or urgent.priority >= job.priority:
            return
        if forecast is None or not is_fresh(forecast):
            return
        if has_room(forecast, urgent.goal_s):
            return
        work = Work(priority=urgent.priority)
        urgent_forecast = self.placement.forecast_at(job, endpoint, work)
        if urgent_forecast is not None:
            self.decisions.record_forecast(
                LoadRequest(
                    service=job.service,
                    kind=urgent.route,
                    request_id=job.request.request_id,
                    priority=urgent.priority,
                    work=work,
                    is_stream=urgent.is_stream,
                    goal_s=urgent.goal_s,
                    remaining_s=urgent.goal_s,
                    draw=0,
                    return_draw=0,
                ),
                urgent_forecast,
                now,
            )

    def _log_shed(
        self, job: Job, request: LoadRequest, decision: LoadDecision
    ) -> None:
        forecast = job.forecast
        self.log.log_warning(
            'shed',
            request=job.request.request_id,
            route=job.route.name,
            service=job.service,
            workspace=request.workspace,
            session=bool(job.request.session),
            priority=request.priority,
            reason=decision.reason,
            work=request.amount,
            attempts=job.attempts,
            start_s=None if forecast is None else round(forecast.start_s, 3),
            occupancy=(
                None if forecast is None else round(forecast.occupancy, 3)
            ),
            needed_s=round(decision.needed_s, 3),
            goal_s=request.goal_s,
            left_ms=round(request.remaining_s * _MS_PER_S),
            delay_s=round(request.delay_s, 3),
            shed_share=round(decision.shed_share, 3),
            floor=round(decision.floor, 3),
            draw=round(request.draw, 3),
            evidence_age_s=round(decision.evidence_age_s, 3),
            retry_after_s=round(decision.retry_after_s, 3),
        )


def build_load_request(job: Job, delay_s: float = 0) -> LoadRequest:
    """Build the input of a load decision.

    :param job: the request.
    :param delay_s: seconds until it may be sent.
    """
    return LoadRequest(
        service=job.service,
        kind=job.route.name,
        request_id=job.request.request_id,
        workspace='' if job.workspace is None else job.workspace.name,
        priority=job.priority,
        work=job.work,
        is_stream=job.is_stream,
        goal_s=job.route.latency_goal_s,
        elapsed_s=job.elapsed_s,
        remaining_s=job.remaining_s,
        delay_s=delay_s,
        draw=job.load_draw,
        return_draw=job.return_draw,
    )
