"""Memory that requests hold at endpoints that report their pace."""

from laurelwind.coordination.load.service_loads import ServiceLoad
from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.coordination.scheduling.endpoint_states import (
    ARRIVAL_TTL_S,
    REPORT_TTL_S,
)
from laurelwind.coordination.scheduling.requirements import RequestTraits
from laurelwind.coordination.scheduling.reservations import estimate_tokens
from laurelwind.coordination.scheduling.sampling import Candidate


def has_room(
    candidate: Candidate, load: ServiceLoad, traits: RequestTraits, now: float
) -> bool:
    """Return whether an endpoint has the memory for a request.

    :param candidate: the endpoint.
    :param load: what was learned of its service.
    :param traits: what is known of the request.
    :param now: the current moment.
    """
    if not traits.memory_limit:
        return True
    tokens = estimate_tokens(load, traits)
    held = estimate_held_tokens(candidate, load, now, tokens)
    return held + tokens <= traits.memory_limit


def estimate_held_tokens(
    candidate: Candidate, load: ServiceLoad, now: float, usual: float = 0
) -> float:
    """Estimate the tokens that all requests at an endpoint may hold.

    Those of this daemon are counted.  Of others, the report gives the number,
    hints the prompts since, and the usual rate the requests without a hint.

    :param candidate: the endpoint.
    :param load: what was learned of its service.
    :param now: the current moment.
    :param usual: tokens of a request while none of its class was seen.
    """
    state = candidate.state
    step_class = candidate.step_class
    if step_class is None:
        step_class = StepClass.HEAVY
    batch = load.batches[step_class]
    age_s = min(max(now - state.reported_at, 0), REPORT_TTL_S)
    hinted, hinted_tokens = state.arrivals.count_remote(
        max(state.reported_at, now - ARRIVAL_TTL_S)
    )
    others = max(state.estimate_requests(now) - state.in_flight - hinted, 0)
    if state.report is not None:
        others += max(batch.estimate_arrivals(age_s) - hinted, 0)
    held = batch.tokens.estimate_total(others) or usual * others
    return state.held_tokens + held + hinted_tokens
