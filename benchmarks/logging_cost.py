"""Measures the CPU time that a relay daemon spends on its decision log.

Two processes of the deployed program serve the same requests in alternating
batches, one of them with writing to the decision log disabled. Both read the
same stand-in of the store and use the same endpoints. Prints the CPU time per
request of both daemons and the share that the decision log takes.
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
from soak.daemons import Daemon
from soak.fleet import Fleet
from soak.tables import PoolShare

BATCH_SIZE = 50
# Maximum share of a daemon's CPU time that the decision log may use.
MAX_SHARE = 0.1
_POLL_S = 0.05
_SILENT_PROGRAM = """
from laurelwind import decisions
decisions.DecisionLog._write = lambda *parts: None
from laurelwind.platform.program import run
run()
"""


class SilentDaemon(Daemon):
    """Daemon that does not write its decision log."""

    command = (sys.executable, '-c', _SILENT_PROGRAM)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


async def send_batch(daemon: Daemon, first_number: int) -> float:
    """Send one batch, half of it streams, and return its CPU seconds."""
    before = read_cpu_s(daemon.process.pid)
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(first_number, first_number + BATCH_SIZE):
            route = 'draft' if number % 2 else 'look'
            answer = await pool.request(
                'POST',
                f'http://{daemon.addresses["callers"]}/{route}/1',
                headers={
                    'Host': bounds.HOST,
                    'X-Request-Id': f'{daemon.name}-{number}',
                    'Authorization': f'Bearer {bounds.PERMANENT_KEY}',
                },
                content=b'hall 3',
            )
            if answer.status != 200:
                sys.exit(
                    f'expected status 200 from {route}, got {answer.status}'
                )
    return read_cpu_s(daemon.process.pid) - before


async def measure(batches: int, folder: Path) -> tuple[float, float]:
    """Return the CPU seconds of all batches, with and without the log."""
    fleet = Fleet(rng=random.Random(1), folder=folder)
    cpu_s = {}
    async with anyio.create_task_group() as group:
        server = HttpServer(address='127.0.0.1:0')
        await server.start(group, fleet.store)
        for service in (bounds.POOLS[0], bounds.ROLLOUT_SERVICE):
            endpoint = await fleet.add_endpoint(group, service)
            endpoint.pause_s = 0
        fleet.publish(PoolShare(bounds.POOLS[0]))
        for daemon_class, name in ((Daemon, 'lines'), (SilentDaemon, 'silent')):
            daemon = daemon_class(
                name=name, zone='a', folder=folder, store=server.address
            )
            await daemon.start_links(group)
            await daemon.start()
            while await fetch(daemon.addresses['readiness'], '/') is None:
                await anyio.sleep(_POLL_S)
            fleet.daemons.append(daemon)
            cpu_s[name] = 0
        for batch in range(batches + 1):
            for daemon in fleet.daemons:
                batch_cpu_s = await send_batch(daemon, batch * BATCH_SIZE)
                # The first batch opens the connections and is not counted.
                cpu_s[daemon.name] += batch_cpu_s if batch else 0
        for daemon in fleet.daemons:
            await daemon.kill()
        group.cancel_scope.cancel()
    return cpu_s['lines'], cpu_s['silent']


def main() -> None:
    """Measure both daemons and fail if the log exceeds its share."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--batches', type=int, default=20)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        logging_cpu_s, silent_cpu_s = anyio.run(
            measure, args.batches, Path(folder)
        )
    count = args.batches * BATCH_SIZE
    share = (logging_cpu_s - silent_cpu_s) / logging_cpu_s
    print(f'{count} requests each, half of them streams of six events')
    print(f'with lines    {logging_cpu_s / count * 1e6:7.0f} us a request')
    print(f'without       {silent_cpu_s / count * 1e6:7.0f} us a request')
    print(
        f'lines take {share:.1%} of the processor time; limit {MAX_SHARE:.0%}'
    )
    sys.exit(share > MAX_SHARE)


if __name__ == '__main__':
    main()
