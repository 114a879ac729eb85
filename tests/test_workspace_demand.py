"""Shares of workspaces, and the reports of load between daemons."""

import anyio
import orjson
import pytest

from laurelwind.coordination.load.forecasts import Forecast
from laurelwind.coordination.shedding.demand_totals import DemandRow
from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.load_gossip import (
    FANOUT,
    LoadGossip,
)
from laurelwind.coordination.shedding.workspace_demand import (
    MAX_PAIRS,
    MAX_REPORTS,
    WorkspaceDemand,
)
from laurelwind.protocol.datagrams import MAX_DATAGRAM_BYTES, DatagramChannel
from tests.emulated_load import EmulatedLoad
from tests.test_load_decisions import build_load_request

PRESSED = Forecast(start_s=3, first_s=3.1, finish_s=4, occupancy=1.5, age_s=0.1)


class RecordedChannel(DatagramChannel):
    """Keeps the datagrams that are sent."""

    def __init__(self):
        self.sent = []

    def add_listener(self, receive):
        """Receive nothing."""

    async def send(self, peer, datagram):
        self.sent.append((peer, datagram))


def build_gossip(clock, peers=(), address='d1'):
    return LoadGossip(
        decisions=LoadDecisions(),
        channel=RecordedChannel(),
        local_address=address,
        list_peers=lambda: peers,
        clock=clock,
    )


def build_rows(**requests):
    return tuple(
        DemandRow(service='pool', workspace=name, work=count, requests=count)
        for name, count in requests.items()
    )


def learn(demand, now=100.0, **requests):
    """Let a daemon see steady demand for eight seconds."""
    for step in range(33):
        demand.record_report('d2', build_rows(**requests), now + step / 4)
        for name in requests:
            demand.compute_excess('pool', name, now + step / 4)
    return now + 8


def test_six_times_the_usual_is_in_excess_and_others_are_not():
    """Load: one of four workspaces sends six times as much as before."""
    demand = WorkspaceDemand()
    now = learn(demand, a=10, b=10, c=10, d=10)
    assert not demand.compute_excess('pool', 'a', now)
    demand.record_report('d2', build_rows(a=60, b=10, c=10, d=10), now + 1)
    assert demand.compute_excess('pool', 'a', now + 1) > 0.3
    assert not demand.compute_excess('pool', 'b', now + 1)


@pytest.mark.parametrize('usual', [15, 40, 70])
def test_surge_does_not_raise_what_it_is_compared_with(usual):
    """Load: a small or large workspace sends six times its usual load.

    Guards against a limit that grows with the surge: compared with the present
    total, a usual share of 0.4 was in excess beyond 4.5 times only.
    """
    demand = WorkspaceDemand()
    now = learn(demand, a=usual, b=100 - usual)
    for factor, excess in ((1.4, 0), (3, 0.5), (6, 0.75)):
        rows = build_rows(a=factor * usual, b=100 - usual)
        demand.record_report('d2', rows, now + 1)
        demand._refreshed_at = 0
        measured = demand.compute_excess('pool', 'a', now + 1)
        assert measured == pytest.approx(excess, abs=0.05)


def test_workspace_without_others_is_not_in_excess():
    """Load: all others are idle. Guards against refusals that help nobody."""
    demand = WorkspaceDemand()
    now = learn(demand, a=40, b=60)
    demand.record_report('d2', build_rows(a=240, b=1), now + 1)
    assert not demand.compute_excess('pool', 'a', now + 1)


def test_large_workspace_at_its_usual_load_is_not_in_excess():
    """Load: one workspace always sends most of all requests."""
    demand = WorkspaceDemand()
    now = learn(demand, a=80, b=10, c=10)
    demand.record_report('d2', build_rows(a=160, b=20, c=20), now + 1)
    assert not demand.compute_excess('pool', 'a', now + 1)


def test_rule_is_suspended_without_reports():
    """Guards against shares that rest on few requests of this daemon."""
    demand = WorkspaceDemand()
    now = learn(demand, a=10, b=10, c=10)
    demand.record_report('d2', build_rows(a=90, b=10, c=10), now + 1)
    assert demand.compute_excess('pool', 'a', now + 1)
    assert not demand.compute_excess('pool', 'a', now + 4.1)


def test_few_requests_are_no_evidence():
    """Guards against a share that a single request doubles."""
    demand = WorkspaceDemand()
    now = learn(demand, a=2, b=2)
    demand.record_report('d2', build_rows(a=20, b=2), now + 1)
    assert not demand.compute_excess('pool', 'a', now + 1)


def test_restarted_daemon_learns_the_usual_shares_from_peers():
    """Guards against a surge that a restarted daemon takes for usual."""
    demand = WorkspaceDemand()
    usual = {'a': 0.25, 'b': 0.25, 'c': 0.5}
    rows = tuple(
        DemandRow(
            service='pool',
            workspace=name,
            work=90 if name == 'a' else 15,
            requests=30,
            usual_share=share,
        )
        for name, share in usual.items()
    )
    for step in range(25):
        demand.record_report('d2', rows, 100 + step / 4)
        excess = demand.compute_excess('pool', 'a', 100 + step / 4)
    assert excess > 0.3


