"""Selects endpoints that report their pace, by forecast.

The cost of an endpoint is the predicted finish of the request there, plus the
time that the request takes from the others of its batch.
"""

import functools
import math
import random
from collections.abc import Sequence

from attrs import frozen

from laurelwind.coordination.load.batches import (
    OVERDUE_RATIO,
    BatchStatistics,
)
from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.load.predictions import EndpointFigures, predict
from laurelwind.coordination.load.service_loads import ServiceLoad
from laurelwind.coordination.load.step_classes import SHARED_LANE
from laurelwind.coordination.scheduling.endpoint_states import (
    REPORT_TTL_S,
    EndpointState,
)
from laurelwind.coordination.scheduling.memory import (
    estimate_held_tokens,
    has_memory,
)
from laurelwind.coordination.scheduling.penalties import (
    CLASS_MISMATCH_PENALTY_S,
    CROSS_ZONE_PENALTY_S,
    FULL_PENALTY_S,
)
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
    RequestTraits,
)
from laurelwind.coordination.scheduling.sampling import Candidate, draw_sample


@frozen(kw_only=True)
class Option:
    """An endpoint that was compared for a request.

    :ivar candidate: the endpoint.
    :ivar forecast: forecast for the request there.
    :ivar cost: cost in seconds.
    """

    candidate: Candidate
    forecast: Forecast
    cost: float


@frozen(kw_only=True)
class PacedRequest:
    """A request to place.

    :ivar requirements: its requirements.
    :ivar work: its work.
    :ivar load: what was learned of its service.
    :ivar now: the current moment.
    """

    requirements: PlacementRequirements
    work: Work
    load: ServiceLoad
    now: float

    @property
    def traits(self) -> RequestTraits:
        """Traits of the request."""
        return self.requirements.traits

    def get_batch(self, candidate: Candidate) -> BatchStatistics:
        """Return the usual state of the endpoints of an endpoint's class.

        :param candidate: the endpoint.
        """
        step_class = candidate.step_class
        if step_class is None:
            step_class = SHARED_LANE
        return self.load.batches[step_class]

    def fits(self, candidate: Candidate) -> bool:
        """Return whether an endpoint has the memory for the request.

        :param candidate: the endpoint.
        """
        return has_memory(candidate, self.load, self.traits, self.now)

    @property
    def events(self) -> float:
        """Expected events of its answer; zero if unknown."""
        return self.load.lengths.convert_to_events(self.work.output_tokens)


def build_work(load: ServiceLoad, traits: RequestTraits) -> Work:
    """Build the work of a request from what its service has shown.

    :param load: what was learned of the service.
    :param traits: what is known of the request.
    """
    events = load.lengths.estimate_events(
        traits.route, traits.length_hint, traits.sent_events
    )
    tokens = load.lengths.convert_to_tokens(max(events - traits.sent_events, 0))
    if traits.output_limit:
        sent = load.lengths.convert_to_tokens(traits.sent_events)
        tokens = min(tokens, max(traits.output_limit - sent, 0))
    return Work(
        prompt_tokens=traits.prompt_tokens,
        output_tokens=tokens,
        prefill_s=traits.prefill_s,
        priority=traits.priority,
    )


def choose_option(
    candidates: Sequence[Candidate],
    request: PacedRequest,
    *,
    zone: str,
    rng: random.Random,
) -> Option | None:
    """Return the best of a few endpoints, or ``None`` if there is none.

    :param candidates: endpoints that may serve the request.
    :param request: the request.
    :param zone: local availability zone.
    :param rng: random source.
    """
    draw = functools.partial(
        draw_sample,
        zone=zone,
        step_class=request.traits.step_class,
        affinity_key=request.requirements.affinity_key,
        rng=rng,
    )
    sample = draw(candidates)
    roomy = [one for one in sample.candidates if request.fits(one)]
    if not roomy:
        sample = draw([one for one in candidates if request.fits(one)])
        roomy = sample.candidates
    options = []
    for candidate in roomy:
        forecast = forecast_at(candidate, request)
        cost = _compute_cost(candidate, forecast, request, zone)
        if candidate.endpoint.name in sample.preferred:
            cost -= (
                request.requirements.reuse_saving_s
                * request.load.prefill_ratio
                * forecast.slowdown
            )
        options.append(
            Option(candidate=candidate, forecast=forecast, cost=cost)
        )
    if not options:
        return None
    # Equal costs are frequent before anything was measured; the sample is in
    # random order except for the preferred endpoints.
    return min(options, key=lambda option: option.cost)


def forecast_at(candidate: Candidate, request: PacedRequest) -> Forecast:
    """Forecast a request at one endpoint.

    :param candidate: the endpoint.
    :param request: the request.
    """
    figures = build_figures(candidate, request)
    return predict(
        figures,
        prefill_s=request.work.prefill_s
        * request.load.prefill_ratio
        * figures.slowdown,
        events=request.events,
    )


