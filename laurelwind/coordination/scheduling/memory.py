"""Memory that requests hold at endpoints that report their pace."""

from typing import Final

from laurelwind.coordination.load.batches import BatchStatistics
from laurelwind.coordination.load.service_loads import ServiceLoad
from laurelwind.coordination.load.step_classes import SHARED_LANE
from laurelwind.coordination.scheduling.endpoint_states import (
    ARRIVAL_TTL_S,
    REPORT_TTL_S,
    EndpointState,
)
from laurelwind.coordination.scheduling.requirements import RequestTraits
from laurelwind.coordination.scheduling.reservations import estimate_tokens
from laurelwind.coordination.scheduling.sampling import Candidate

# Share of an endpoint's memory that is used.  What other daemons send is known
# late, and an endpoint whose memory is exceeded crashes with all its requests.
USABLE_SHARE: Final = 0.85
# Requests of this daemon at an endpoint that has not reported yet, while others
# of its service do: nothing is known of what it holds for other daemons.
MAX_UNREPORTED: Final = 2


def has_memory(
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
    state = candidate.state
    if state.report is None and state.in_flight >= MAX_UNREPORTED:
        return False
    tokens = estimate_tokens(load, traits)
    held = estimate_held_tokens(candidate, load, now, tokens)
    return held + tokens <= traits.memory_limit * USABLE_SHARE


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
        step_class = SHARED_LANE
    batch = load.batches[step_class]
    hinted, hinted_tokens = state.arrivals.count_remote(
        max(state.reported_at, now - ARRIVAL_TTL_S)
    )
    others = max(state.estimate_requests(now) - state.in_flight - hinted, 0)
    others += max(_estimate_unseen(state, batch, now) - hinted, 0)
    known = max(other.tokens.mean for other in load.batches.values())
    held = batch.tokens.estimate_total(others, now, max(usual, known))
    return state.held_tokens + held + hinted_tokens


def _estimate_unseen(
    state: EndpointState, batch: BatchStatistics, now: float
) -> float:
    if state.report is None:
        return 0
    age_s = min(max(now - state.reported_at, 0), REPORT_TTL_S)
    return batch.estimate_unseen(age_s) * state.get_remaining_share(now)
