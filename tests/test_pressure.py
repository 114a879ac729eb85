"""What confirms pressure where the forecast of a request is unknown."""

import orjson
import pytest

from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from tests.test_load_decisions import build_forecast, build_load_request
from tests.test_workspace_demand import PRESSED, build_gossip

UNKNOWN = build_forecast(age_s=9)


def test_one_waiting_request_does_not_confirm_pressure():
    """Load: one request waits and is reviewed every 0.25 s.

    Guards against refusals where a single endpoint is known to be full.
    """
    decisions = LoadDecisions()
    request = build_load_request(draw=0, priority=9)
    decision = None
    for step in range(20):
        decision = decisions.review(
            request, PRESSED, 100 + step / 4, last=decision
        )
    other = build_load_request(priority=9)
    assert not decisions.review(other, UNKNOWN, 105.0).is_shed


@pytest.mark.parametrize(('peers', 'is_shed'), [(1, False), (3, True)])
def test_one_peer_does_not_confirm_pressure(clock, peers, is_shed):
    """Load: the peers report pressure on three priorities each.

    Guards against refusals by the evidence of a single daemon.
    """
    local = build_gossip(clock, address='d1')
    local._decisions.get_service('pool')
    for number in range(peers):
        peer = build_gossip(clock, address=f'peer{number}')
        for priority in (1, 3, 7):
            request = build_load_request(priority=priority)
            peer._decisions.review(request, PRESSED, clock.now)
        local.receive(orjson.loads(peer.encode()))
    request = build_load_request(priority=9)
    decision = local._decisions.review(request, UNKNOWN, clock.now)
    assert decision.is_shed is is_shed