def test_usual_shares_are_bounded():
    """Guards against growth with the workspaces that all peers name."""
    demand = WorkspaceDemand()
    for step in range(40):
        now = 100 + step / 4
        for peer in range(MAX_REPORTS):
            rows = {f'w{peer}-{row}': 10 + row for row in range(24)}
            demand.record_report(f'd{peer}', build_rows(**rows), now)
        demand.compute_excess('pool', 'w0-23', now)
    assert len(demand._usual) == MAX_PAIRS
    assert all(pair[1].endswith(('-23', '-22')) for pair in demand._usual)


def test_tables_are_bounded():
    """Guards against growth with workspaces or peers."""
    demand = WorkspaceDemand()
    for number in range(500):
        demand.record_request('pool', f'w{number}', 1, 100 + number / 100)
        demand.record_report(f'd{number}', build_rows(a=1), 100)
    assert len(demand.list_rows(105, 1000)) == MAX_PAIRS
    assert len(demand._reports) == MAX_REPORTS


@pytest.mark.parametrize('seed', [1, 2])
def test_one_workspace_does_not_displace_the_others(seed):
    """Load: 0.9 of capacity; then one workspace sends six times its usual.

    A tenth of the datagrams is lost. The others keep more than without the
    rule, and the one keeps its floor.
    """
    shares = {}
    for is_sharing in (False, True):
        fleet = EmulatedLoad(seed=seed, is_sharing=is_sharing)
        fleet.run(10, 0.9)
        fleet.workspaces['w0'] = 6.0
        fleet.run(25, 0.9 * 13 / 8)
        calls = fleet.select(12, 22)
        shares[is_sharing] = [
            fleet.get_admitted_share(
                [call for call in calls if (call.workspace == 'w0') is is_large]
            )
            for is_large in (False, True)
        ]
        total = fleet.get_admitted_share(calls)
    others, large = shares[True]
    assert others > shares[False][0]
    assert others > large + 0.05
    assert large >= 0.4 * total


def test_idle_share_may_be_used():
    """Load: one workspace sends six times its usual, and there is room."""
    fleet = EmulatedLoad(seed=1)
    fleet.run(10, 0.4)
    fleet.workspaces['w0'] = 6.0
    fleet.run(20, 0.4 * 13 / 8)
    assert fleet.get_admitted_share(fleet.calls) > 0.99


def test_reports_fit_into_a_datagram(clock):
    """Guards against datagrams that are cut on their way."""
    gossip = build_gossip(clock)
    for number in range(60):
        request = build_load_request(workspace=f'workspace-{number:040}')
        gossip._decisions.review(request, PRESSED, clock.now)
    datagram = gossip.encode()
    assert 200 < len(datagram) <= MAX_DATAGRAM_BYTES


def test_pressure_reaches_peers_once(clock):
    """Guards against evidence that daemons pass round among themselves."""
    first, second = build_gossip(clock), build_gossip(clock, address='d2')
    request = build_load_request(workspace='a')
    for _ in range(5):
        first._decisions.review(request, PRESSED, clock.now)
    second._decisions.get_service('pool')
    second.receive(orjson.loads(first.encode()))
    load = second._decisions.get_service('pool')
    assert load.pressure.get_age(clock.now) < 0.2
    assert not load.pressure.list_local_samples(clock.now)
    clock.now += 2
    assert not load.pressure.list_shed_shares(clock.now)


def test_nothing_is_sent_for_services_without_forecasts(clock):
    """Guards against datagrams where load decisions do not apply."""
    gossip = build_gossip(clock)
    gossip._decisions.review(build_load_request(), None, clock.now)
    assert not gossip.encode()


@pytest.mark.parametrize(
    'document',
    [
        None,
        ['load'],
        ['other', 'd2', [], []],
        ['load', 'd2', [['pool', 1.5, 0.1, 0.1, 1]], []],
        ['load', 'd2', [['pool', 99, 1, 0, 1]], [['pool', 'a', 1, 1]]],
        ['load', 'd2', [], [['pool', 'a', -1, 1, 0], ['pool', 3, 1, 1, 0]]],
        ['load', 'd2', [], [['pool', 'a', True, 1, 0], 'row', None]],
        [
            'load',
            'd2',
            [['pool', 1, 1e300, 1e300, 1]],
            [['pool', 'a', 1e99, 1, 0]],
        ],
        ['load', 'd1', [['pool', 1, 1, 0, 1]], [['pool', 'a', 1, 1, 0]]],
    ],
)
def test_malformed_reports_are_ignored(clock, document):
    gossip = build_gossip(clock)
    load = gossip._decisions.get_service('pool')
    gossip.receive(document)
    assert not load.pressure.list_shed_shares(clock.now)
    assert not gossip._decisions.workspaces.compute_excess('pool', 'a', 100)


@pytest.mark.anyio
@pytest.mark.parametrize('members', [10, 370])
async def test_cost_per_daemon_is_independent_of_the_fleet(clock, members):
    """Guards against datagrams that grow with the number of daemons."""
    gossip = build_gossip(clock, [f'd{number}' for number in range(members)])
    gossip._decisions.review(
        build_load_request(workspace='a'), PRESSED, clock.now
    )
    async with anyio.create_task_group() as group:
        gossip.start(group)
        await anyio.sleep(0.7)
        group.cancel_scope.cancel()
    assert len(gossip._channel.sent) == FANOUT
