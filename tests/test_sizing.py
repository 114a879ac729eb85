"""How sure a small model must be, calm and under load.

The pattern: a burst, in which asking the largest model again for every doubted
answer makes all of its answers late, while answers that are almost surely
wrong are still worth asking again.
"""

from hypothesis import given
from hypothesis import strategies as st

from laurelwind.coordination.sizing import (
    BUSY_CONFIDENCE_FLOOR,
    BUSY_DELAY_RATIO,
    IDLE_CONFIDENCE_FLOOR,
    ModelPlanner,
    compute_confidence_floor,
)
from laurelwind.state.routes import RequestKind
from tests.relay_helpers import LARGE, SMALL, route


def test_the_floor_is_highest_on_a_calm_day():
    assert compute_confidence_floor(0) == IDLE_CONFIDENCE_FLOOR


def test_a_busy_day_asks_again_only_what_is_almost_surely_wrong():
    assert compute_confidence_floor(BUSY_DELAY_RATIO) == BUSY_CONFIDENCE_FLOOR


def test_nothing_is_asked_again_that_would_come_late_anyway():
    assert compute_confidence_floor(1) == 0
    assert compute_confidence_floor(7) == 0


@given(st.floats(0, 3), st.floats(0, 3))
def test_more_load_never_asks_more(first, second):
    low, high = sorted((first, second))
    assert compute_confidence_floor(low) >= compute_confidence_floor(high)


def test_only_the_smallest_and_the_largest_are_asked():
    middle = SMALL
    planned = ModelPlanner().plan(
        route('r', RequestKind.STREAMING, models=(SMALL, middle, LARGE))
    )
    assert planned == (SMALL, LARGE)


def test_a_route_that_allows_one_attempt_gets_the_largest():
    planned = ModelPlanner().plan(
        route(
            'r',
            RequestKind.STREAMING,
            models=(SMALL, LARGE),
            max_attempts=1,
        )
    )
    assert planned == (LARGE,)
