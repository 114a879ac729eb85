"""Measures the overhead of a daemon against a bare relay in the same run.

Starts the stand-ins, a bare relay and one daemon as separate processes, sends
the same paced streams to the engine, the relay and the daemon, and compares
CPU time per request, CPU time per part and time to first part.
``python benchmarks/overhead.py`` prints the figures and exits with 1 if a
target is missed.
"""

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import uuid
from pathlib import Path

import anyio
import httpcore

from standins.documents import (
    LARGE_VERSION,
    LATENCY_WORKSPACE_KEY,
    build_document,
)
from standins.fleet import OPERATOR_KEY, HttpCaller

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PROGRAMS = Path(sys.executable).parent
TARGETS = {'part_ratio': 1.5, 'request_ratio': 3.0, 'first_part_ms': 2.0}
MAX_IDLE_MB = 64
START_SPREAD_S = 6.0
MEASURE_WINDOW_S = 2.0
CALLERS = 10


def read_cpu_s(pid):
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_mb(pid):
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


async def send_stream(pool, address, key, parts, first_part_times, part_counts):
    body = json.dumps(
        {
            'model': LARGE_VERSION,
            'stream': True,
            'max_tokens': parts,
            'messages': [{'role': 'user', 'content': 'a draft'}],
        }
    ).encode()
    started = time.perf_counter()
    headers = {
        'Authorization': f'Bearer {key}',
        'X-Request-Id': str(uuid.uuid4()),
        'Content-Type': 'application/json',
    }
    first_part_s = None
    last_chunk = b''
    async with pool.stream(
        'POST',
        f'http://{address}/v1/chat/completions',
        headers=headers,
        content=body,
    ) as answer:
        async for chunk in answer.aiter_stream():
            if first_part_s is None:
                first_part_s = time.perf_counter() - started
            part_counts.append(chunk.count(b'data: '))
            last_chunk = chunk
    if b'[DONE]' not in last_chunk:
        raise RuntimeError(
            f'{address}: stream truncated, last chunk: {last_chunk!r}'
        )
    first_part_times.append(first_part_s)


