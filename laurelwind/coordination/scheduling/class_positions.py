"""Positions of endpoints in their zones, which set their class."""

from collections.abc import Collection, Sequence
from typing import Final

from laurelwind.coordination.load.step_classes import (
    Shares,
    StepClass,
    find_class,
)
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.routes import hash_fraction

# Interval at which positions are derived again: endpoints join and leave.
REFRESH_S: Final = 1.0


class ClassPositions:
    """Positions by name, the same in daemons that know the same endpoints.

    An endpoint without a position yet is placed by the hash of its name.
    """

    def __init__(self) -> None:
        self._positions: dict[str, dict[str, float]] = {}
        self._refreshed_at: dict[str, float] = {}

    def refresh(
        self, service: str, endpoints: Sequence[EndpointRecord], now: float
    ) -> bool:
        """Derive the positions of a service's endpoints, once in a while.

        :param service: name of the service.
        :param endpoints: all its endpoints.
        :param now: the current moment.
        :returns: whether they were derived.
        """
        refreshed_at = self._refreshed_at.get(service)
        if refreshed_at is not None and now - refreshed_at < REFRESH_S:
            return False
        self._refreshed_at[service] = now
        zones: dict[str, list[str]] = {}
        for endpoint in endpoints:
            zones.setdefault(endpoint.zone, []).append(endpoint.name)
        self._positions[service] = {
            name: (index + 0.5) / len(names)
            for names in zones.values()
            for index, name in enumerate(sorted(names))
        }
        return True

    def get_class(
        self, endpoint: EndpointRecord, shares: Shares
    ) -> StepClass | None:
        """Return the class of an endpoint, or ``None`` without shares.

        :param endpoint: the endpoint.
        :param shares: shares of the classes in force.
        """
        if not shares:
            return None
        position = self._positions.get(endpoint.service, {}).get(endpoint.name)
        if position is None:
            position = hash_fraction(endpoint.name)
        return find_class(position, shares)

    def retain(self, services: Collection[str]) -> None:
        """Discard the positions of other services.

        :param services: names of the services that remain.
        """
        for service in tuple(self._refreshed_at):
            if service not in services:
                self._positions.pop(service, None)
                self._refreshed_at.pop(service)
