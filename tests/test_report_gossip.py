"""Load reports between daemons, over links that lose and delay datagrams."""

import random

import orjson
import pytest

from laurelwind.coordination.load.report_gossip import (
    FANOUT,
    PERIOD_S,
    ReportGossip,
)
from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.coordination.scheduling.endpoint_states import REPORT_TTL_S
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.requirements import RequestTraits
from laurelwind.protocol.datagrams import MAX_DATAGRAM_BYTES
from laurelwind.protocol.exchanges import LoadReport
from laurelwind.protocol.load_reports import (
    MAX_REPORTS,
    SharedClass,
    SharedReport,
    decode_demand,
    decode_reports,
    encode_reports,
)
from tests.relay_helpers import (
    SilentChannel,
    build_endpoint_record,
    build_silent_log,
    patch_placement_clock,
)

ENDPOINTS = {
    f'e{number}': build_endpoint_record(f'e{number}', slots=64)
    for number in range(30)
}
REPORT = LoadReport(running=7, waiting=2, slots=64, slowdown=1.5)
# Daemons of a zone.
DAEMONS = 24


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    fake_clock = Clock()
    patch_placement_clock(monkeypatch, fake_clock)
    return fake_clock


def build_gossip():
    return ReportGossip(
        observations=Placement(zone='a'),
        channel=SilentChannel(),
        list_peers=list,
        find_endpoint=ENDPOINTS.get,
        log=build_silent_log(),
    )


def get_state(gossip, name='e0'):
    return gossip._observations._get_named_state(name)


def share(age_s=0.1, **fields):
    report = LoadReport(
        **{
            'running': 7,
            'waiting': 2,
            'slots': 64,
            'slowdown': 1.5,
            **fields,
        }
    )
    shared = SharedReport(endpoint='e0', report=report, age_s=age_s)
    return orjson.loads(encode_reports([shared], {}))


@pytest.mark.parametrize(('loss', 'reached_share'), [(0, 0.9), (0.3, 0.75)])
def test_a_report_reaches_most_daemons_within_its_lifetime(
    clock, loss, reached_share
):
    """Guards against forecasts by figures that are many seconds old.

    With FANOUT copies of which a share is lost, an epidemic reaches the part x
    with x = 1 - exp(-FANOUT (1 - loss) x): 0.98 and 0.93.
    """
    rng = random.Random(1)
    daemons = [build_gossip() for _ in range(DAEMONS)]
    daemons[0]._observations.record_report(ENDPOINTS['e0'], REPORT)
    sent = 0
    for _ in range(int(REPORT_TTL_S / PERIOD_S)):
        clock.now += PERIOD_S
        datagrams = [daemon.build_datagram() for daemon in daemons]
        for datagram in datagrams:
            for peer in rng.sample(daemons, FANOUT if datagram else 0):
                sent += 1
                if rng.random() >= loss:
                    peer.receive(orjson.loads(datagram))
    reached = sum(get_state(daemon).report == REPORT for daemon in daemons)
    assert reached >= reached_share * len(daemons)
    # Each daemon forwards a report once.
    assert sent <= len(daemons) * FANOUT


def test_the_cost_of_a_round_is_bounded(clock):
    gossip = build_gossip()
    for endpoint in ENDPOINTS.values():
        gossip._observations.record_report(endpoint, REPORT)
    datagram = gossip.build_datagram()
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    assert len(list(decode_reports(orjson.loads(datagram)))) == MAX_REPORTS
    rest = list(decode_reports(orjson.loads(gossip.build_datagram())))
    assert len(rest) == len(ENDPOINTS) - MAX_REPORTS
    assert gossip.build_datagram() is None


def test_nothing_is_sent_without_a_pace(clock):
    gossip = build_gossip()
    gossip._observations.record_report(
        ENDPOINTS['e0'], LoadReport(running=7, waiting=2, slots=64)
    )
    assert gossip.build_datagram() is None


