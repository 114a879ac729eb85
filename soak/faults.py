"""Fault injection, sequential and overlapping, determined by a seed."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from soak import bounds
from soak.fleet import Daemon, Fleet
from standins.link import Link
from standins.store import StoreMode

# Seconds between the starts of two faults.
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 1.4
# Duration of a fault in seconds. The maximum exceeds the bound for revoked
# keys, so that revocation depends on the lease of the routing table.
MIN_DURATION_S = 0.3
MAX_DURATION_S = 7.0
# Minimum seconds between two changes of the routing table, so that a request
# can be attributed to one table.
MIN_TABLE_INTERVAL_S = 5.0
# Seconds for which a daemon cannot read a key revocation from the store.
UNSEEN_REVOCATION_S = 8.0
# Minimum size of a pool for a withdrawal, and share of withdrawals from a
# random pool, which may not be in use.
MIN_ENDPOINTS = 2
OTHER_POOL_SHARE = 0.3
# Share of requests that get a fault, at endpoints of the pools and at those of
# a bad version.
FAULT_SHARE = 0.12
BAD_VERSION_FAULT_SHARE = 0.7
_LINK_DELAY_S = 0.3
_STORE_MODES = [mode for mode in StoreMode if mode is not StoreMode.UP]


class FaultInjector:
    """Injects random faults into a fleet.

    :param fleet: fleet to disturb.
    :param rng: random generator that chooses the faults.
    :param group: task group for endpoints that are added.
    :ivar history: injected faults, one line each.
    :ivar slow_stops: daemons that exceeded the bound for stopping.
    :ivar rollout_is_bad: whether the roll-out's version fails; ``None`` before
        the roll-out is ordered.
    :ivar rollout_ordered_at: time of the order, infinity before it.
    """

    def __init__(self, *, fleet: Fleet, rng: random.Random, group: TaskGroup):
        self.history: list[str] = []
        self.slow_stops: list[str] = []
        self.rollout_is_bad: bool | None = None
        self.rollout_ordered_at = float('inf')
        self._fleet = fleet
        self._rng = rng
        self._group = group
        self._table_changed_at = float('-inf')
        self._busy_subjects: set[str] = set()

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, and wait until the last has ended."""
        ends_at = anyio.current_time() + seconds
        injectors: dict[str, Callable[[random.Random], Awaitable[None]]] = {
            'stop': self._stop,
            'kill': self._kill,
            'pause': self._pause,
            'reload': self._reload,
            'store': self._disturb_store,
            'forget': self._compact_store,
            'link': self._disturb_link,
            'table': self._change_table,
            'keys': self._change_keys,
            'revoke': self._revoke_unseen,
            'leave': self._withdraw_endpoint,
            'rollout': self._roll_out,
        }
        names = [*injectors, 'table', 'keys', 'revoke', 'link', 'stop', 'leave']
        async with anyio.create_task_group() as group:
            while anyio.current_time() < ends_at:
                name = self._rng.choice(names)
                # A generator of its own: overlapping faults would draw from a
                # shared one in the order in which processes are scheduled.
                rng = random.Random(self._rng.random())
                group.start_soon(injectors[name], rng)
                pause_s = self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
                await anyio.sleep(pause_s)

    def _record(self, name: str, subject: str, duration_s: float = 0) -> None:
        started_at = anyio.current_time()
        self.history.append(
            f'{started_at:.2f} {name} {subject} {duration_s:.1f}'
        )

    def _reserve_daemon(self, rng: random.Random) -> Daemon | None:
        free = [
            daemon
            for daemon in self._fleet.daemons
            if daemon.name not in self._busy_subjects and daemon.is_running
        ]
        if len(free) < len(self._fleet.daemons) // 2:
            return None
        chosen = rng.choice(free)
        self._busy_subjects.add(chosen.name)
        return chosen

    async def _stop(self, rng: random.Random) -> None:
        daemon = self._reserve_daemon(rng)
        if daemon is None:
            return
        self._record('stop', daemon.name)
        if not await daemon.stop():
            self.slow_stops.append(daemon.name)
        await anyio.sleep(_choose_duration(rng, 1.0))
        await daemon.start()
        self._busy_subjects.discard(daemon.name)

    async def _kill(self, rng: random.Random) -> None:
        daemon = self._reserve_daemon(rng)
        if daemon is None:
            return
        self._record('kill', daemon.name)
        with self._fleet.fault_windows.record(daemon.subject):
            await daemon.kill()
            await anyio.sleep(_choose_duration(rng, 2.0))
            await daemon.start()
        self._busy_subjects.discard(daemon.name)

    async def _pause(self, rng: random.Random) -> None:
        daemon = self._reserve_daemon(rng)
        if daemon is None:
            return
        duration_s = _choose_duration(rng)
        self._record('pause', daemon.name, duration_s)
        with self._fleet.fault_windows.record(daemon.subject):
            daemon.send_signal(signal.SIGSTOP)
            await anyio.sleep(duration_s)
            daemon.send_signal(signal.SIGCONT)
        self._busy_subjects.discard(daemon.name)

    async def _reload(self, rng: random.Random) -> None:
        daemon = self._reserve_daemon(rng)
        if daemon is None:
            return
        self._record('reload', daemon.name)
        daemon.send_signal(signal.SIGHUP)
        self._busy_subjects.discard(daemon.name)

    async def _disturb_store(self, rng: random.Random) -> None:
        if 'store' in self._busy_subjects:
            return
        self._busy_subjects.add('store')
        mode = rng.choice(_STORE_MODES)
        duration_s = _choose_duration(rng)
        self._record(f'store {mode.value}', 'store', duration_s)
        with self._fleet.fault_windows.record('store'):
            self._fleet.store.mode = mode
            await anyio.sleep(duration_s)
            self._fleet.store.mode = StoreMode.UP
        self._busy_subjects.discard('store')

    async def _compact_store(self, _: random.Random) -> None:
        self._record('forget', 'store')
        self._fleet.store.compact()

    async def _disturb_link(self, rng: random.Random) -> None:
        subject, link = self._choose_link(rng)
        if subject in self._busy_subjects:
            return
        self._busy_subjects.add(subject)
        duration_s = _choose_duration(rng)
        fault = rng.choice(('delay', 'reset', 'mute', 'lose', 'cut'))
        self._record(fault, subject, duration_s)
        with self._fleet.fault_windows.record(subject.split(', ')[0]):
            await _apply_link_fault(link, fault, duration_s)
        self._busy_subjects.discard(subject)

    def _choose_link(self, rng: random.Random) -> tuple[str, Link]:
        daemon = rng.choice(self._fleet.daemons)
        name = rng.choice(list(self._fleet.links))
        return rng.choice(
            (
                (f'{daemon.subject}, callers', daemon.caller_link),
                (f'{daemon.subject}, store', daemon.store_link),
                (f'endpoint {name}', self._fleet.links[name]),
            )
        )

    async def _change_table(self, _: random.Random) -> None:
        now = anyio.current_time()
        if now - self._table_changed_at < MIN_TABLE_INTERVAL_S:
            return
        self._table_changed_at = now
        fleet = self._fleet
        current = bounds.POOLS.index(fleet.tables[-1][1])
        pool = bounds.POOLS[(current + 1) % len(bounds.POOLS)]
        self._record('table', pool)
        fleet.publish(pool)

    async def _change_keys(self, rng: random.Random) -> None:
        fleet = self._fleet
        if len(fleet.extra_keys) > 2:
            fleet.extra_keys.discard(rng.choice(sorted(fleet.extra_keys)))
        else:
            fleet.extra_keys.add(f'passing-{len(fleet.tables)}')
        self._record('keys', ' '.join(sorted(fleet.extra_keys)))
        fleet.publish(fleet.tables[-1][1])

    async def _revoke_unseen(self, rng: random.Random) -> None:
        """Revoke a key while a daemon cannot read the store."""
        fleet = self._fleet
        # Other daemons of its zone may read from this daemon.
        reader = min(
            fleet.daemons, key=lambda candidate: candidate.addresses['callers']
        )
        daemon = rng.choice((reader, rng.choice(fleet.daemons)))
        subject = f'{daemon.subject}, store'
        if subject in self._busy_subjects or not fleet.extra_keys:
            await self._change_keys(rng)
            return
        self._busy_subjects.add(subject)
        self._record('revoke unseen by', daemon.name, UNSEEN_REVOCATION_S)
        with fleet.fault_windows.record(daemon.subject):
            daemon.store_link.set_blocked(is_blocked=True)
            fleet.extra_keys.discard(rng.choice(sorted(fleet.extra_keys)))
            fleet.publish(fleet.tables[-1][1])
            await anyio.sleep(UNSEEN_REVOCATION_S)
            daemon.store_link.set_blocked(is_blocked=False)
        self._busy_subjects.discard(subject)

    async def _withdraw_endpoint(self, rng: random.Random) -> None:
        fleet = self._fleet
        pool = fleet.tables[-1][1]
        if rng.random() < OTHER_POOL_SHARE:
            pool = rng.choice(bounds.POOLS)
        names = [
            name
            for name, endpoint in fleet.endpoints.items()
            if endpoint.service == pool and name not in fleet.withdrawn_at
        ]
        if len(names) < MIN_ENDPOINTS:
            return
        name = rng.choice(names)
        is_announced = rng.random() < 0.6
        self._record('leave', name)
        # After the withdrawal the address serves under another name.
        fleet.withdraw_endpoint(name, is_announced=is_announced)
        withdrawn = fleet.endpoints[name]
        await anyio.sleep(bounds.DRAIN_S + _choose_duration(rng))
        fleet.store.put('keyed.servers', name, None)
        successor = await fleet.add_endpoint(
            self._group, pool, fault_share=withdrawn.fault_share
        )
        withdrawn.name = f'{successor.name}-in-place-of-{name}'

    async def _roll_out(self, rng: random.Random) -> None:
        if self.rollout_is_bad is not None:
            return
        self.rollout_is_bad = rng.random() < 0.7
        fault_share = BAD_VERSION_FAULT_SHARE if self.rollout_is_bad else 0
        for _ in range(2):
            await self._fleet.add_endpoint(
                self._group,
                bounds.ROLLOUT_SERVICE,
                version='v2',
                fault_share=fault_share,
            )
        self._record('rollout', 'bad' if self.rollout_is_bad else 'good')
        self.rollout_ordered_at = anyio.current_time()
        self._fleet.store.put(
            'keyed.op',
            f'rollout/{bounds.ROLLOUT_SERVICE}',
            {
                'service': bounds.ROLLOUT_SERVICE,
                'target': 'v2',
                'duration_s': bounds.ROLLOUT_S,
            },
        )


def _choose_duration(
    rng: random.Random, max_s: float = MAX_DURATION_S
) -> float:
    return rng.uniform(MIN_DURATION_S, max_s)


async def _apply_link_fault(link: Link, fault: str, duration_s: float) -> None:
    if fault == 'delay':
        link.delay_s = _LINK_DELAY_S
        await anyio.sleep(duration_s)
        link.delay_s = 0
    elif fault == 'mute':
        link.is_return_blocked = True
        await anyio.sleep(duration_s)
        link.is_return_blocked = False
    elif fault == 'reset':
        link.reset()
    elif fault == 'lose':
        link.stall_connections()
        await anyio.sleep(duration_s)
    else:
        link.set_blocked(is_blocked=True)
        await anyio.sleep(duration_s)
        link.set_blocked(is_blocked=False)
