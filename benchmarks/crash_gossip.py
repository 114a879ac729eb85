"""Measures what notices of crashes cost each daemon of a large fleet.

The daemons run in one event loop on an emulated clock, with a network that
loses a tenth of the datagrams. Prints the datagrams, bytes and processor time
of a daemon: after three failures one after the other, and after failures of all
daemons at one moment.
"""

import argparse
import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import anyio
import pytest

from laurelwind.state.crash_reports import CrashReport
from tests.emulated_fleet import run_emulated
from tests.emulated_gossip import Fleet

WATCH_S = 10.0
STORM_WATCH_S = 3.0
_FAILURES_PER_DAEMON = 2


def main() -> None:
    """Measure both cases and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--size', type=int, default=371)
    parser.add_argument('--storm-size', type=int, default=200)
    args = parser.parse_args()
    run('three failures', Fleet(args.size), cause_series, WATCH_S)
    fleet = Fleet(args.storm_size)
    run('failures everywhere', fleet, cause_storm, STORM_WATCH_S)


def run(
    name: str,
    fleet: Fleet,
    cause_failures: Callable[[Fleet], Awaitable[None]],
    watch_s: float,
) -> None:
    """Measure a case on an emulated clock; see :func:`measure`."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        run_emulated(
            lambda: measure(name, fleet, cause_failures, watch_s), monkeypatch
        )


async def measure(
    name: str,
    fleet: Fleet,
    cause_failures: Callable[[Fleet], Awaitable[None]],
    watch_s: float,
) -> None:
    """Print what a case costs.

    :param name: name of the case.
    :param fleet: the daemons.
    :param cause_failures: causes the failures.
    :param watch_s: seconds after them.
    """
    async with anyio.create_task_group() as group:
        fleet.start_all(group)
        started_at = time.process_time()
        await cause_failures(fleet)
        await anyio.sleep(watch_s)
        size = len(fleet.names)
        elapsed_ms = (time.process_time() - started_at) * 1000
        print(
            f'{name}, {size} daemons:'
            f' {fleet.network.sent / size:.0f} datagrams,'
            f' {fleet.network.sent_bytes / size / 1000:.1f} kB and'
            f' {elapsed_ms / size:.0f} ms a daemon,'
            f' {fleet.count_blocking()} daemons block'
        )
        group.cancel_scope.cancel()


async def cause_series(fleet: Fleet) -> None:
    """Let three prompts with a part crash endpoints one after the other."""
    for number in range(3):
        await fleet.crash(number, 'deadly', f'x{number}')


async def cause_storm(fleet: Fleet) -> None:
    """Let the attempts of all daemons break at one moment."""
    now = asyncio.get_running_loop().time()
    for number in range(_FAILURES_PER_DAEMON * len(fleet.names)):
        name = fleet.names[number // _FAILURES_PER_DAEMON]
        fleet.screens[name].record_crash(
            CrashReport(
                attempt=f'a{number}',
                endpoint=f'e{number % 100}',
                prompt=f'p{number}',
                keys=frozenset(
                    (('pool', 'first'), ('pool', f'x{number % 50}'))
                ),
                sent_at=now - random.uniform(0.01, 2),
                broke_at=now,
            )
        )


if __name__ == '__main__':
    main()
