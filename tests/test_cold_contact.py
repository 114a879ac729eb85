"""Daemons that are cut off before an endpoint crashes.

Guards against daemons that neither failed at an endpoint nor heard of its
crash, and that send it what they like as it returns cold.
"""

import anyio
import pytest

from laurelwind.coordination.cold.contact import SILENCE_S
from tests.emulated_cold import ALLOWED, COLD_START_S
from tests.test_cold_fleet import DOWN_S, play


@pytest.mark.parametrize(('size', 'seed'), [(7, 1), (7, 2), (85, 1), (371, 1)])
def test_isolated_daemons_that_never_failed_keep_the_bound(
    monkeypatch, size, seed
):
    async def check(fleet, group):
        isolated = fleet.daemons[::3]
        fleet.isolate(isolated)
        for daemon in isolated:
            daemon.is_running = False
        crashed = fleet.list_processes()[:3]
        for process in crashed:
            fleet.crash(process)
        await anyio.sleep(DOWN_S)
        restarted = [fleet.restart(process, group=group) for process in crashed]
        for daemon in isolated:
            daemon.is_running = True
        await anyio.sleep(COLD_START_S + 1)
        assert max(process.find_peak() for process in restarted) <= ALLOWED
        # They still serve what their shares allow.
        assert any(daemon.outcomes[200] for daemon in isolated)

    play(monkeypatch, check, size, seed=seed, endpoints=4)


@pytest.mark.parametrize('size', [7, 85])
def test_daemons_in_contact_serve_as_before_while_the_store_is_down(
    monkeypatch, size
):
    """Guards against an outage of the store that counts as being cut off."""

    async def check(fleet, group):
        fleet.cut_from_store(share=1)
        await anyio.sleep(4 * SILENCE_S)
        assert not any(daemon.contact.is_cut_off for daemon in fleet.daemons)
        assert not any(daemon.outcomes['share'] for daemon in fleet.daemons)
        assert set(fleet.count()) == {200}

    play(monkeypatch, check, size, endpoints=16)


def test_a_daemon_that_regains_contact_serves_as_before(monkeypatch):
    """Guards against endpoints that stay cold after the daemon was cut off."""

    async def check(fleet, group):
        (daemon, *_) = fleet.daemons
        fleet.isolate([daemon])
        await anyio.sleep(2 * SILENCE_S)
        assert daemon.contact.is_cut_off
        assert len(daemon.cold.table.names) == 16
        fleet.network.cut.clear()
        await anyio.sleep(SILENCE_S)
        assert not daemon.contact.is_cut_off
        assert not daemon.cold.table.names

    play(monkeypatch, check, 7, endpoints=16)
