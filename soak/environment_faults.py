"""Faults of the store and of links."""

import random

import anyio

from soak import bounds
from soak.daemons import Daemon
from soak.durations import choose_duration
from soak.fault_journal import FaultJournal
from soak.fleet import Fleet
from standins.link import Link
from standins.store import StoreMode

_LINK_DELAY_S = 0.3
# Age of the copy that the store comes back from, and seconds until it is back.
# Lost records are written again within the bound for revoked keys.
_MIN_COPY_AGE_S = 0.5
_MAX_COPY_AGE_S = 6.0
_MAX_AWAY_S = 2.0
# Seconds for which the store turns away some daemons: longer than a table may
# take to apply, and up to well beyond the lease of those that are turned away.
_MIN_TURNED_AWAY_S = bounds.APPLY_S * 1.5
_MAX_TURNED_AWAY_S = bounds.REVOCATION_S * 2
# Most first daemons of each zone that are turned away, and share of others.
_MAX_FIRST_DAEMONS = 2
_OTHER_DAEMONS_SHARE = 0.2
_TURN_AWAY_MODES = (StoreMode.DOWN, StoreMode.SILENT)
_STORE_MODES = [mode for mode in StoreMode if mode is not StoreMode.UP]


class EnvironmentFaults:
    """Disturbs the store and links to callers, store and endpoints.

    :param fleet: fleet to disturb.
    :param journal: records the faults.
    """

    def __init__(self, *, fleet: Fleet, journal: FaultJournal):
        self._fleet = fleet
        self._journal = journal

    async def disturb_store(self, rng: random.Random) -> None:
        """Let the store fail in one way for some seconds."""
        busy_subjects = self._journal.busy_subjects
        if 'store' in busy_subjects:
            return
        busy_subjects.add('store')
        mode = rng.choice(_STORE_MODES)
        duration_s = choose_duration(rng)
        self._journal.record(f'store {mode.value}', 'store', duration_s)
        with self._fleet.fault_windows.record('store'):
            self._fleet.store.mode = mode
            await anyio.sleep(duration_s)
            self._fleet.store.mode = StoreMode.UP
        busy_subjects.discard('store')

    async def turn_away_daemons(self, rng: random.Random) -> None:
        """Let the store refuse or ignore some daemons, and serve the others.

        Guarantees of the others are checked all the while.
        """
        fleet = self._fleet
        busy_subjects = self._journal.busy_subjects
        daemons = self._choose_turned_away(rng)
        mode = rng.choice(_TURN_AWAY_MODES)
        duration_s = rng.uniform(_MIN_TURNED_AWAY_S, _MAX_TURNED_AWAY_S)
        if 'turned away' in busy_subjects:
            return
        busy_subjects.add('turned away')
        names = ' '.join(daemon.name for daemon in daemons)
        self._journal.record(f'store {mode.value} for', names, duration_s)
        modes = {daemon.store_link.address: mode for daemon in daemons}
        subjects = [daemon.store_subject for daemon in daemons]
        with fleet.fault_windows.record(*subjects):
            fleet.store.address_modes.update(modes)
            await anyio.sleep(duration_s)
            fleet.store.address_modes.clear()
        busy_subjects.discard('turned away')

    def _choose_turned_away(self, rng: random.Random) -> list[Daemon]:
        """Choose the first daemons of some zones, and some of the others.

        The first ones read the store for others.  Daemons name themselves by
        their addresses.
        """
        daemons = sorted(
            self._fleet.daemons, key=lambda daemon: daemon.addresses['callers']
        )
        zones = sorted({daemon.zone for daemon in daemons})
        chosen: list[Daemon] = []
        for zone in rng.sample(zones, rng.randint(1, len(zones))):
            members = [daemon for daemon in daemons if daemon.zone == zone]
            chosen.extend(members[: rng.randint(1, _MAX_FIRST_DAEMONS)])
        others = [daemon for daemon in daemons if daemon not in chosen]
        count = rng.randint(0, round(len(others) * _OTHER_DAEMONS_SHARE))
        return [*chosen, *rng.sample(others, count)]

    async def restore_store(self, rng: random.Random) -> None:
        """Let the store come back from an older copy after some seconds.

        What its operator and the endpoints wrote is then written again.
        """
        busy_subjects = self._journal.busy_subjects
        if 'store' in busy_subjects:
            return
        busy_subjects.add('store')
        age_s = rng.uniform(_MIN_COPY_AGE_S, _MAX_COPY_AGE_S)
        away_s = choose_duration(rng, _MAX_AWAY_S)
        self._journal.record(f'restore to {age_s:.1f} s ago', 'store', away_s)
        fleet = self._fleet
        with fleet.fault_windows.record('store'):
            fleet.store.mode = StoreMode.DOWN
            fleet.store.rewind(age_s)
            await anyio.sleep(away_s)
            fleet.store.mode = StoreMode.UP
            fleet.write_lost_records()
        busy_subjects.discard('store')

    async def compact_store(self, _: random.Random) -> None:
        """Let the store forget its history."""
        self._journal.record('forget', 'store')
        self._fleet.store.compact()

    async def disturb_link(self, rng: random.Random) -> None:
        """Let a link fail in one way for some seconds."""
        busy_subjects = self._journal.busy_subjects
        subject, link = self._choose_link(rng)
        if subject in busy_subjects:
            return
        busy_subjects.add(subject)
        duration_s = choose_duration(rng)
        fault = rng.choice(('delay', 'reset', 'mute', 'lose', 'cut'))
        self._journal.record(fault, subject, duration_s)
        with self._fleet.fault_windows.record(subject.split(', ')[0]):
            await _apply_link_fault(link, fault, duration_s)
        busy_subjects.discard(subject)

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
