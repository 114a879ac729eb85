"""Fault injection, sequential and overlapping, determined by a seed."""

import random
from collections.abc import Awaitable, Callable, Mapping

import anyio
from anyio.abc import TaskGroup

from soak.daemon_faults import DaemonFaults
from soak.endpoint_faults import EndpointFaults
from soak.environment_faults import EnvironmentFaults
from soak.fault_journal import FaultJournal
from soak.fleet import Fleet
from soak.misuse import MisuseFaults
from soak.scenarios import Scenario
from soak.table_changes import TableChanges
from soak.zone_faults import ZoneFaults

# Seconds between the starts of two faults.
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 1.4

Inject = Callable[[random.Random], Awaitable[None]]


class FaultInjector:
    """Injects random faults into a fleet.

    :param fleet: fleet to disturb.
    :param scenario: faults to choose from.
    :param rng: random generator that chooses the faults.
    :param group: task group for endpoints that are added.
    :ivar daemons: faults of daemons.
    :ivar endpoints: faults of endpoints.
    :ivar zones: evacuated zones and cold endpoints.
    :ivar ended_daemons: daemons whose process ended by itself.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        scenario: Scenario,
        rng: random.Random,
        group: TaskGroup,
    ):
        self._journal = FaultJournal(fleet=fleet)
        self.daemons = DaemonFaults(fleet=fleet, journal=self._journal)
        self.endpoints = EndpointFaults(
            fleet=fleet, journal=self._journal, group=group
        )
        self.zones = ZoneFaults(fleet=fleet, journal=self._journal)
        self.ended_daemons: list[str] = []
        self._environment = EnvironmentFaults(
            fleet=fleet, journal=self._journal
        )
        self._misuse = MisuseFaults(fleet=fleet, journal=self._journal)
        self._tables = TableChanges(fleet=fleet, journal=self._journal)
        self._fleet = fleet
        self._scenario = scenario
        self._rng = rng

    @property
    def history(self) -> list[str]:
        """Injected faults, one line each."""
        return self._journal.history

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, and wait until the last has ended."""
        ends_at = anyio.current_time() + seconds
        injectors = self._build_injectors()
        async with anyio.create_task_group() as group:
            while anyio.current_time() < ends_at:
                name = self._rng.choice(self._scenario.fault_names)
                # A generator of its own: overlapping faults would draw from a
                # shared one in the order in which processes are scheduled.
                rng = random.Random(self._rng.random())
                group.start_soon(injectors[name], rng)
                pause_s = self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
                await anyio.sleep(pause_s)
        # Every daemon that was stopped has been started again.
        self.ended_daemons.extend(
            daemon.name
            for daemon in self._fleet.daemons
            if not daemon.is_running
        )

    def _build_injectors(self) -> Mapping[str, Inject]:
        return {
            'stop': self.daemons.stop,
            'kill': self.daemons.kill,
            'pause': self.daemons.pause,
            'reload': self.daemons.reload,
            'store': self._environment.disturb_store,
            'restore': self._environment.restore_store,
            'turn away': self._environment.turn_away_daemons,
            'forget': self._environment.compact_store,
            'link': self._environment.disturb_link,
            'table': self._tables.change_pool,
            'keys': self._tables.change_keys,
            'revoke': self._tables.revoke_unseen,
            'leave': self.endpoints.withdraw,
            'announce': self.endpoints.announce_leaving,
            'pauses': self.endpoints.ask_for_pause,
            'limits': self.endpoints.limit_rate,
            'rollout': self.endpoints.roll_out,
            'silence': self.endpoints.silence,
            'poison': self.endpoints.poison,
            'repeat': self.endpoints.repeat_deadly_request,
            'misuse': self._misuse.misuse,
            'evacuate': self.zones.evacuate,
            'return cold': self.zones.return_cold,
            'turn cold': self.zones.turn_cold,
            'tables': self._tables.change_in_series,
            'reloads': self.daemons.reload_in_series,
            'stops': self.daemons.stop_in_series,
        }
