"""Plans the model cascade of a route, and decides when to escalate."""

from collections.abc import Sequence
from typing import Final

from laurelwind.coordination.relay_jobs import Job
from laurelwind.state.routes import Route, RouteModel

# An answer whose confidence is below the floor is discarded, and the request is
# escalated to the largest model, as long as the caller has received nothing.
# The floor is IDLE_CONFIDENCE_FLOOR when the larger model's endpoints are idle,
# BUSY_CONFIDENCE_FLOOR when their delay is BUSY_DELAY_RATIO of the latency
# goal, and zero when their delay is the whole goal; it is interpolated linearly
# in between.
IDLE_CONFIDENCE_FLOOR: Final = 60.0
BUSY_CONFIDENCE_FLOOR: Final = 42.0
BUSY_DELAY_RATIO: Final = 0.25


class ModelPlanner:
    """Plans the model cascade of a request."""

    def plan(self, route: Route) -> Sequence[RouteModel]:
        """Return the models to try, in order.

        :param route: the request's route.
        """
        if not route.models:
            return ()
        # An answer of a smaller model could not be escalated.
        can_escalate = route.is_repeatable and route.max_attempts > 1
        if not can_escalate or len(route.models) == 1:
            return (route.models[-1],)
        return (route.models[0], route.models[-1])

    def is_acceptable(
        self, job: Job, confidence: float | None, larger_model_wait_s: float
    ) -> bool:
        """Return whether an answer may be delivered without escalation.

        :param job: the request.
        :param confidence: confidence of the model in its answer, 0 to 100, or
            ``None``.
        :param larger_model_wait_s: estimated wait for the larger model, in
            seconds.
        """
        if confidence is None:
            return True
        goal_s = job.route.latency_goal_s
        # The larger model could not answer before the deadline.
        if job.remaining_s < larger_model_wait_s + goal_s:
            return True
        delay_ratio = larger_model_wait_s / goal_s
        return confidence >= compute_confidence_floor(delay_ratio)


def compute_confidence_floor(delay_ratio: float) -> float:
    """Return the confidence below which a request is escalated.

    :param delay_ratio: wait for the larger model, as a multiple of the latency
        goal.
    """
    if delay_ratio < BUSY_DELAY_RATIO:
        fraction = delay_ratio / BUSY_DELAY_RATIO
        return (
            IDLE_CONFIDENCE_FLOOR
            + (BUSY_CONFIDENCE_FLOOR - IDLE_CONFIDENCE_FLOOR) * fraction
        )
    fraction = min((delay_ratio - BUSY_DELAY_RATIO) / (1 - BUSY_DELAY_RATIO), 1)
    return BUSY_CONFIDENCE_FLOOR * (1 - fraction)
