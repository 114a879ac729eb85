"""Measures the control-plane cost per daemon as the fleet grows.

Runs real daemons in one process on loopback at several fleet sizes, over 8
availability zones in 3 regions and under a configuration of 760 replicas.
For each size it measures an idle period, configuration changes, a crash and a
daemon that joins while the log is down. It fits a line through the figures,
prints slope and residual, extrapolates to 370 daemons and compares the result
with the budget. Exits with 1 if a budget is exceeded.
"""

import argparse
import gc
import json
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
import numpy as np

from standins.documents import build_document
from standins.fleet import OPERATOR_KEY, HttpCaller, Standins, run_fleet

TARGET_FLEET_SIZE = 370
REPLICAS = 760
CHANGES_PER_DAY = 2100
DAY_S = 86_400
LEAVES_PER_DAY = 237
FRAME_OVERHEAD_BYTES = 120
BUDGET = {'cpu_percent': 1.0, 'memory_mb': 64.0, 'kb_per_s': 19.0}
MAX_IN_FORCE_S = 5.0
MAX_CRASH_DETECTION_S = 5.0
READERS_PER_ZONE = 2
ZONES = [
    ('r1a', 'r1'),
    ('r1b', 'r1'),
    ('r1c', 'r1'),
    ('r2a', 'r2'),
    ('r2b', 'r2'),
    ('r2c', 'r2'),
    ('r3a', 'r3'),
    ('r3b', 'r3'),
]


def build_large_document(addresses):
    """Build the demo document with 760 replicas in its engine pool."""
    document = build_document(addresses)
    document['pools']['engines']['endpoints'] = {
        f'engine{index}': {
            'address': f'127.0.{index // 250}.{index % 250 + 1}:9000',
            'zone': ZONES[index % len(ZONES)][0],
        }
        for index in range(REPLICAS)
    }
    return document


def read_counter(counter):
    return sum(
        sample.value
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith('_total')
    )


def read_traffic(fleet):
    """Return bytes and messages of all daemons, both directions added."""
    daemons = fleet.daemons.values()
    size = sum(read_counter(d.metrics.peer_bytes) for d in daemons)
    count = sum(read_counter(d.metrics.peer_messages) for d in daemons)
    return size, count


def read_memory_mb(process_id='self'):
    pages = int(Path(f'/proc/{process_id}/statm').read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


async def wait_until(condition, seconds):
    started = time.monotonic()
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.01)
    return time.monotonic() - started


def is_membership_complete(fleet):
    size = len(fleet.daemons)
    return all(
        len(daemon.fleet.roster.list_usable()) == size
        for daemon in fleet.daemons.values()
    )


async def measure_idle(fleet, seconds):
    size = len(fleet.daemons)
    gc.collect()
    before, cpu_s = read_traffic(fleet), time.process_time()
    appends, reads = (
        fleet.standins.log.append_count,
        fleet.standins.log.read_count,
    )
    await anyio.sleep(seconds)
    after, cpu_s = read_traffic(fleet), time.process_time() - cpu_s
    messages = (after[1] - before[1]) / seconds / size
    return {
        'messages_per_s': messages,
        'kb_per_s': (
            (after[0] - before[0]) / seconds / size
            + messages * FRAME_OVERHEAD_BYTES
        )
        / 1e3,
        'cpu_percent': cpu_s / seconds / size * 100,
        'log_reads_per_s': (fleet.standins.log.read_count - reads) / seconds,
        'log_appends_per_s': (fleet.standins.log.append_count - appends)
        / seconds,
    }


async def measure_changes(fleet, count):
    """Publish changes one at a time and measure the cost of each."""
    size = len(fleet.daemons)
    document = build_large_document(fleet.standins.addresses)
    delays = []
    before, cpu_s = read_traffic(fleet), time.process_time()
    started = time.monotonic()
    for index in range(count):
        document['services']['bookings']['price'] = index
        base = next(iter(fleet.daemons.values())).follower.status.offset
        change_started = time.monotonic()
        published = await fleet.publish(document, base=base)
        assert published.status == 200, published.body
        offset = published.read_json()['offset']
        await wait_until(
            lambda offset=offset: all(
                d.follower.status.offset >= offset
                for d in fleet.daemons.values()
            ),
            30,
        )
        delays.append(time.monotonic() - change_started)
    elapsed_s = time.monotonic() - started
    after, cpu_s = read_traffic(fleet), time.process_time() - cpu_s
    return {
        'kb_per_change': (after[0] - before[0]) / count / size / 1e3,
        'cpu_ms_per_change': cpu_s / count / size * 1e3,
        'in_force_s': max(delays),
        'changes_took_s': elapsed_s,
    }


async def measure_crash(fleet):
    name = list(fleet.daemons)[-1]
    fleet.standins.instances.instances.pop(name)
    fleet.crash_daemon(name)
    others = fleet.daemons.values()
    return await wait_until(
        lambda: all(
            name not in {m.name for m in d.fleet.roster.list_usable()}
            for d in others
        ),
        30,
    )


async def measure_join_without_log(fleet):
    fleet.standins.log.switches.down = True
    daemon = await fleet.start_daemon('newcomer', ZONES[0][0])
    elapsed_s = await wait_until(lambda: daemon.follower.is_ready, 30)
    fleet.standins.log.switches.down = False
    return elapsed_s


