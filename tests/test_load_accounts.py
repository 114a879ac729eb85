"""Each request counts once, with its last outcome."""

import pytest

from laurelwind.coordination.shedding.demand import ServiceDemand
from laurelwind.errors import CapacityError
from tests.test_load_gate import EMPTY, HOPELESS, build_harness, build_job


def test_request_that_is_moved_to_the_old_version_counts_as_admitted():
    """Load: the endpoints of the version on trial are full.

    Guards against a floor that falls with requests that are served.
    """
    harness = build_harness(
        forecasts={'e1': HOPELESS, 'e2': HOPELESS, 'e3': EMPTY}
    )
    harness.rollouts.is_rolling_out = lambda service: True
    harness.rollouts.filter_endpoints = (
        lambda service, key, endpoints, allows_target: [
            endpoint
            for endpoint in endpoints
            if (endpoint.name == 'e3') is not allows_target
        ]
    )
    sender = harness.relay._dependencies.sender
    job = build_job('look')
    assert sender.selector.choose(job).name == 'e3'
    demand = sender.load.decisions.get_service('pool').demand
    assert demand.admitted_share == pytest.approx(1)
    assert sum(demand._admitted) == 1


def test_request_that_is_rejected_later_is_no_longer_admitted():
    """Load: the queue grows while a request waits.

    Guards against admitted work that never reached an endpoint.
    """
    harness = build_harness(forecasts=[EMPTY, HOPELESS])
    gate = harness.relay._dependencies.sender.load
    (endpoint, *_) = harness.directory.list_ready('pool')
    job = build_job('look')
    gate.review(job, endpoint)
    with pytest.raises(CapacityError):
        gate.review(job, endpoint)
    demand = gate.decisions.get_service('pool').demand
    assert sum(demand._admitted) == 0
    assert demand.admitted_share < 0.5


def test_revised_outcome_counts_as_if_it_had_been_first():
    """Load: other requests are decided between both reviews."""
    shares = []
    for is_admitted in (False, True):
        demand = ServiceDemand(admitted_share=0.5)
        demand.record_outcome(1, 5, 99.8, is_admitted=True)
        counted = demand.record_outcome(1, 5, 100, is_admitted=is_admitted)
        demand.record_outcome(1, 5, 100.3, is_admitted=False)
        if is_admitted:
            demand.revise_outcome(counted)
        shares.append((demand.admitted_share, sum(demand._admitted)))
    assert shares[0] == pytest.approx(shares[1])
