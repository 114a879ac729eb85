"""Which model of a route a request gets, and when a larger one takes over."""

from collections.abc import Sequence
from typing import Final

from laurelwind.coordination.jobs import Job
from laurelwind.state.routes import ModelSize, Route

# An answer whose model is less confident than this is asked again of the
# largest model, while the caller has received none of it: where its endpoints
# are free, where they are behind by a part of the latency goal, and where they
# are behind by all of it.  In between the floor sinks in proportion.
CALM_FLOOR: Final = 60.0
BUSY_FLOOR: Final = 42.0
BUSY_SHARE: Final = 0.25


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
        behind = larger_wait_s / job.route.latency_goal_s
        return confidence >= find_floor(behind)


def find_floor(behind: float) -> float:
    """Give the confidence below which a larger model is asked.

    :param behind: how far its endpoints are behind, in latency goals.
    """
    if behind < BUSY_SHARE:
        part = behind / BUSY_SHARE
        return CALM_FLOOR + (BUSY_FLOOR - CALM_FLOOR) * part
    part = min((behind - BUSY_SHARE) / (1 - BUSY_SHARE), 1)
    return BUSY_FLOOR * (1 - part)