async def measure_size(size, args):
    zones = [ZONES[index % len(ZONES)][0] for index in range(size)]
    memory = read_memory_mb()
    async with run_fleet(
        zones=zones, standins=Standins(), regions=dict(ZONES)
    ) as fleet:
        converged = await wait_until(lambda: is_membership_complete(fleet), 60)
        print(f'{size} daemons know all members', file=sys.stderr, flush=True)
        large_document = build_large_document(fleet.standins.addresses)
        published = await fleet.publish(large_document)
        assert published.status == 200, published.body
        await fleet.wait_for_configuration(0)
        await wait_until(
            lambda: (
                not any(
                    d.fleet.roster.pending_update_count
                    for d in fleet.daemons.values()
                )
            ),
            150,
        )
        row = {'size': size, 'converged_s': converged}
        row |= await measure_idle(fleet, args.seconds)
        row['memory_mb'] = (read_memory_mb() - memory) / size
        row['suspected'] = size - len(
            next(iter(fleet.daemons.values())).fleet.roster.list_usable()
        )
        row |= await measure_changes(fleet, args.changes)
        row['crash_seen_s'] = await measure_crash(fleet)
        row['newcomer_s'] = await measure_join_without_log(fleet)
    return row


async def measure_memory():
    """Return the resident memory of one daemon in MB, large document loaded."""
    folder = Path(tempfile.mkdtemp())
    programs = Path(sys.executable).parent
    ready = folder / 'a0.ready.json'
    processes = [
        subprocess.Popen([programs / 'laurelwind-standins', 'standins', folder])
    ]
    try:
        await wait_until((folder / 'standins.json').exists, 20)
        processes.append(
            subprocess.Popen(
                [
                    programs / 'laurelwindd',
                    folder / 'a0.toml',
                    '--ready-file',
                    ready,
                ],
                stderr=subprocess.DEVNULL,
            )
        )
        await wait_until(ready.exists, 20)
        await anyio.sleep(0.5)
        daemon_info = json.loads(ready.read_bytes())
        addresses = json.loads((folder / 'standins.json').read_bytes())
        await HttpCaller().request(
            'POST',
            f'{daemon_info["admin_address"]}/admin/v1/configuration?base=-1',
            key=OPERATOR_KEY,
            body=build_large_document(addresses),
        )
        await anyio.sleep(2)
        return read_memory_mb(daemon_info['process_id'])
    finally:
        for process in reversed(processes):
            process.terminate()
            process.wait()


def fit_line(rows, name):
    sizes = [row['size'] for row in rows]
    measured = [row[name] for row in rows]
    if len(rows) < 2:
        return 0.0, measured[0], 0.0
    slope, intercept = np.polyfit(sizes, measured, 1)
    residual = max(
        abs(intercept + slope * size - figure)
        for size, figure in zip(sizes, measured, strict=True)
    )
    return slope, intercept, residual


def extrapolate_by_share(rows, name, readers):
    """Extrapolate by the share of daemons that do not read the log."""
    shares = [max(1 - readers / row['size'], 0) for row in rows]
    measured = [row[name] for row in rows]
    if len(set(shares)) < 2:
        return max(measured)
    slope, intercept = np.polyfit(shares, measured, 1)
    return intercept + slope * (1 - readers / TARGET_FLEET_SIZE)


def report(rows, memory_mb):
    names = [name for name in rows[0] if name != 'size']
    header = ' '.join(f'{row["size"]:>9}' for row in rows)
    print(f'{"":18} {header} {"slope":>10} {"residual":>9} {"at 370":>9}')
    extrapolated = {}
    for name in names:
        slope, intercept, residual = fit_line(rows, name)
        # A negative slope would extrapolate to less than any measured value.
        extrapolated[name] = max(
            intercept + slope * TARGET_FLEET_SIZE, *(row[name] for row in rows)
        )
        figures = ' '.join(f'{row[name]:9.3f}' for row in rows)
        print(
            f'{name:18} {figures} {slope:10.5f} {residual:9.3f} '
            f'{extrapolated[name]:9.3f}'
        )
    # Readers fetch a change from the log, all other daemons from a peer: the
    # cost of a change grows with the share of the latter, not with the size.
    readers = READERS_PER_ZONE * len(ZONES)
    for name in ('kb_per_change', 'cpu_ms_per_change'):
        extrapolated[name] = extrapolate_by_share(rows, name, readers)
        print(
            f'{name} at {TARGET_FLEET_SIZE} by share of readers: '
            f'{extrapolated[name]:.1f}'
        )
    changes_per_s = CHANGES_PER_DAY / DAY_S
    total = {
        'kb_per_s': extrapolated['kb_per_s']
        + changes_per_s * extrapolated['kb_per_change'],
        'cpu_percent': extrapolated['cpu_percent']
        + changes_per_s * extrapolated['cpu_ms_per_change'] / 10,
        'memory_mb': memory_mb,
    }
    exceeded = [name for name, limit in BUDGET.items() if total[name] > limit]
    if max(row['in_force_s'] for row in rows) > MAX_IN_FORCE_S:
        exceeded.append('in_force_s')
    if max(row['crash_seen_s'] for row in rows) > MAX_CRASH_DETECTION_S:
        exceeded.append('crash_seen_s')
    summary = ' '.join(f'{name}={total[name]:.2f}' for name in BUDGET)
    print(
        f'at {TARGET_FLEET_SIZE} with {CHANGES_PER_DAY} changes a day: '
        f'{summary}'
    )
    print(f'sizes {[row["size"] for row in rows]} missed {exceeded}')
    return 1 if exceeded else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='4,8,16')
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--changes', type=int, default=10)
    parser.add_argument('--out', default='')
    args = parser.parse_args()
    rows = []
    for size in map(int, args.sizes.split(',')):
        row = anyio.run(measure_size, size, args)
        print(json.dumps(row), flush=True)
        rows.append(row)
    if args.out:
        Path(args.out).write_text(json.dumps(rows, indent=2))
    return report(rows, anyio.run(measure_memory))


if __name__ == '__main__':
    sys.exit(main())