async def run_streams(address, key, *, streams, requests, parts):
    """Send streams concurrently; each caller has its own connection."""
    first_part_times, part_counts = [], []

    async def run_caller(index):
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            await anyio.sleep(index * START_SPREAD_S / streams)
            for _ in range(requests // streams):
                await send_stream(
                    pool, address, key, parts, first_part_times, part_counts
                )

    async with anyio.create_task_group() as group:
        for index in range(streams):
            group.start_soon(run_caller, index)
    return first_part_times, sum(part_counts)


async def measure(name, address, key, pid, args):
    """Measure CPU time per request and per part, and the time to first part."""
    await run_streams(address, key, streams=CALLERS, requests=CALLERS, parts=1)
    before = read_cpu_s(pid)
    _, count = await run_streams(
        address, key, streams=CALLERS, requests=args.requests, parts=1
    )
    cpu_s = read_cpu_s(pid) - before
    per_part, first_part_times = await measure_parts(address, key, pid, args)
    ordered = sorted(first_part_times)
    return {
        'name': name,
        'us_per_part': per_part * 1e6,
        'us_per_request': (cpu_s - count * per_part) / args.requests * 1e6,
        'first_part_ms': [
            ordered[min(int(len(ordered) * share), len(ordered) - 1)] * 1e3
            for share in (0.5, 0.95, 0.99)
        ],
    }


async def measure_parts(address, key, pid, args):
    first_part_times, part_counts = [], []

    async def run_caller(index):
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            await anyio.sleep(index * START_SPREAD_S / args.streams)
            await send_stream(
                pool, address, key, args.parts, first_part_times, part_counts
            )

    async with anyio.create_task_group() as group:
        for index in range(args.streams):
            group.start_soon(run_caller, index)
        await anyio.sleep(START_SPREAD_S + 0.5)
        before, parts_before = read_cpu_s(pid), sum(part_counts)
        await anyio.sleep(MEASURE_WINDOW_S)
        cpu_s, forwarded = (
            read_cpu_s(pid) - before,
            sum(part_counts) - parts_before,
        )
    return cpu_s / forwarded, first_part_times


async def run(args, folder):
    addresses = json.loads((folder / 'standins.json').read_text())
    ready = json.loads((folder / 'a0.ready.json').read_text())
    engine = addresses['engine0']
    caller = HttpCaller()
    for index in range(3):
        await caller.request(
            'POST',
            f'{addresses[f"engine{index}"]}/faults',
            body={'part_s': args.part_s, 'slots': 1_000_000},
        )
    document = build_document(addresses)
    for name in ('engine1', 'engine2'):
        document['pools']['engines']['endpoints'].pop(name)
    document['pools']['engines']['in_flight'] = 10_000
    await caller.request(
        'POST',
        f'{ready["admin_address"]}/admin/v1/configuration?base=-1',
        key=OPERATOR_KEY,
        body=document,
    )
    await anyio.sleep(0.5)
    idle_mb = read_rss_mb(ready['process_id'])
    relay = subprocess.Popen(
        [sys.executable, str(Path(__file__).with_name('relay.py')), engine],
        stdout=subprocess.PIPE,
        text=True,
    )
    relay_address, relay_pid = relay.stdout.readline().split()
    try:
        rows = []
        for _ in range(args.rounds):
            relay_row = await measure(
                'relay', relay_address, 'none', relay_pid, args
            )
            daemon_row = await measure(
                'daemon',
                ready['caller_address'],
                LATENCY_WORKSPACE_KEY,
                ready['process_id'],
                args,
            )
            rows.append((relay_row, daemon_row))
        direct_times, _ = await run_streams(
            engine, 'none', streams=CALLERS, requests=args.requests, parts=1
        )
    finally:
        relay.terminate()
        relay.wait()
    await caller.close()
    return rows, direct_times, idle_mb


def report(rows, direct_times, idle_mb, args):
    for relay_row, daemon_row in rows:
        for row in (relay_row, daemon_row):
            percentiles = ' '.join(f'{ms:.1f}' for ms in row['first_part_ms'])
            print(
                f'{row["name"]:7} {row["us_per_request"]:7.0f} us a request, '
                f'{row["us_per_part"]:6.1f} us a part, '
                f'first part {percentiles} ms (50, 95, 99 in 100)'
            )
    print(
        f'direct: first part {statistics.median(direct_times) * 1e3:.1f} '
        'ms median'
    )
    median = statistics.median
    part_ratio = median(b['us_per_part'] / a['us_per_part'] for a, b in rows)
    request_ratio = median(
        b['us_per_request'] / a['us_per_request'] for a, b in rows
    )
    first_part_ms = median(
        b['first_part_ms'][0] - a['first_part_ms'][0] for a, b in rows
    )
    figures = {
        'part_ratio': part_ratio,
        'request_ratio': request_ratio,
        'first_part_ms': first_part_ms,
    }
    missed = [name for name, limit in TARGETS.items() if figures[name] > limit]
    if idle_mb > MAX_IDLE_MB:
        missed.append('idle_mb')
    print(
        f'part x{part_ratio:.2f} request x{request_ratio:.2f} '
        f'first +{first_part_ms:.2f} ms idle {idle_mb:.1f} MB missed {missed}'
    )
    return 1 if missed else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--streams', type=int, default=150)
    parser.add_argument('--requests', type=int, default=600)
    parser.add_argument('--parts', type=int, default=120)
    parser.add_argument('--part-s', type=float, default=0.074)
    parser.add_argument('--rounds', type=int, default=2)
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp())
    processes = [
        subprocess.Popen([PROGRAMS / 'laurelwind-standins', 'standins', folder])
    ]
    try:
        wait_for(folder / 'standins.json')
        processes.append(
            subprocess.Popen(
                [
                    PROGRAMS / 'laurelwindd',
                    folder / 'a0.toml',
                    '--ready-file',
                    folder / 'a0.ready.json',
                ],
                stderr=subprocess.DEVNULL,
            )
        )
        wait_for(folder / 'a0.ready.json')
        rows, direct_times, idle_mb = anyio.run(run, args, folder)
    finally:
        for process in reversed(processes):
            process.send_signal(signal.SIGTERM)
            process.wait()
    return report(rows, direct_times, idle_mb, args)


def wait_for(path):
    while not path.exists() or not path.stat().st_size:
        time.sleep(0.02)


if __name__ == '__main__':
    sys.exit(main())
