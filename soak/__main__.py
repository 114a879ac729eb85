"""Runs seeds: ``python -m soak --first 1 --seeds 50 --seconds 20``."""

import argparse
import random
import signal
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
from soak.daemons import Daemon
from soak.faults import FaultInjector
from soak.fleet import Fleet, choose_network
from soak.guarantees import GuaranteeChecker
from soak.memory import MemoryWatch
from soak.scenarios import SCENARIOS, Scenario
from soak.tables import PoolShare

CALLER_COUNT = 24
ENDPOINTS_PER_SERVICE = 3
# Last octet of the first daemon's address. All have three digits, so that texts
# sort as numbers do.
FIRST_HOST = 100
RECOVERY_REQUESTS = 40
_READY_TIMEOUT_S = 30.0
_POLL_S = 0.1


async def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    scenario: Scenario,
    zones: str | None = None,
) -> tuple[list[str], Counter[str], list[str]]:
    """Run one seed.

    :param seconds: time during which faults are started.
    :param folder: directory of settings and logs.
    :param scenario: faults and traffic to choose from.
    :param zones: zone of each daemon, one letter each; by default those of
        the scenario.
    :returns: violations, number of requests by outcome, and faults.
    """
    fleet = Fleet(rng=random.Random(seed), folder=folder)
    callers = Callers(
        fleet=fleet,
        rng=random.Random(seed + 1),
        has_large_requests=scenario.has_large_requests,
        has_prompts=scenario.has_prompts,
    )
    fleet.unusual = scenario.unusual
    fleet.endpoint_zones = scenario.endpoint_zones
    fleet.has_cold = scenario.has_cold
    memory = MemoryWatch(fleet=fleet, memory_mb=scenario.memory_mb)
    async with anyio.create_task_group() as group:
        faults = FaultInjector(
            fleet=fleet,
            scenario=scenario,
            rng=random.Random(seed + 2),
            group=group,
        )
        try:
            await _start(group, fleet, scenario, zones or scenario.zones)
            for number in range(CALLER_COUNT):
                group.start_soon(callers.run_caller, number)
            group.start_soon(callers.repeat_deadly_requests)
            group.start_soon(memory.run)
            await faults.run(seconds)
            violations = await _check_recovery(
                fleet, callers, faults.endpoints.rollout_ordered_at
            )
        finally:
            for daemon in fleet.daemons:
                await daemon.kill()
        group.cancel_scope.cancel()
    checker = GuaranteeChecker(fleet=fleet, callers=callers, faults=faults)
    violations.extend(checker.find_violations())
    violations.extend(memory.find_violations())
    return violations, checker.count_outcomes(), faults.history


async def _start(
    group: TaskGroup, fleet: Fleet, scenario: Scenario, zones: str
) -> None:
    server = HttpServer(address='127.0.0.1:0')
    await server.start(group, fleet.store)
    for service in (*bounds.POOLS, bounds.ROLLOUT_SERVICE):
        fault_share = scenario.fault_share
        if service == bounds.ROLLOUT_SERVICE:
            fault_share = 0
        for _ in range(ENDPOINTS_PER_SERVICE):
            await fleet.add_endpoint(group, service, fault_share=fault_share)
    fleet.publish(PoolShare(bounds.POOLS[0]))
    network = choose_network()
    for number, zone in enumerate(zones):
        daemon = Daemon(
            name=f'd{number}',
            zone=zone,
            folder=fleet.folder,
            store=server.address,
            # Daemons rank by address, and a seed must give the same ranks.
            host=f'{network}.{FIRST_HOST + number}',
        )
        daemon.memory_mb = scenario.memory_mb
        fleet.daemons.append(daemon)
        await daemon.start_links(group)
        await daemon.start()
    with anyio.fail_after(_READY_TIMEOUT_S):
        for daemon in fleet.daemons:
            await _wait_until_ready(daemon)


async def _wait_until_ready(daemon: Daemon) -> None:
    while await fetch(daemon.addresses['readiness'], '/readiness') is None:
        await anyio.sleep(_POLL_S)


async def _check_recovery(
    fleet: Fleet, callers: Callers, rollout_ordered_at: float
) -> list[str]:
    """End all faults, and check that requests are served after recovery."""
    fleet.clear_faults()
    for endpoint in fleet.endpoints.values():
        if endpoint.version == 'v1':
            endpoint.fault_share = 0
    for daemon in fleet.daemons:
        if not daemon.is_running:
            await daemon.start()
    await anyio.sleep(bounds.RECOVERY_S)
    if rollout_ordered_at < float('inf'):
        await anyio.sleep_until(rollout_ordered_at + bounds.ROLLOUT_S)
    callers.is_stopped = True
    await anyio.sleep(bounds.TIMEOUT_S * 2)
    served = 0
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(RECOVERY_REQUESTS):
            daemons = await callers.resolve()
            if not daemons:
                continue
            daemon = daemons[number % len(daemons)]
            request = await callers.send_request(pool, daemon, f'calm-{number}')
            served += (
                request.status == 200 or request.key != bounds.PERMANENT_KEY
            )
    if served < RECOVERY_REQUESTS * bounds.MIN_SERVED_SHARE:
        return [
            f'recovery: {served} of {RECOVERY_REQUESTS} requests were served'
        ]
    return []


def main() -> None:
    """Run seeds, and exit with status 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument(
        '--minutes', type=float, help='run random seeds for this long'
    )
    parser.add_argument('--scenario', choices=SCENARIOS, default='all')
    parser.add_argument('--zones', help='zone of each daemon, one letter each')
    parser.add_argument(
        '--keep', type=Path, help='directory for settings and logs'
    )
    args = parser.parse_args()
    # Ends the daemons as well, which would otherwise go on by themselves.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    ends_at = None
    first, seeds = args.first, args.seeds
    if args.minutes is not None:
        ends_at = time.monotonic() + args.minutes * 60
        first, seeds = random.SystemRandom().randrange(10**6), 10**6
    failed = 0
    for seed in range(first, first + seeds):
        if ends_at is not None and time.monotonic() > ends_at:
            break
        failed += _report_seed(seed, args)
    sys.exit(failed > 0)


def _report_seed(seed: int, args: argparse.Namespace) -> bool:
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch) if args.keep is None else args.keep / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        violations, outcomes, faults = anyio.run(
            run_seed,
            seed,
            args.seconds,
            folder,
            SCENARIOS[args.scenario],
            args.zones,
        )
    counts = f'{len(faults)} faults, {len(violations)} broken'
    print(f'seed {seed} {args.scenario}: {counts}')
    print('   ', dict(sorted(outcomes.items())))
    if violations:
        for line in (*violations[:20], *faults):
            print('   ', line)
    sys.stdout.flush()
    return bool(violations)


if __name__ == '__main__':
    main()
