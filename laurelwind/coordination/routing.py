"""Selects an endpoint for each attempt."""

import contextlib
import random
from collections.abc import Iterator, Sequence
from typing import Final

from attrs import frozen

from laurelwind.errors import CapacityError, ErrorKind
from laurelwind.state.document import Document, Endpoint, Pool
from laurelwind.state.load import EndpointLoad, LoadTable, read_monotonic_clock
from laurelwind.state.rendezvous import compute_rendezvous_hash

_SAMPLE_SIZE: Final = 2
_AFFINITY_LOAD_FACTOR: Final = 1.25
_AFFINITY_MIN_BOUND: Final = 2
_REMOTE_ZONE_PENALTY: Final = 1.5


@frozen(kw_only=True)
class EndpointRequirements:
    """Constraints on the endpoint of an attempt.

    :ivar pool: name of the pool.
    :ivar affinity_key: requests with the same key prefer the same endpoint;
        an empty string means no affinity.
    :ivar failed_addresses: addresses that failed this request; used only if
        no other endpoint has a free slot.
    :ivar silent_addresses: addresses that this request left because of their
        silence; used only before those that failed.
    :ivar excluded_addresses: addresses that must not be used.
    """

    pool: str
    affinity_key: str = ''
    failed_addresses: frozenset[str] = frozenset()
    silent_addresses: frozenset[str] = frozenset()
    excluded_addresses: frozenset[str] = frozenset()


@frozen(kw_only=True)
class Slot:
    """One unit of endpoint concurrency, reserved while an attempt runs.

    :ivar name: name of the endpoint.
    :ivar endpoint: the endpoint.
    :ivar load: its load and circuit breaker state.
    """

    name: str
    endpoint: Endpoint
    load: EndpointLoad


class Router:
    """Assigns attempts to endpoints.

    :param zone: availability zone of this daemon.
    :param loads: load and circuit breaker state of the endpoints.
    :param seed: makes the random choices reproducible.
    """

    def __init__(
        self,
        *,
        zone: str,
        loads: LoadTable,
        seed: int | None = None,
    ) -> None:
        self._zone = zone
        self._loads = loads
        self._random = random.Random(seed)

    @contextlib.contextmanager
    def reserve(
        self, document: Document, requirements: EndpointRequirements
    ) -> Iterator[Slot]:
        """Reserve a slot at the best available endpoint.

        :param document: the current configuration.
        :param requirements: constraints on the endpoint.
        :raises CapacityError: when no endpoint is available or has a free
            slot.
        """
        pool = document.pools[requirements.pool]
        slot = self._choose_slot(pool, requirements)
        slot.load.begin()
        try:
            yield slot
        finally:
            slot.load.end()

    def discard_removed_endpoints(self, document: Document) -> None:
        """Discard the state of endpoints that are no longer configured.

        :param document: the current configuration.
        """
        self._loads.retain(
            frozenset(
                endpoint.address
                for pool in document.pools.values()
                for endpoint in pool.endpoints.values()
            ),
        )

    def _choose_slot(
        self, pool: Pool, requirements: EndpointRequirements
    ) -> Slot:
        slots = self._list_slots(pool)
        if not slots:
            raise CapacityError(
                ErrorKind.NO_ENDPOINT,
                f'no endpoint of pool {requirements.pool} is available',
            )
        free = [slot for slot in slots if slot.load.in_flight < pool.in_flight]
        if not free:
            raise CapacityError(
                ErrorKind.OVERLOADED,
                f'all endpoints of pool {requirements.pool} are at capacity',
            )
        candidates = _prefer_untried(free, requirements)
        if not candidates:
            raise CapacityError(
                ErrorKind.NO_ENDPOINT,
                f'no other endpoint of pool {requirements.pool} is available',
            )
        return self._pick_slot(candidates, requirements)

    def _list_slots(self, pool: Pool) -> list[Slot]:
        now = read_monotonic_clock()
        return [
            Slot(name=name, endpoint=endpoint, load=load)
            for name, endpoint in pool.endpoints.items()
            if not endpoint.leaving
            and not (load := self._loads.get(endpoint.address)).is_open(now)
        ]

    def _pick_slot(
        self, slots: Sequence[Slot], requirements: EndpointRequirements
    ) -> Slot:
        if requirements.affinity_key:
            return self._pick_by_affinity(slots, requirements.affinity_key)
        local = [slot for slot in slots if slot.endpoint.zone == self._zone]
        sample = self._sample(local or slots)
        if local and len(local) < len(slots):
            sample.extend(self._sample(slots))
        return min(sample, key=self._estimate_weighted_load)

    def _pick_by_affinity(
        self,
        slots: Sequence[Slot],
        affinity_key: str,
    ) -> Slot:
        now = read_monotonic_clock()
        total_in_flight = sum(slot.load.estimate(now) for slot in slots)
        max_in_flight = max(
            _AFFINITY_MIN_BOUND,
            (total_in_flight + 1) / len(slots) * _AFFINITY_LOAD_FACTOR,
        )
        ranked = sorted(
            slots,
            key=lambda slot: compute_rendezvous_hash(affinity_key, slot.name),
            reverse=True,
        )
        for slot in ranked:
            if slot.load.estimate(now) < max_in_flight:
                return slot
        return ranked[0]

    def _sample(self, slots: Sequence[Slot]) -> list[Slot]:
        return self._random.sample(slots, min(_SAMPLE_SIZE, len(slots)))

    def _estimate_weighted_load(self, slot: Slot) -> float:
        weighted_load = slot.load.estimate(read_monotonic_clock()) + 1
        if slot.endpoint.zone == self._zone:
            return weighted_load
        return weighted_load * _REMOTE_ZONE_PENALTY


def _prefer_untried(
    free: Sequence[Slot], requirements: EndpointRequirements
) -> Sequence[Slot]:
    allowed = [
        slot
        for slot in free
        if slot.endpoint.address not in requirements.excluded_addresses
    ]
    not_failed = [
        slot
        for slot in allowed
        if slot.endpoint.address not in requirements.failed_addresses
    ]
    untried = [
        slot
        for slot in not_failed
        if slot.endpoint.address not in requirements.silent_addresses
    ]
    return untried or not_failed or allowed
