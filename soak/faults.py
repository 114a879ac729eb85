"""Faults, drawn by a seed: in series, and over one another."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from soak import bounds
from soak.fleet import Daemon, Fleet
from standins.link import Link
from standins.store import StoreMode

# Seconds between the beginnings of two faults.
LEAST_PAUSE_S = 0.3
MOST_PAUSE_S = 1.4
# Seconds that a fault lasts: at most longer than a key that was taken away may
# live, so that the lease on the table is needed.
LEAST_LENGTH_S = 0.3
MOST_LENGTH_S = 7.0
# Least seconds between two changes of the table, so that which table an
# effect shows can be told.
TABLE_PAUSE_S = 5.0
# Seconds for which a daemon cannot see that a key was taken away.
UNSEEN_S = 8.0
# Endpoints that a pool keeps, and part of the leaving ones that are of a pool
# that may not be in use.
LEAST_ENDPOINTS = 2
OTHER_POOL_SHARE = 0.3
# Part of the requests of a pool's endpoints that are not served.
WILDNESS = 0.12
BAD_VERSION = 0.7
_DELAY_S = 0.3
_STORE_MODES = [mode for mode in StoreMode if mode is not StoreMode.UP]


class Faults:
    """Draws faults and plays them.

    :param fleet: what they happen to.
    :param luck: draws them.
    :param group: runs them.
    """

    def __init__(self, *, fleet: Fleet, luck: random.Random, group: TaskGroup):
        self.played: list[str] = []
        self.overdue: list[str] = []
        self.rollout_is_bad: bool | None = None
        self.ordered_at = float('inf')
        self._fleet = fleet
        self._luck = luck
        self._group = group
        self._published_at = float('-inf')
        self._busy: set[str] = set()

    async def play(self, seconds: float) -> None:
        """Begin faults for some time, and wait until the last has ended."""
        ends_at = anyio.current_time() + seconds
        kinds: dict[str, Callable[[], Awaitable[None]]] = {
            'stop': self._stop,
            'kill': self._kill,
            'pause': self._pause,
            'reload': self._reload,
            'store': self._trouble_store,
            'forget': self._forget,
            'link': self._trouble_link,
            'table': self._change_table,
            'keys': self._change_keys,
            'revoke': self._revoke_unseen,
            'leave': self._leave,
            'rollout': self._roll_out,
        }
        names = [*kinds, 'table', 'keys', 'revoke', 'link', 'stop', 'leave']
        async with anyio.create_task_group() as group:
            while anyio.current_time() < ends_at:
                name = self._luck.choice(names)
                group.start_soon(kinds[name])
                pause_s = self._luck.uniform(LEAST_PAUSE_S, MOST_PAUSE_S)
                await anyio.sleep(pause_s)

    def _draw_length(self, most_s: float = MOST_LENGTH_S) -> float:
        return self._luck.uniform(LEAST_LENGTH_S, most_s)

    def _note(self, name: str, subject: str, length_s: float = 0) -> None:
        at = anyio.current_time()
        self.played.append(f'{at:.2f} {name} {subject} {length_s:.1f}')

    def _take_daemon(self) -> Daemon | None:
        free = [
            one
            for one in self._fleet.daemons
            if one.name not in self._busy and one.is_running
        ]
        if len(free) < len(self._fleet.daemons) // 2:
            return None
        chosen = self._luck.choice(free)
        self._busy.add(chosen.name)
        return chosen

    async def _stop(self) -> None:
        daemon = self._take_daemon()
        if daemon is None:
            return
        self._note('stop', daemon.name)
        if not await daemon.stop():
            self.overdue.append(daemon.name)
        await anyio.sleep(self._draw_length(1.0))
        await daemon.start()
        self._busy.discard(daemon.name)

    async def _kill(self) -> None:
        daemon = self._take_daemon()
        if daemon is None:
            return
        self._note('kill', daemon.name)
        with self._fleet.troubles.note(daemon.subject):
            await daemon.kill()
            await anyio.sleep(self._draw_length(2.0))
            await daemon.start()
        self._busy.discard(daemon.name)

    async def _pause(self) -> None:
        daemon = self._take_daemon()
        if daemon is None:
            return
        length_s = self._draw_length()
        self._note('pause', daemon.name, length_s)
        with self._fleet.troubles.note(daemon.subject):
            daemon.send_signal(signal.SIGSTOP)
            await anyio.sleep(length_s)
            daemon.send_signal(signal.SIGCONT)
        self._busy.discard(daemon.name)

    async def _reload(self) -> None:
        daemon = self._take_daemon()
        if daemon is None:
            return
        self._note('reload', daemon.name)
        daemon.send_signal(signal.SIGHUP)
        self._busy.discard(daemon.name)

    async def _trouble_store(self) -> None:
        if 'store' in self._busy:
            return
        self._busy.add('store')
        mode = self._luck.choice(_STORE_MODES)
        length_s = self._draw_length()
        self._note(f'store {mode.value}', 'store', length_s)
        with self._fleet.troubles.note('store'):
            self._fleet.store.mode = mode
            await anyio.sleep(length_s)
            self._fleet.store.mode = StoreMode.UP
        self._busy.discard('store')

    async def _forget(self) -> None:
        self._note('forget', 'store')
        self._fleet.store.forget_history()

    async def _trouble_link(self) -> None:
        subject, link = self._choose_link()
        if subject in self._busy:
            return
        self._busy.add(subject)
        length_s = self._draw_length()
        act = self._luck.choice(('delay', 'reset', 'mute', 'lose', 'cut'))
        self._note(act, subject, length_s)
        with self._fleet.troubles.note(subject.split(', ')[0]):
            await _play_link(link, act, length_s)
        self._busy.discard(subject)

    def _choose_link(self) -> tuple[str, Link]:
        daemon = self._luck.choice(self._fleet.daemons)
        name = self._luck.choice(list(self._fleet.links))
        return self._luck.choice(
            (
                (f'{daemon.subject}, callers', daemon.caller_link),
                (f'{daemon.subject}, store', daemon.store_link),
                (f'endpoint {name}', self._fleet.links[name]),
            )
        )

    async def _change_table(self) -> None:
        now = anyio.current_time()
        if now - self._published_at < TABLE_PAUSE_S:
            return
        self._published_at = now
        fleet = self._fleet
        current = bounds.POOLS.index(fleet.tables[-1][1])
        pool = bounds.POOLS[(current + 1) % len(bounds.POOLS)]
        self._note('table', pool)
        fleet.publish(pool)

    async def _change_keys(self) -> None:
        fleet = self._fleet
        if len(fleet.extra_keys) > 2:
            fleet.extra_keys.discard(self._luck.choice([*fleet.extra_keys]))
        else:
            fleet.extra_keys.add(f'passing-{len(fleet.tables)}')
        self._note('keys', ' '.join(sorted(fleet.extra_keys)))
        fleet.publish(fleet.tables[-1][1])

    async def _revoke_unseen(self) -> None:
        """Take a key away while a daemon cannot read the store."""
        fleet = self._fleet
        # Others of its zone may read from this one.
        reader = min(fleet.daemons, key=lambda one: one.addresses['callers'])
        daemon = self._luck.choice((reader, self._luck.choice(fleet.daemons)))
        subject = f'{daemon.subject}, store'
        if subject in self._busy or not fleet.extra_keys:
            await self._change_keys()
            return
        self._busy.add(subject)
        self._note('revoke unseen by', daemon.name, UNSEEN_S)
        with fleet.troubles.note(daemon.subject):
            daemon.store_link.cut(is_cut=True)
            fleet.extra_keys.discard(self._luck.choice([*fleet.extra_keys]))
            fleet.publish(fleet.tables[-1][1])
            await anyio.sleep(UNSEEN_S)
            daemon.store_link.cut(is_cut=False)
        self._busy.discard(subject)

    async def _leave(self) -> None:
        fleet = self._fleet
        pool = fleet.tables[-1][1]
        if self._luck.random() < OTHER_POOL_SHARE:
            pool = self._luck.choice(bounds.POOLS)
        names = [
            name
            for name, one in fleet.endpoints.items()
            if one.service == pool and name not in fleet.left_at
        ]
        if len(names) < LEAST_ENDPOINTS:
            return
        name = self._luck.choice(names)
        is_told = self._luck.random() < 0.6
        self._note('leave', name)
        # The address serves on for another one, as soon as this one is gone.
        fleet.leave(name, is_told=is_told)
        leaving = fleet.endpoints[name]
        await anyio.sleep(bounds.DRAIN_S + self._draw_length())
        fleet.store.put('keyed.servers', name, None)
        heir = await fleet.add_endpoint(
            self._group, pool, wildness=leaving.wildness
        )
        leaving.name = f'{heir.name}-in-place-of-{name}'

    async def _roll_out(self) -> None:
        if self.rollout_is_bad is not None:
            return
        self.rollout_is_bad = self._luck.random() < 0.7
        wildness = BAD_VERSION if self.rollout_is_bad else 0
        for _ in range(2):
            await self._fleet.add_endpoint(
                self._group, bounds.DESK, version='v2', wildness=wildness
            )
        self._note('rollout', 'bad' if self.rollout_is_bad else 'good')
        self.ordered_at = anyio.current_time()
        self._fleet.store.put(
            'keyed.op',
            f'rollout/{bounds.DESK}',
            {
                'service': bounds.DESK,
                'target': 'v2',
                'duration_s': bounds.ROLLOUT_S,
            },
        )


async def _play_link(link: Link, act: str, length_s: float) -> None:
    if act == 'delay':
        link.delay_s = _DELAY_S
        await anyio.sleep(length_s)
        link.delay_s = 0
    elif act == 'mute':
        link.is_mute = True
        await anyio.sleep(length_s)
        link.is_mute = False
    elif act == 'reset':
        link.reset()
    elif act == 'lose':
        link.lose_connections()
        await anyio.sleep(length_s)
    else:
        link.cut(is_cut=True)
        await anyio.sleep(length_s)
        link.cut(is_cut=False)
