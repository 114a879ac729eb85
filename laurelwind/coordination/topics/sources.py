"""Sources: the daemons of a zone that read the store for the others."""

import math
import random
from collections.abc import Callable, Sequence
from typing import Final

from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.load import read_monotonic_clock

# Smallest number of daemons in a zone for which peers are read. In smaller
# zones the saved reads do not outweigh the extra hop that delays each change.
MIN_ZONE_SIZE: Final = 6
# Daemons that read from one source, which then serves about 50 small answers
# per second.
READERS_PER_SOURCE: Final = 30
# Sources that a daemon asks before it reads the store itself.
MAX_SOURCES: Final = 3


def list_sources(
    local_instance: ListedInstance, members: Sequence[ListedInstance]
) -> Sequence[ListedInstance]:
    """Return the daemons to read from, in order of preference.

    The sources of the own zone come first, then those of other zones, so that
    a zone whose sources cannot reach the store still gets every change.

    :param local_instance: the daemon that reads.
    :param members: all daemons, in the same order on every daemon.
    :returns: sources; empty if the daemon must read the store, because its
        zone is too small or the members do not include it.  A source comes
        first in its own list.
    """
    if local_instance not in members:
        return ()
    sources = _list_zone_sources(members, local_instance.zone)
    if not sources:
        return ()
    if local_instance in sources:
        position = sources.index(local_instance)
    else:
        zone_members = _list_zone_members(members, local_instance.zone)
        position = zone_members.index(local_instance)
    other_sources = [
        source
        for zone in sorted({member.zone for member in members})
        if zone != local_instance.zone
        for source in _list_zone_sources(members, zone)
    ]
    return (
        *_rotate(sources, position)[: MAX_SOURCES - 1],
        *_rotate(other_sources, members.index(local_instance)),
    )[:MAX_SOURCES]


def _list_zone_members(
    members: Sequence[ListedInstance], zone: str
) -> Sequence[ListedInstance]:
    return [member for member in members if member.zone == zone]


def _list_zone_sources(
    members: Sequence[ListedInstance], zone: str
) -> Sequence[ListedInstance]:
    zone_members = _list_zone_members(members, zone)
    if len(zone_members) < MIN_ZONE_SIZE:
        return ()
    return zone_members[
        : math.ceil(len(zone_members) / (READERS_PER_SOURCE + 1))
    ]


def _rotate(
    instances: Sequence[ListedInstance], position: int
) -> Sequence[ListedInstance]:
    if not instances:
        return ()
    start = position % len(instances)
    return (*instances[start:], *instances[:start])


class StoreProbes:
    """Limits the calls of one daemon to a store that fails.

    :param clock: returns the current time in seconds.
    """

    def __init__(
        self, *, clock: Callable[[], float] = read_monotonic_clock
    ) -> None:
        self._clock = clock
        self._next_at: float | None = None

    @property
    def is_healthy(self) -> bool:
        """Whether the last call succeeded and none was deferred."""
        return self._next_at is None

    @property
    def is_due(self) -> bool:
        """Whether the store may be called."""
        return self._next_at is None or self._clock() >= self._next_at

    def record_failure(self, period_s: float) -> None:
        """Record a failed call.

        :param period_s: seconds until the next call.
        """
        self._next_at = self._clock() + period_s

    def defer(self, max_delay_s: float) -> None:
        """Delay the next call by a random time, unless one is scheduled.

        :param max_delay_s: longest delay in seconds.
        """
        if self._next_at is None:
            self._next_at = self._clock() + random.uniform(0, max_delay_s)

    def record_success(self) -> None:
        """Record that the store answered."""
        self._next_at = None
