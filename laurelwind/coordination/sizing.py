"""Which model of a route a request gets, and when a larger one takes over."""

from collections.abc import Sequence
from typing import Final

from laurelwind.coordination.jobs import Job
from laurelwind.state.routes import ModelSize, Route

# An answer whose model is less confident than this is asked again of the
# largest model, while the caller has received none of it.
CONFIDENCE_FLOOR: Final = 60.0
# Part of a request's latency goal that the largest model's endpoints may be
# behind before no answer is asked again; the floor sinks in proportion.
BEHIND_SHARE: Final = 0.6


class ModelPlanner:
    """Plans the models of a request."""

    def plan(self, route: Route) -> Sequence[ModelSize]:
        """Give the models to ask in turn.

        :param route: the request's route.
        """
        if not route.models:
            return ()
        if route.max_attempts < 2 or len(route.models) == 1:
            return (route.models[-1],)
        return (route.models[0], route.models[-1])

    def is_acceptable(
        self, job: Job, confidence: float | None, larger_wait_s: float
    ) -> bool:
        """Tell whether an answer is kept.

        :param job: the request.
        :param confidence: the model's opinion of it, 0 to 100.
        :param larger_wait_s: seconds that a larger model's endpoint is behind.
        """
        if confidence is None:
            return True
        limit_s = job.route.latency_goal_s * BEHIND_SHARE
        left = max(1 - larger_wait_s / limit_s, 0)
        return confidence >= CONFIDENCE_FLOOR * left
