"""When callers that load decisions reject return."""

import random

from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.load_gate import build_load_request
from tests.test_load_decisions import build_forecast, press
from tests.test_load_gate import build_job


def test_few_rejected_callers_do_not_return_together():
    """Load: a part of the work has to go, that of the highest draws.

    Guards against returns that are spread by the draw that decides, which is
    about the same for all that are rejected.
    """
    random.seed(3)
    decisions = press(LoadDecisions(), priority=0)
    forecast = build_forecast(start_s=0.3, first_s=0.4, occupancy=1.3)
    delays = []
    for step in range(100):
        job = build_job('draft', timeout_s=20.0)
        job.load_draw = 0.95 + step / 2000
        decision = decisions.review(build_load_request(job), forecast, 100.0)
        assert decision.is_shed
        delays.append(decision.retry_after_s)
    assert max(delays) - min(delays) > 0.1
