"""Changes of the routing table and of keys, single and in series."""

import random

import anyio

from soak import bounds
from soak.fault_journal import FaultJournal
from soak.fleet import Fleet
from soak.tables import PoolShare

# Minimum seconds between two single changes of the pool, so that a request can
# be attributed to one table.
MIN_TABLE_INTERVAL_S = 5.0
# Seconds for which a daemon cannot read a key revocation from the store.
UNSEEN_REVOCATION_S = 8.0
# Changes of a series, and seconds between them.
MIN_SERIES_CHANGES = 6
MAX_SERIES_CHANGES = 12
MIN_CHANGE_PAUSE_S = 0.1
MAX_CHANGE_PAUSE_S = 0.5
# Most seconds that a series adds to the time-out of routes.
MAX_EXTRA_TIMEOUT_S = 2.0
# Numbers of unused keys in the tables of a series.  Large tables take a daemon
# noticeable time to decode.
FILLER_KEYS = (0, 0, 20_000)
_SERIES = 'series'
_MAX_EXTRA_KEYS = 2


class TableChanges:
    """Publishes routing tables.

    :param fleet: fleet to disturb.
    :param journal: records the changes.
    """

    def __init__(self, *, fleet: Fleet, journal: FaultJournal):
        self._fleet = fleet
        self._journal = journal
        self._table_changed_at = float('-inf')

    async def change_pool(self, _: random.Random) -> None:
        """Publish a table with the next pool."""
        now = anyio.current_time()
        if now - self._table_changed_at < MIN_TABLE_INTERVAL_S:
            return
        self._table_changed_at = now
        pool = self._find_next_pool()
        self._journal.record('table', pool)
        self._fleet.publish(PoolShare(pool))

    async def change_keys(self, rng: random.Random) -> None:
        """Publish a table with a key more or less."""
        fleet = self._fleet
        self._change_extra_keys(rng)
        self._journal.record('keys', ' '.join(sorted(fleet.extra_keys)))
        fleet.publish(*fleet.tables[-1].shares)

    async def revoke_unseen(self, rng: random.Random) -> None:
        """Revoke a key while a daemon cannot read the store."""
        fleet = self._fleet
        busy_subjects = self._journal.busy_subjects
        # Other daemons of its zone may read from this daemon.
        reader = min(
            fleet.daemons, key=lambda candidate: candidate.addresses['callers']
        )
        daemon = rng.choice((reader, rng.choice(fleet.daemons)))
        subject = f'{daemon.subject}, store'
        if subject in busy_subjects or not fleet.extra_keys:
            await self.change_keys(rng)
            return
        busy_subjects.add(subject)
        self._journal.record(
            'revoke unseen by', daemon.name, UNSEEN_REVOCATION_S
        )
        with fleet.fault_windows.record(daemon.subject):
            daemon.store_link.set_blocked(is_blocked=True)
            fleet.extra_keys.discard(rng.choice(sorted(fleet.extra_keys)))
            fleet.publish(*fleet.tables[-1].shares)
            await anyio.sleep(UNSEEN_REVOCATION_S)
            daemon.store_link.set_blocked(is_blocked=False)
        busy_subjects.discard(subject)

    async def change_in_series(self, rng: random.Random) -> None:
        """Publish tables in quick succession.

        Each changes the pool, splits requests between two pools, changes the
        time-out of routes, or adds or removes a key.
        """
        busy_subjects = self._journal.busy_subjects
        if _SERIES in busy_subjects:
            return
        busy_subjects.add(_SERIES)
        count = rng.randint(MIN_SERIES_CHANGES, MAX_SERIES_CHANGES)
        filler_keys = rng.choice(FILLER_KEYS)
        self._journal.record(f'{count} tables', f'{filler_keys} unused keys')
        for _ in range(count):
            self._publish_any(rng, filler_keys)
            await anyio.sleep(
                rng.uniform(MIN_CHANGE_PAUSE_S, MAX_CHANGE_PAUSE_S)
            )
        busy_subjects.discard(_SERIES)

    def _publish_any(self, rng: random.Random, filler_keys: int) -> None:
        fleet = self._fleet
        change = rng.choice(('pool', 'split', 'timeout', 'keys'))
        shares = fleet.tables[-1].shares
        timeout_s = bounds.TIMEOUT_S
        if change == 'pool':
            shares = [PoolShare(self._find_next_pool())]
        elif change == 'split':
            shares = [
                PoolShare(pool, rng.uniform(1, 10))
                for pool in rng.sample(bounds.POOLS, 2)
            ]
        elif change == 'timeout':
            # The deadlines of callers, which are no longer than the shortest
            # time-out, stay in force.
            timeout_s += rng.uniform(0, MAX_EXTRA_TIMEOUT_S)
        else:
            self._change_extra_keys(rng)
        fleet.publish(*shares, timeout_s=timeout_s, filler_keys=filler_keys)

    def _find_next_pool(self) -> str:
        current = bounds.POOLS.index(self._fleet.tables[-1].shares[0].pool)
        return bounds.POOLS[(current + 1) % len(bounds.POOLS)]

    def _change_extra_keys(self, rng: random.Random) -> None:
        extra_keys = self._fleet.extra_keys
        if len(extra_keys) > _MAX_EXTRA_KEYS:
            extra_keys.discard(rng.choice(sorted(extra_keys)))
        else:
            extra_keys.add(f'passing-{len(self._fleet.tables)}')
