"""Predicts when an endpoint serves a request, from figures known of it."""

import math

from attrs import frozen

from laurelwind.coordination.load.forecasts import Forecast


@frozen(kw_only=True)
class EndpointFigures:
    """What is known of an endpoint at the moment of a forecast.

    :ivar running: requests that run.
    :ivar waiting: requests that wait.
    :ivar slots: requests that run concurrently at most.
    :ivar queued_s: seconds until the prompts queued there are read.
    :ivar hold_s: seconds for which a request takes a slot there.
    :ivar event_s: seconds per event there.
    :ivar slowdown: time that work takes, as a multiple of the usual time.
    :ivar memory_share: share of the memory that is taken.
    :ivar age_s: age of the report, infinite if there is none.
    """

    running: float
    waiting: float
    slots: int
    queued_s: float = 0
    hold_s: float = 0
    event_s: float = 0
    slowdown: float = 1.0
    memory_share: float = 0
    age_s: float = math.inf


def predict(
    figures: EndpointFigures, *, prefill_s: float, events: float
) -> Forecast:
    """Predict when an endpoint would serve a request.

    :param figures: what is known of the endpoint.
    :param prefill_s: seconds to read the prompt there.
    :param events: expected events of the answer; zero if unknown.
    """
    start_s = max(_predict_slot_wait(figures), figures.queued_s)
    first_s = start_s + prefill_s + figures.event_s
    occupancy = (figures.running + figures.waiting) / max(figures.slots, 1)
    return Forecast(
        start_s=start_s,
        first_s=first_s,
        finish_s=first_s + max(events - 1, 0) * figures.event_s,
        occupancy=max(occupancy, figures.memory_share),
        slowdown=figures.slowdown,
        age_s=figures.age_s,
    )


def _predict_slot_wait(figures: EndpointFigures) -> float:
    """Predict the wait for a slot: they become free one after the other."""
    slots = max(figures.slots, 1)
    ahead = figures.waiting + figures.running + 1 - slots
    return max(ahead, 0) * figures.hold_s / slots