def build_figures(
    candidate: Candidate, request: PacedRequest
) -> EndpointFigures:
    """Collect what is known of an endpoint.

    :param candidate: the endpoint.
    :param request: the request to forecast.
    """
    state = candidate.state
    now = request.now
    report = state.get_report(now)
    slots = max(candidate.endpoint.slots, 1)
    requests = _estimate_requests(candidate, request)
    waiting = max(requests - slots, 0 if report is None else report.waiting)
    slowdown = _estimate_slowdown(candidate, request)
    limit = request.traits.memory_limit
    return EndpointFigures(
        running=max(requests - waiting, 0),
        waiting=waiting,
        slots=slots,
        queued_s=_estimate_queue(candidate, request, slowdown),
        hold_s=request.get_batch(candidate).hold_s * slowdown,
        event_s=_estimate_event(candidate, request, requests),
        slowdown=slowdown,
        memory_share=(
            estimate_held_tokens(candidate, request.load, now) / limit
            if limit
            else 0
        ),
        age_s=math.inf if report is None else now - state.reported_at,
    )


def _estimate_requests(candidate: Candidate, request: PacedRequest) -> float:
    """Estimate the requests at an endpoint.

    One without a recent report counts as loaded as the others: if it counted as
    empty, requests would prefer what is not known.
    """
    state = candidate.state
    requests = state.estimate_requests(request.now)
    known = (
        0 if state.report is None else state.get_remaining_share(request.now)
    )
    usual = request.load.usual_requests
    return max(requests, requests * known + usual * (1 - known))


def _estimate_queue(
    candidate: Candidate, request: PacedRequest, slowdown: float
) -> float:
    """Estimate the seconds until the prompts queued at an endpoint are read.

    Requests count as waiting until their first token, so that those which wait
    by the report have prompts to be read. Hints tell of few of them.
    """
    state = candidate.state
    queue_s = state.estimate_queue_delay(request.now)
    report = state.get_report(request.now)
    if report is None:
        return queue_s
    reported_s = report.waiting * request.load.usual_prefill_s * slowdown
    return max(queue_s, reported_s - (request.now - state.reported_at))


def _estimate_slowdown(candidate: Candidate, request: PacedRequest) -> float:
    """Estimate the slowdown, that of the service before the first report."""
    pace = candidate.state.pace
    if not pace.is_known:
        return request.load.usual_slowdown
    return pace.estimate(request.now)


def _estimate_event(
    candidate: Candidate, request: PacedRequest, running: float
) -> float:
    state = candidate.state
    slowdown = _estimate_slowdown(candidate, request)
    usual_s = request.load.estimate_event(
        (candidate.step_class, request.traits.step_class), running + 1
    )
    measured_s = state.get_unit_latency(request.now)
    # Half the weight: it is measured over some time, and the pace changes.
    return (
        (usual_s * slowdown + measured_s) / 2
        if measured_s
        else usual_s * slowdown
    )


def _compute_cost(
    candidate: Candidate,
    forecast: Forecast,
    request: PacedRequest,
    zone: str,
) -> float:
    state: EndpointState = candidate.state
    now = request.now
    cost = forecast.finish_s + state.get_expected_loss(now)
    cost += _measure_overdue(candidate, forecast, request)
    cost += (1 - state.estimate_return_share(now)) * FULL_PENALTY_S
    if candidate.endpoint.zone != zone:
        cost += CROSS_ZONE_PENALTY_S
    if not request.events or forecast.finish_s <= forecast.start_s:
        # The finish is unknown.
        cost += forecast.occupancy * FULL_PENALTY_S
    return cost + _compute_delay_of_others(candidate, forecast, request)


def _measure_overdue(
    candidate: Candidate, forecast: Forecast, request: PacedRequest
) -> float:
    """Return the seconds by which an endpoint's next report is overdue.

    Endpoints report when they answer, so one that stalls reports nothing, and
    its last report shows less than it holds.
    """
    batch = request.get_batch(candidate)
    if forecast.age_s > REPORT_TTL_S:
        return 0
    usual_s = batch.report_age_s
    batch.record_report_age(forecast.age_s)
    return max(forecast.age_s - OVERDUE_RATIO * usual_s, 0)


def _compute_delay_of_others(
    candidate: Candidate, forecast: Forecast, request: PacedRequest
) -> float:
    """Return the seconds that all requests of the batch lose together."""
    load = request.load
    step_class = request.traits.step_class
    lane = candidate.step_class
    others = _estimate_requests(candidate, request)
    event_delay_s = load.event_times[step_class].slope_s
    mismatch_s: float = 0
    if lane is not None and step_class < lane:
        own_s = load.event_times[step_class].mean_s
        event_delay_s += max(own_s - load.event_times[lane].mean_s, 0)
        mismatch_s = CLASS_MISMATCH_PENALTY_S
    delay_s = request.work.prefill_s * load.prefill_ratio
    delay_s += request.events * event_delay_s
    return mismatch_s + others * delay_s * forecast.slowdown