def test_the_newest_report_counts_in_any_order(clock):
    gossip = build_gossip()
    gossip.receive(share(0.1, running=9))
    gossip.receive(share(0.5, running=3))
    assert get_state(gossip).report.running == 9
    gossip._observations.record_report(ENDPOINTS['e0'], REPORT)
    gossip.receive(share(0.1, running=20))
    assert get_state(gossip).report.running == 7
    clock.now += 0.5
    gossip.receive(share(0.1, running=20))
    assert get_state(gossip).report.running == 20
    clock.now += REPORT_TTL_S
    assert get_state(gossip).get_report(clock.now) is None


def test_own_requests_since_the_report_are_added_to_it(clock):
    gossip = build_gossip()
    placer = gossip._observations
    placer.record_report(ENDPOINTS['e0'], REPORT)
    clock.now += 0.2
    placer.record_request(ENDPOINTS['e0'], 0.1, RequestTraits(prompt_tokens=10))
    clock.now += 0.2
    # The first report was made before the request was sent, the other after.
    gossip.receive(share(0.3, running=4, waiting=0))
    assert get_state(gossip).estimate_requests(clock.now) == 5
    gossip.receive(share(0.1, running=4, waiting=0))
    assert get_state(gossip).estimate_requests(clock.now) == 4


def test_demand_of_other_daemons_sets_the_shares(clock):
    gossip = build_gossip()
    gossip.receive(share())
    demand = gossip._observations.get_service_load('pool').demand
    classes = [
        SharedClass(),
        SharedClass(share=0.7, tokens=9000, deviation=500),
        SharedClass(share=0.3, tokens=1000),
    ]
    for _ in range(200):
        gossip.receive(orjson.loads(encode_reports([], {'pool': classes})))
    demand.record(StepClass.LIGHT, 5, clock.now)
    assert demand.update_shares(clock.now)
    assert demand.shares[StepClass.HEAVY] == pytest.approx(0.7, abs=0.02)
    batches = gossip._observations.get_service_load('pool').batches
    tokens = batches[StepClass.HEAVY].tokens
    assert tokens.estimate_total(4, clock.now) == pytest.approx(39000)
    # Without peers the daemon's own demand counts.
    clock.now += 10
    assert demand.update_shares(clock.now)
    assert demand.shares == {StepClass.LIGHT: 1}
    assert tokens.estimate_total(4, clock.now + 1, 100) == 400


@pytest.mark.parametrize(
    'document',
    [
        None,
        [],
        ['e0', 1],
        {'load': None},
        {'load': [1]},
        {'load': [[], []]},
        {'load': [[['e0', 1, 1, 1, 100]], {}]},
        {'load': [[['e0', 1, 1, 1, 0, 0]], {}]},
        {'load': [[['e0', 1, 1, 1, -1, 0]], {}]},
        {'load': [[['e0', -1, 1, 1, 100, 0]], {}]},
        {'load': [[['e0', 1, 1, 1, 1e12, 0]], {}]},
        {'load': [[['e0', 1, 1, 1, 100, 1e9]], {}]},
        {'load': [[['e0', True, 1, 1, 100, 0]], {}]},
        {'load': [[[1, 1, 1, 1, 100, 0]], {}]},
        {'load': [[['unknown', 1, 1, 1, 100, 0]], {}]},
        {'load': [[], {'pool': ['x']}]},
        {'load': [[], {'pool': [2]}]},
        {'load': [[], {'pool': [[2, 0, 0]]}]},
        {'load': [[], {'pool': [[0.5, 0]]}]},
        {'load': [[], {'pool': [[0.5, -1, 0]]}]},
        {'load': [[], {'pool': 1}]},
    ],
)
def test_malformed_datagrams_change_nothing(clock, document):
    gossip = build_gossip()
    gossip.receive(document)
    assert not gossip._observations._states
    assert not decode_demand(document)
