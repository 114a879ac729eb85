"""Confidence floor of the model cascade, when idle and under load.

During a burst, escalating every answer of low confidence delays all answers of
the largest model; answers that are almost certainly wrong must still be
escalated.
"""

from hypothesis import given
from hypothesis import strategies as st

from laurelwind.coordination.model_planning import (
    BUSY_CONFIDENCE_FLOOR,
    BUSY_DELAY_RATIO,
    IDLE_CONFIDENCE_FLOOR,
    ModelPlanner,
    compute_confidence_floor,
)
from laurelwind.state.routes import RequestKind, RouteModel
from tests.relay_helpers import LARGE, SMALL, build_route


def test_the_floor_is_highest_when_idle():
    assert compute_confidence_floor(0) == IDLE_CONFIDENCE_FLOOR


def test_under_load_only_answers_of_very_low_confidence_are_escalated():
    assert compute_confidence_floor(BUSY_DELAY_RATIO) == BUSY_CONFIDENCE_FLOOR


def test_no_answer_is_escalated_past_the_latency_goal():
    assert compute_confidence_floor(1) == 0
    assert compute_confidence_floor(7) == 0


@given(st.floats(0, 3), st.floats(0, 3))
def test_the_floor_never_rises_with_load(first, second):
    low, high = sorted((first, second))
    assert compute_confidence_floor(low) >= compute_confidence_floor(high)


def test_only_the_smallest_and_the_largest_model_are_planned():
    medium = RouteModel(name='medium', cost=0.1)
    planned = ModelPlanner().plan(
        build_route(
            'r',
            RequestKind.STREAMING,
            is_resumable=True,
            models=(SMALL, medium, LARGE),
        )
    )
    assert planned == (SMALL, LARGE)


def test_a_route_that_may_run_once_gets_the_largest_model():
    """Its answer of low confidence was dropped, and the request ran again."""
    planned = ModelPlanner().plan(
        build_route('r', RequestKind.STREAMING, models=(SMALL, LARGE))
    )
    assert planned == (LARGE,)


def test_a_route_with_one_attempt_gets_the_largest_model():
    planned = ModelPlanner().plan(
        build_route(
            'r',
            RequestKind.STREAMING,
            is_resumable=True,
            models=(SMALL, LARGE),
            max_attempts=1,
        )
    )
    assert planned == (LARGE,)
