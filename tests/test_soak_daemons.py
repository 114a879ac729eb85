"""Stops and memory of daemon processes in the fault soak."""

import random
import time

import anyio
import pytest

from soak import bounds
from soak.fleet import Fleet
from soak.memory import MemoryWatch
from tests.soak_helpers import build_daemon

pytestmark = pytest.mark.anyio
STOP_S = 0.5
ENDS = ('/bin/sleep', '60')
IGNORES = ('/bin/sh', '-c', 'trap "" TERM; exec sleep 60')


async def _stop(folder, monkeypatch, command, blocked_s=0):
    """Stop a process, while the event loop is blocked for some seconds."""
    monkeypatch.setattr(bounds, 'STOP_S', STOP_S)
    daemon = build_daemon(folder)
    daemon.command = command
    await daemon.start()
    # Until the signal is ignored.
    await anyio.sleep(0.3)
    has_ended = False

    async def stop():
        nonlocal has_ended
        has_ended = await daemon.stop()

    async with anyio.create_task_group() as group:
        group.start_soon(stop)
        await anyio.sleep(0)
        time.sleep(blocked_s)
    assert not daemon.is_running
    return has_ended


# The stand-ins' event loop was late, and a daemon that had ended in time was
# taken for one that exceeded the bound.
async def test_an_end_in_time_counts_though_the_loop_was_late(
    tmp_path, monkeypatch
):
    assert await _stop(tmp_path, monkeypatch, ENDS, blocked_s=2 * STOP_S)


async def test_a_process_that_does_not_end_exceeds_the_bound(
    tmp_path, monkeypatch
):
    assert not await _stop(tmp_path, monkeypatch, IGNORES)


@pytest.mark.parametrize(('memory_mb', 'count'), [(0.01, 1), (10_000, 0)])
async def test_a_process_beyond_its_memory_breaks_the_bound(
    tmp_path, memory_mb, count
):
    """The soak must not pass over daemons that callers made too large."""
    fleet = Fleet(rng=random.Random(1), folder=tmp_path)
    daemon = build_daemon(tmp_path)
    daemon.command = ENDS
    fleet.daemons.append(daemon)
    watch = MemoryWatch(fleet=fleet, memory_mb=memory_mb)
    await daemon.start()
    watch.read_peaks()
    await daemon.kill()
    watch.read_peaks()
    assert len(watch.find_violations()) == count
    assert list(watch.peaks_mb) == [daemon.incarnation]
