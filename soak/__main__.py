"""Plays seeds: ``python -m soak --first 1 --seeds 50 --seconds 20``."""

import argparse
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import anyio
import httpcore
from anyio.abc import TaskGroup

from laurelwind.transport.server import HttpServer
from soak import bounds
from soak.callers import Callers, fetch
from soak.faults import WILDNESS, Faults
from soak.fleet import Daemon, Fleet
from soak.promises import Judge

# One zone that is large enough for daemons to read from one another, and one
# that is not.
ZONES = 'aaaaaaabb'
WORKERS = 24
ENDPOINTS = 3
CALM_ASKS = 40
_READY_S = 30.0
_POLL_S = 0.1


async def play(
    seed: int, seconds: float, folder: Path, zones: str = ZONES
) -> tuple[list[str], Counter[str], list[str]]:
    """Play one seed; give broken promises, endings and faults."""
    fleet = Fleet(luck=random.Random(seed), folder=folder)
    callers = Callers(fleet=fleet, luck=random.Random(seed + 1))
    async with anyio.create_task_group() as group:
        faults = Faults(fleet=fleet, luck=random.Random(seed + 2), group=group)
        try:
            await _start(group, fleet, zones)
            for number in range(WORKERS):
                group.start_soon(callers.work, number)
            await faults.play(seconds)
            broken = await _calm_down(fleet, callers, faults.ordered_at)
        finally:
            for daemon in fleet.daemons:
                await daemon.kill()
        group.cancel_scope.cancel()
    judge = Judge(fleet=fleet, callers=callers, faults=faults)
    broken.extend(judge.find_broken())
    return broken, judge.count_endings(), faults.played


async def _start(group: TaskGroup, fleet: Fleet, zones: str) -> None:
    server = HttpServer(address='127.0.0.1:0')
    await server.start(group, fleet.store)
    for service in (*bounds.POOLS, bounds.DESK):
        wildness = 0 if service == bounds.DESK else WILDNESS
        for _ in range(ENDPOINTS):
            await fleet.add_endpoint(group, service, wildness=wildness)
    fleet.publish(bounds.POOLS[0])
    for number, zone in enumerate(zones):
        daemon = Daemon(
            name=f'd{number}',
            zone=zone,
            folder=fleet.folder,
            store=server.address,
        )
        fleet.daemons.append(daemon)
        await daemon.start_links(group)
        await daemon.start()
    with anyio.fail_after(_READY_S):
        for daemon in fleet.daemons:
            await _wait_until_ready(daemon)


async def _wait_until_ready(daemon: Daemon) -> None:
    while await fetch(daemon.addresses['readiness'], '/readiness') is None:
        await anyio.sleep(_POLL_S)


async def _calm_down(
    fleet: Fleet, callers: Callers, ordered_at: float
) -> list[str]:
    """Lift every trouble, and ask once more after the time of recovery."""
    fleet.lift_troubles()
    for endpoint in fleet.endpoints.values():
        if endpoint.version == 'v1':
            endpoint.wildness = 0
    for daemon in fleet.daemons:
        if not daemon.is_running:
            await daemon.start()
    await anyio.sleep(bounds.RECOVERY_S)
    if ordered_at < float('inf'):
        await anyio.sleep_until(ordered_at + bounds.ROLLOUT_S)
    callers.is_over = True
    await anyio.sleep(bounds.TIMEOUT_S * 2)
    served = 0
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(CALM_ASKS):
            known = await callers.resolve()
            if not known:
                continue
            daemon = known[number % len(known)]
            ask = await callers.ask(pool, daemon, f'calm-{number}')
            served += ask.status == 200 or ask.key != bounds.KEY
    if served < CALM_ASKS * bounds.SERVED_AT_END:
        return [f'recovery: {served} of {CALM_ASKS} were served at the end']
    return []


def main() -> None:
    """Play seeds, and tell which promises were broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--minutes', type=float, help='fresh seeds until then')
    parser.add_argument('--zones', default=ZONES)
    parser.add_argument('--keep', type=Path, help='where logs are kept')
    args = parser.parse_args()
    ends_at = None
    first, seeds = args.first, args.seeds
    if args.minutes is not None:
        ends_at = time.monotonic() + args.minutes * 60
        first, seeds = random.SystemRandom().randrange(10**6), 10**6
    failed = 0
    for seed in range(first, first + seeds):
        if ends_at is not None and time.monotonic() > ends_at:
            break
        failed += _play_seed(seed, args)
    sys.exit(failed > 0)


def _play_seed(seed: int, args: argparse.Namespace) -> bool:
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch) if args.keep is None else args.keep / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        broken, endings, played = anyio.run(
            play, seed, args.seconds, folder, args.zones
        )
    print(f'seed {seed}: {len(played)} faults, {len(broken)} broken')
    print('   ', dict(sorted(endings.items())))
    if broken:
        for line in (*broken[:20], *played):
            print('   ', line)
    sys.stdout.flush()
    return bool(broken)


if __name__ == '__main__':
    main()
