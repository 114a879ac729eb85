"""Bound on the requests that reach a cold endpoint, on an emulated clock.

Guards against a crashed endpoint that is back before its entry is read, and
that every daemon of the fleet takes for the least loaded one.
"""

import random

import anyio
import pytest

from tests.emulated_cold import ALLOWED, COLD_START_S, ColdFleet
from tests.emulated_fleet import run_emulated

SIZES = (7, 85, 371)
# Of each daemon; fewer in the largest fleet, to bound the time of the test.
REQUESTS_PER_S = {7: 7.0, 85: 7.0, 371: 2.0}
DOWN_S = 4.3
# Share of the control traffic of a daemon (docs/CAPACITY.md) that permits may
# take, in bytes per second.
MAX_BYTES_PER_S = 19_000


def play(monkeypatch, check, size, *, seed=1, **options):
    async def run():
        fleet = ColdFleet(size, **options)
        async with anyio.create_task_group() as group:
            fleet.start(group, REQUESTS_PER_S[size])
            await anyio.sleep(3)
            await check(fleet, group)
            group.cancel_scope.cancel()

    run_emulated(run, monkeypatch, seed)


async def crash_and_return(fleet, group, processes, **options):
    for process in processes:
        await anyio.sleep(random.uniform(0, 0.02))
        fleet.crash(process)
    await anyio.sleep(DOWN_S)
    return [
        fleet.restart(process, group=group, **options) for process in processes
    ]


@pytest.mark.parametrize(
    ('size', 'has_entry'), [(7, True), (85, True), (85, False), (371, False)]
)
def test_a_crashed_endpoint_returns_within_its_bound(
    monkeypatch, size, has_entry
):
    async def check(fleet, group):
        fleet.cut_from_store()
        restarted = await crash_and_return(
            fleet, group, fleet.list_processes()[:4], has_entry=has_entry
        )
        await anyio.sleep(COLD_START_S + 1)
        peaks = [process.find_peak() for process in restarted]
        assert max(peaks) <= ALLOWED
        # The endpoints are used while they are cold.
        assert sum(peaks) > 0

    play(monkeypatch, check, size, endpoints=16)


@pytest.mark.parametrize('size', SIZES)
def test_an_endpoint_returns_under_a_new_name(monkeypatch, size):
    async def check(fleet, group):
        fleet.cut_from_store()
        before = fleet.list_processes()[0]
        restarted = await crash_and_return(
            fleet, group, [before], new_name='e99'
        )
        await anyio.sleep(COLD_START_S + 1)
        assert restarted[0].find_peak() <= ALLOWED

    play(monkeypatch, check, size)


@pytest.mark.parametrize(
    ('size', 'seed'), [(7, 1), (85, 1), (85, 2), (85, 3), (371, 1)]
)
def test_daemons_without_a_holder_keep_their_shares(monkeypatch, size, seed):
    async def check(fleet, group):
        processes = fleet.list_processes()
        for process in processes:
            fleet.crash(process)
        await anyio.sleep(2)
        fleet.isolate(fleet.daemons[::3])
        await anyio.sleep(1)
        restarted = [
            fleet.restart(process, group=group) for process in processes
        ]
        await anyio.sleep(COLD_START_S + 1)
        peaks = [process.find_peak() for process in restarted]
        assert max(peaks) <= ALLOWED
        assert any(daemon.outcomes['share'] for daemon in fleet.daemons)

    play(monkeypatch, check, size, seed=seed, endpoints=3)


@pytest.mark.parametrize(
    ('size', 'loss'), [(7, 0), (85, 0), (85, 0.3), (371, 0.3)]
)
def test_a_zone_returns_cold_and_others_take_the_rest(monkeypatch, size, loss):
    async def check(fleet, group):
        fleet.cut_from_store()
        zone = fleet.list_processes('a')
        restarted = await crash_and_return(fleet, group, zone)
        for daemon in fleet.daemons:
            daemon.longest_s = 0
        sent_bytes = fleet.network.sent_bytes
        await anyio.sleep(COLD_START_S)
        peaks = [process.find_peak() for process in restarted]
        longest_s = max(daemon.longest_s for daemon in fleet.daemons)
        assert max(peaks) <= ALLOWED
        assert longest_s < 1.0
        sent_bytes = fleet.network.sent_bytes - sent_bytes
        assert sent_bytes / size / COLD_START_S < MAX_BYTES_PER_S

    play(monkeypatch, check, size, endpoints=90, loss=loss)


@pytest.mark.parametrize('size', SIZES)
def test_a_holder_that_stops_leaves_its_endpoint_to_others(monkeypatch, size):
    async def check(fleet, group):
        before = fleet.list_processes()[0]
        fleet.crash(before)
        await anyio.sleep(DOWN_S)
        restarted = fleet.restart(before, group=group)
        await anyio.sleep(1)
        holder = fleet.find_holder(before)
        holder.is_running = False
        fleet.isolate([holder])
        await anyio.sleep(0.3)
        members = [
            member for member in fleet.members if member != holder.member
        ]
        for daemon in fleet.daemons:
            daemon.members = members
            await anyio.sleep(1 / size)
        await anyio.sleep(COLD_START_S)
        assert restarted.find_peak() <= ALLOWED

    play(monkeypatch, check, size, endpoints=6)


def test_endpoints_that_break_some_answers_keep_their_capacity(monkeypatch):
    """Guards against a version with faults that counts as restarted always."""

    async def check(fleet, group):
        for process in fleet.list_processes():
            process.broken_share = 0.05
        await anyio.sleep(7)
        outcomes = fleet.count()
        assert not outcomes[429]
        assert not outcomes[503]
        assert outcomes[502] <= 0.01 * outcomes[200]

    play(monkeypatch, check, 85, endpoints=16)
