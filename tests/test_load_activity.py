"""How long load decisions stay active."""

from laurelwind.coordination.shedding.load_decisions import (
    ACTIVE_TTL_S,
    LoadDecisions,
)
from tests.test_load_decisions import build_forecast, build_load_request


def test_decisions_end_with_the_reports_of_a_pace():
    """Load: endpoints report their pace, and then do no longer.

    Guards against delays of an outage for callers of services that are to be
    served as before.
    """
    decisions = LoadDecisions()
    request = build_load_request()
    decisions.review(request, None, 100.0)
    assert not decisions.is_active(100.0)
    decisions.review(request, build_forecast(), 100.0)
    assert decisions.is_active(130.0)
    assert not decisions.is_active(100.0 + ACTIVE_TTL_S + 1)
