"""Rules by which a request is sent or rejected, in order of precedence."""

import math
from typing import Final

from attrs import frozen

from laurelwind.coordination.load.forecasts import Forecast
from laurelwind.coordination.shedding.decisions import (
    LoadDecision,
    LoadOutcome,
    LoadReason,
    LoadRequest,
)
from laurelwind.coordination.shedding.demand import EXCESS_PRIORITY
from laurelwind.coordination.shedding.pressure import (
    EVIDENCE_TTL_S,
    TARGET_RATIO,
    has_room,
)
from laurelwind.coordination.shedding.return_times import compute_return_delay
from laurelwind.coordination.shedding.service_evidence import ServiceEvidence

# How many times as probable the rejection of a late request is: at a low shed
# share not every late request has to go.
LATE_WEIGHT: Final = 4.0
# Smallest relative work that counts, which bounds the exponent.
_MIN_RELATIVE_WORK: Final = 0.05


@frozen(kw_only=True)
class Review:
    """A request under review, with all inputs of the decision.

    :ivar load: load of the service.
    :ivar request: the request.
    :ivar rank: its priority, or ``EXCESS_PRIORITY`` if it is beyond the usual
        share of its workspace.
    :ivar rank_draw: random number in [0, 1) among the requests of that rank.
    :ivar forecast: fresh forecast, or ``None``.
    :ivar corrected: the same with the delay that the priority really has.
    :ivar now: current moment on the monotonic clock.
    """

    load: ServiceEvidence
    request: LoadRequest
    rank: int
    rank_draw: float
    forecast: Forecast | None
    corrected: Forecast | None
    now: float

    @property
    def needed_s(self) -> float:
        """Seconds until the first event or answer, infinite if unknown."""
        if self.corrected is None:
            return math.inf
        return self.request.get_needed_time(self.corrected)

    @property
    def has_floor(self) -> bool:
        """Whether the request is within the floor of all requests."""
        return self.request.draw < self.load.demand.floor


def rank_request(request: LoadRequest, excess: float) -> tuple[int, float]:
    """Return the rank of a request and its draw within the rank.

    Requests beyond the usual share of their workspace rank behind all others.

    :param request: the request.
    :param excess: share of the workspace's demand beyond its usual share.
    """
    if excess > 0 and request.draw >= 1 - excess:
        return EXCESS_PRIORITY, 1 - (1 - request.draw) / excess
    return request.priority, request.draw / (1 - excess)


def decide(review: Review) -> LoadDecision:
    """Return the decision about a request.

    :param review: the request and the inputs.
    """
    load = review.load
    request = review.request
    if review.forecast is None:
        if not load.pressure.is_confirmed(review.now):
            return _admit(review, LoadReason.UNKNOWN)
    elif has_room(review.forecast, request.goal_s):
        return _admit(review, LoadReason.ROOM)
    shed_share = load.demand.compute_shed_probability(
        review.rank, load.pressure.list_shed_shares(review.now)
    )
    if _misses_deadline(review):
        return _shed(review, LoadReason.DEADLINE, shed_share)
    if shed_share > 0 and review.has_floor:
        return _admit(review, LoadReason.FLOOR)
    reason = _find_reason(review, shed_share) if shed_share > 0 else None
    if reason is None:
        return _admit(review, LoadReason.CAPACITY)
    return _shed(review, reason, shed_share)


def _misses_deadline(review: Review) -> bool:
    if review.forecast is None:
        return False
    remaining_s = review.request.remaining_s
    if review.request.get_needed_time(review.forecast) > remaining_s:
        return True
    # A corrected forecast is less certain, so the floor takes precedence.
    return review.needed_s > remaining_s and not review.has_floor


def _find_reason(review: Review, shed_share: float) -> LoadReason | None:
    """Return why a request is rejected, or ``None`` if it is not.

    Of requests of one rank, those that would be late are rejected before those
    that would not, and then those with the most work for their kind.
    """
    request = review.request
    goal_left_s = request.goal_s - request.elapsed_s
    is_late = review.corrected is not None and review.needed_s > goal_left_s
    if is_late and review.rank_draw >= 1 - LATE_WEIGHT * shed_share:
        return LoadReason.LATE
    relative = review.load.demand.get_relative_work(
        request.kind, request.amount
    )
    # At the usual work of the kind (0.5) this is the shed share itself.
    exponent = 1 / (2 * max(relative, _MIN_RELATIVE_WORK))
    if review.rank_draw < 1 - shed_share**exponent:
        return None
    if review.rank == EXCESS_PRIORITY:
        return LoadReason.WORKSPACE
    if review.rank_draw < 1 - shed_share:
        return LoadReason.WORK
    return LoadReason.PRIORITY


def _admit(review: Review, reason: LoadReason) -> LoadDecision:
    waits = review.request.delay_s > 0
    return LoadDecision(
        outcome=LoadOutcome.WAIT if waits else LoadOutcome.SEND,
        reason=reason,
        needed_s=review.needed_s,
        evidence_age_s=review.load.pressure.get_age(review.now),
    )


def _shed(
    review: Review, reason: LoadReason, shed_share: float
) -> LoadDecision:
    request = review.request
    target_s = TARGET_RATIO * request.goal_s
    drain_s = target_s
    if review.corrected is not None:
        drain_s = max(review.corrected.start_s - target_s, 0)
    return LoadDecision(
        outcome=LoadOutcome.SHED,
        reason=reason,
        needed_s=review.needed_s,
        shed_share=shed_share,
        floor=review.load.demand.floor,
        evidence_age_s=review.load.pressure.get_age(review.now),
        retry_after_s=compute_return_delay(
            drain_s=drain_s,
            shed_share=shed_share,
            priority=request.priority,
            goal_left_s=request.goal_s - request.elapsed_s,
            remaining_s=request.remaining_s,
            draw=request.return_draw,
        ),
    )


def is_fresh(forecast: Forecast | None) -> bool:
    """Return whether a forecast rests on a report that is young enough.

    :param forecast: the forecast, or ``None``.
    """
    return forecast is not None and forecast.age_s <= EVIDENCE_TTL_S
