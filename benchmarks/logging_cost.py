"""Processor time of a relay daemon with and without its decision lines.

Two daemons of the deployed program serve the same requests in turns, each a
process of its own, one of them with the writing of lines taken out.  Both
read the same stand-in of the store and use the same endpoints.  Prints the
processor time of a request for both, and the part that the lines take.
"""

import argparse
import os
import random
import sys
import tempfile
from pathlib import Path

import anyio
import httpcore

from laurelwind.transport.server import HttpServer
from soak import bounds
from soak.callers import fetch
from soak.fleet import Daemon, Fleet

BATCH = 50
# Part of a daemon's processor time that its lines may take.
LIMIT = 0.1
_POLL_S = 0.05
_SILENT = """
from laurelwind import decisions
decisions.DecisionLog._write = lambda *parts: None
from laurelwind.platform.__main__ import run
run()
"""


class SilentDaemon(Daemon):
    """A daemon that writes no decision lines."""

    command = (sys.executable, '-c', _SILENT)


def read_cpu_s(pid: int) -> float:
    """Give the processor time that a process has used."""
    words = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(words[11]) + int(words[12])
    return ticks / os.sysconf('SC_CLK_TCK')


async def serve(daemon: Daemon, first: int) -> float:
    """Send one batch, half of it streams; give the processor time it took."""
    before = read_cpu_s(daemon.process.pid)
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(first, first + BATCH):
            route = 'draft' if number % 2 else 'look'
            answer = await pool.request(
                'POST',
                f'http://{daemon.addresses["callers"]}/{route}/1',
                headers={
                    'Host': bounds.HOST,
                    'X-Request-Id': f'{daemon.name}-{number}',
                    'Authorization': f'Bearer {bounds.KEY}',
                },
                content=b'hall 3',
            )
            if answer.status != 200:
                sys.exit(f'{route} was answered {answer.status}')
    return read_cpu_s(daemon.process.pid) - before


async def measure(batches: int, folder: Path) -> tuple[float, float]:
    """Give the processor time of all batches, with lines and without."""
    fleet = Fleet(luck=random.Random(1), folder=folder)
    spent = {}
    async with anyio.create_task_group() as group:
        server = HttpServer(address='127.0.0.1:0')
        await server.start(group, fleet.store)
        for service in (bounds.POOLS[0], bounds.DESK):
            endpoint = await fleet.add_endpoint(group, service)
            endpoint.pause_s = 0
        fleet.publish(bounds.POOLS[0])
        for kind, name in ((Daemon, 'lines'), (SilentDaemon, 'silent')):
            daemon = kind(
                name=name, zone='a', folder=folder, store=server.address
            )
            await daemon.start_links(group)
            await daemon.start()
            while await fetch(daemon.addresses['readiness'], '/') is None:
                await anyio.sleep(_POLL_S)
            fleet.daemons.append(daemon)
            spent[name] = 0
        for batch in range(batches + 1):
            for daemon in fleet.daemons:
                used = await serve(daemon, batch * BATCH)
                # The first batch opens connections.
                spent[daemon.name] += used if batch else 0
        for daemon in fleet.daemons:
            await daemon.kill()
        group.cancel_scope.cancel()
    return spent['lines'], spent['silent']


def main() -> None:
    """Measure, and fail where the lines take more than their part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--batches', type=int, default=20)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        lines, silent = anyio.run(measure, args.batches, Path(folder))
    count = args.batches * BATCH
    share = (lines - silent) / lines
    print(f'{count} requests each, half of them streams of six events')
    print(f'with lines    {lines / count * 1e6:7.0f} us a request')
    print(f'without       {silent / count * 1e6:7.0f} us a request')
    print(f'lines take {share:.1%} of the processor time; limit {LIMIT:.0%}')
    sys.exit(share > LIMIT)


if __name__ == '__main__':
    main()
