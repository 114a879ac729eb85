"""Which model of a route a request gets, and when a larger one takes over."""

from collections.abc import Sequence
from typing import Final

from laurelwind.state.routes import ModelSize, Route

# An answer whose model is less confident than this is asked again of the
# largest model, while the caller has received none of it.
CONFIDENCE_FLOOR: Final = 60.0
# Part of the retry window below which answers are kept whatever the
# confidence, so that room for failures is left.
LEAST_ROOM: Final = 0.35


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

    def is_acceptable(self, confidence: float | None, room: float) -> bool:
        """Tell whether an answer is kept.

        :param confidence: the model's opinion of it, 0 to 100.
        :param room: part of the retry window that is left.
        """
        if confidence is None or room < LEAST_ROOM:
            return True
        return confidence >= CONFIDENCE_FLOOR
