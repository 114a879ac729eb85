"""Zones that are evacuated, and endpoints that are cold."""

import random

import anyio
from attrs import frozen

from soak import bounds
from soak.fault_journal import FaultJournal
from soak.fleet import Fleet
from standins.relayed_endpoint import CRASH_S, RelayedEndpoint

# Seconds for which a zone is evacuated: it is checked beyond the bound.
MIN_EVACUATION_S = bounds.EVACUATE_S + 1
MAX_EVACUATION_S = bounds.EVACUATE_S + 4
# Longest time, in seconds, until an endpoint that is back writes its entry.
MAX_ENTRY_DELAY_S = 1.5


@frozen(kw_only=True)
class Evacuation:
    """The time in which a zone is evacuated.

    :ivar written_at: moment at which the record was acknowledged.
    :ivar removed_at: moment at which it was removed.
    """

    zone: str
    written_at: float
    removed_at: float


@frozen(kw_only=True)
class ColdSpan:
    """The time in which an endpoint has to be treated as cold.

    :ivar is_stated: whether only its entry tells so, as it did not crash.
    """

    endpoint: str
    since: float
    until: float
    is_stated: bool


class ZoneFaults:
    """Evacuates zones, and lets endpoints be cold.

    :param fleet: fleet to disturb.
    :param journal: records the faults.
    :ivar evacuations: the evacuations that have ended.
    :ivar cold_spans: the times in which endpoints were cold.
    """

    def __init__(self, *, fleet: Fleet, journal: FaultJournal):
        self.evacuations: list[Evacuation] = []
        self.cold_spans: list[ColdSpan] = []
        self._fleet = fleet
        self._journal = journal

    async def evacuate(self, rng: random.Random) -> None:
        """Evacuate a zone for some seconds, one at a time."""
        busy_subjects = self._journal.busy_subjects
        if 'zone' in busy_subjects:
            return
        busy_subjects.add('zone')
        fleet = self._fleet
        zone = rng.choice(sorted(set(fleet.endpoint_zones)))
        duration_s = rng.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S)
        self._journal.record('evacuate', zone, duration_s)
        fleet.write('keyed.op', f'evacuate/{zone}', {})
        written_at = anyio.current_time()
        await anyio.sleep(duration_s)
        self.evacuations.append(
            Evacuation(
                zone=zone,
                written_at=written_at,
                removed_at=anyio.current_time(),
            )
        )
        fleet.write('keyed.op', f'evacuate/{zone}', None)
        busy_subjects.discard('zone')

    async def return_cold(self, rng: random.Random) -> None:
        """Let an endpoint crash and return cold; its entry comes later."""
        endpoint = self._reserve_endpoint(rng)
        if endpoint is None:
            return
        self._journal.record('return cold', endpoint.name, CRASH_S)
        await endpoint.crash()
        await anyio.sleep(CRASH_S)
        ends_at = self._record_span(endpoint, bounds.COLD_START_S)
        self._fleet.born[endpoint.name] = (
            self._fleet.born.get(endpoint.name, 1) + 1
        )
        await anyio.sleep(rng.uniform(0, MAX_ENTRY_DELAY_S))
        await self._state_cold(endpoint, ends_at)

    async def turn_cold(self, rng: random.Random) -> None:
        """Let an endpoint that goes on state that it is cold again."""
        endpoint = self._reserve_endpoint(rng)
        if endpoint is None:
            return
        self._journal.record('turn cold', endpoint.name, bounds.COLD_START_S)
        # Daemons have DRAIN_S to read the entry.
        ends_at = self._record_span(
            endpoint, bounds.COLD_START_S, heeded_after_s=bounds.DRAIN_S
        )
        await self._state_cold(endpoint, ends_at)

    def _reserve_endpoint(self, rng: random.Random) -> RelayedEndpoint | None:
        fleet = self._fleet
        busy_subjects = self._journal.busy_subjects
        # Endpoints without requests could not exceed a bound.
        services = {bounds.ROLLOUT_SERVICE, *fleet.tables[-1].pools}
        free = [
            name
            for name, endpoint in fleet.endpoints.items()
            if endpoint.service in services
            and name not in fleet.withdrawn_at
            and f'cold {name}' not in busy_subjects
        ]
        if not free:
            return None
        name = rng.choice(free)
        busy_subjects.add(f'cold {name}')
        return fleet.endpoints[name]

    def _record_span(
        self,
        endpoint: RelayedEndpoint,
        duration_s: float,
        heeded_after_s: float = 0,
    ) -> float:
        """Record a span, and return its end."""
        since = anyio.current_time() + heeded_after_s
        span = ColdSpan(
            endpoint=endpoint.name,
            since=since,
            until=since + duration_s,
            is_stated=heeded_after_s > 0,
        )
        self.cold_spans.append(span)
        return span.until

    async def _state_cold(
        self, endpoint: RelayedEndpoint, ends_at: float
    ) -> None:
        """Write the cold time that is left, and its end."""
        name = endpoint.name
        for cold_s in (ends_at - anyio.current_time(), 0):
            if name not in self._fleet.withdrawn_at:
                address = self._fleet.links[name].address
                self._fleet.register(endpoint, address, cold_s=cold_s)
            await anyio.sleep(cold_s)
        self._journal.busy_subjects.discard(f'cold {name}')
