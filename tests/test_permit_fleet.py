"""Permits shared by fleets of daemons, on an emulated clock.

Guards against a bound on the whole that each daemon keeps by itself.
"""

import random

import anyio
import pytest

from laurelwind.state.load import read_monotonic_clock
from tests.emulated_fleet import run_emulated
from tests.emulated_permits import CHECKED_AFTER_S, PermitFleet

RATES = (2.0, 2.7, 0.5)
SIZES = (7, 30, 371)
# Requests a second of the whole fleet, many times the sum of the limits.
DEMAND = 60.0
MEASURED_S = 16.0
# Share of the control traffic of a daemon (docs/CAPACITY.md) that limits may
# take, in bytes per second.
MAX_BYTES_PER_S = 19_000
# Seconds by which daemons apply a change of the members later than the first.
VIEW_LAG_S = 1.5


def play(monkeypatch, check, size=7, *, rates=RATES, loss=0.0, seed=1):
    async def run():
        fleet = PermitFleet(size, rates, loss=loss)
        async with anyio.create_task_group() as group:
            await check(fleet, group)
            group.cancel_scope.cancel()

    run_emulated(run, monkeypatch, seed)


def measure_used_shares(fleet):
    now = read_monotonic_clock()
    return [
        endpoint.measure_rate(now - MEASURED_S, now) / endpoint.rate
        for endpoint in fleet.endpoints
    ]


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('max_wait_s', [0, 1.0])
@pytest.mark.parametrize('loss', [0, 0.3])
def test_a_fleet_keeps_the_limits_and_uses_them(
    monkeypatch, size, max_wait_s, loss
):
    async def check(fleet, group):
        fleet.start(group, DEMAND, max_wait_s)
        await anyio.sleep(MEASURED_S + 8)
        assert fleet.find_excess() <= 0
        assert min(measure_used_shares(fleet)) >= 0.75

    play(monkeypatch, check, size, loss=loss)


async def remove_holder(fleet, endpoint):
    """Remove the holder; the daemons learn of it one after the other."""
    holder = fleet.find_holder(endpoint)
    await apply_members(
        fleet, [member for member in fleet.listed if member != holder.member]
    )
    return holder


async def apply_members(fleet, members):
    fleet.listed = members
    daemons = [daemon for daemon in fleet.daemons if daemon.member in members]
    random.shuffle(daemons)
    for daemon in daemons:
        daemon.members = members
        await anyio.sleep(VIEW_LAG_S / len(daemons))


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('seed', range(5))
def test_the_limits_hold_while_holders_are_killed_and_return(
    monkeypatch, size, seed
):
    async def check(fleet, group):
        fleet.start(group, DEMAND, 1.0)
        await anyio.sleep(6)
        for endpoint in fleet.endpoints * 2:
            holder = fleet.find_holder(endpoint)
            holder.is_running = False
            fleet.network.cut.add(holder.name)
            await remove_holder(fleet, endpoint)
            await anyio.sleep(1)
            fleet.network.cut.discard(holder.name)
            holder.is_running = True
            # A restarted process knows no limit and no grant.
            holder.permits.retain(set())
            await apply_members(fleet, fleet.members)
        await anyio.sleep(MEASURED_S)
        assert fleet.find_excess() <= 0
        assert min(measure_used_shares(fleet)) >= 0.75

    play(monkeypatch, check, size, seed=seed)


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('seed', range(5))
def test_a_holder_that_is_cut_or_outdated_excuses_only_itself(
    monkeypatch, size, seed
):
    async def check(fleet, group):
        fleet.start(group, DEMAND, 1.0)
        await anyio.sleep(6)
        cut, outdated = fleet.endpoints[:2]
        fleet.network.cut.add(fleet.find_holder(cut).name)
        for endpoint in (cut, outdated):
            holder = await remove_holder(fleet, endpoint)
            fleet.excuse(holder, float('inf'))
        await anyio.sleep(6)
        fleet.network.cut.clear()
        await apply_members(fleet, fleet.members)
        healed_at = read_monotonic_clock()
        for endpoint in (cut, outdated):
            for name in endpoint.excused_until:
                endpoint.excused_until[name] = healed_at + CHECKED_AFTER_S
        await anyio.sleep(MEASURED_S)
        assert cut.find_excess() <= 0
        assert outdated.find_excess() <= 0
        assert min(measure_used_shares(fleet)) >= 0.75

    play(monkeypatch, check, size, seed=seed)


@pytest.mark.parametrize('size', SIZES)
def test_the_end_of_a_limit_reaches_every_daemon(monkeypatch, size):
    async def check(fleet, group):
        fleet.start(group, DEMAND)
        await anyio.sleep(8)
        for endpoint in fleet.endpoints:
            endpoint.rate = None
        await anyio.sleep(3)
        assert all(
            not list(daemon.permits.limits.table.iterate_rates())
            for daemon in fleet.daemons
        )

    play(monkeypatch, check, size, rates=(2.0, 2.7))


def test_a_limit_of_zero_leaves_a_trickle(monkeypatch):
    async def check(fleet, group):
        fleet.start(group, DEMAND)
        await anyio.sleep(MEASURED_S + 4)
        now = read_monotonic_clock()
        endpoint = fleet.endpoints[0]
        assert 0 < endpoint.measure_rate(now - MEASURED_S, now) <= 0.25

    play(monkeypatch, check, rates=(0.0,))


def test_permits_that_were_not_used_are_granted_again(monkeypatch):
    async def check(fleet, group):
        fleet.start(group, DEMAND, 1.0)
        endpoint = fleet.endpoints[0]
        await anyio.sleep(6)
        daemon = fleet.daemons[0]
        returned = 0
        for _ in range(30):
            await anyio.sleep(0.2)
            permit = await daemon.permits.acquire('r1', endpoint.record, 2.0)
            if permit is not None:
                daemon.permits.give_back(permit)
                returned += 1
        assert returned >= 5
        await anyio.sleep(MEASURED_S - 6)
        assert fleet.find_excess() <= 0
        assert min(measure_used_shares(fleet)) >= 0.75

    play(monkeypatch, check)


# A rack of endpoints states limits, and lifts them ten seconds later.
def test_limits_cost_a_daemon_of_a_large_fleet_little(monkeypatch):
    async def check(fleet, group):
        fleet.start(group, 474.0)
        for second in range(14):
            before = fleet.network.sent_bytes
            await anyio.sleep(1)
            sent_bytes = fleet.network.sent_bytes - before
            assert sent_bytes / len(fleet.daemons) < MAX_BYTES_PER_S
            if second == 10:
                for endpoint in fleet.endpoints:
                    endpoint.rate = None

    play(monkeypatch, check, 371, rates=(2.0,) * 40)


def test_a_daemon_that_knows_no_members_gets_no_permit(monkeypatch):
    async def check(fleet, group):
        fleet.start(group, DEMAND)
        await anyio.sleep(4)
        daemon = fleet.daemons[0]
        daemon.members = []
        for endpoint in fleet.endpoints:
            assert await daemon.permits.acquire('r1', endpoint.record) is None

    play(monkeypatch, check)
