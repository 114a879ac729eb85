"""Sources: the daemons of a zone that read the store for the others.

All daemons order the members of a zone alike, by name.  The first ones read the
store.  Each other daemon reads from those before it, so that the next in order
takes over where the first ones fall behind, without any agreement.
"""

import itertools
import math
from collections.abc import Callable, Sequence
from typing import Final

from attrs import frozen

from laurelwind.protocol.platform import ListedInstance

# Smallest number of daemons in a zone for which peers are read. In smaller
# zones the saved reads do not outweigh the extra hop that delays each change.
MIN_ZONE_SIZE: Final = 6
# Daemons that read from one source, which then serves about 50 small answers
# per second.
READERS_PER_SOURCE: Final = 30


@frozen(kw_only=True)
class ZoneOrder:
    """Place of a daemon in the order of its zone.

    :ivar source_count: number of daemons of the zone that read the store; 0 if
        all of them do.
    :ivar position: number of daemons of the zone before this one.
    :ivar size: number of daemons of the zone.
    :ivar predecessors: those daemons, in order.
    :ivar others: all daemons that may be asked if the store fails this one, in
        order of preference.
    """

    source_count: int = 0
    position: int = 0
    size: int = 1
    predecessors: Sequence[ListedInstance] = ()
    others: Sequence[ListedInstance] = ()

    @property
    def reads_directly(self) -> bool:
        """Whether all daemons of the zone read the store."""
        return not self.source_count

    @property
    def is_source(self) -> bool:
        """Whether this daemon reads the store for others while all is well."""
        return self.position < self.source_count

    @property
    def relative_position(self) -> float:
        """Position as a share of the zone, from 0 to 1."""
        return self.position / self.size

    def list_sources(
        self, is_available: Callable[[ListedInstance], bool]
    ) -> Sequence[ListedInstance]:
        """List the daemons to read from, in order of preference.

        It is empty if this daemon is to read the store itself.

        :param is_available: returns whether a daemon may be asked.
        """
        available = list(filter(is_available, self.predecessors))
        if self.reads_directly or len(available) < self.source_count:
            return ()
        return (
            *_rotate(available[: self.source_count], self.position),
            *available[self.source_count :],
        )


def build_zone_order(
    local_instance: ListedInstance, members: Sequence[ListedInstance]
) -> ZoneOrder:
    """Build the place of a daemon in the order of its zone.

    :param local_instance: the daemon.
    :param members: all daemons, in the same order on every daemon.
    """
    if local_instance not in members:
        return ZoneOrder()
    zones = _group_by_zone(members)
    zone_members = zones.pop(local_instance.zone)
    position = zone_members.index(local_instance)
    source_count = _count_sources(len(zone_members))
    others = zone_members[:position] + zone_members[position + 1 :]
    first_of_zones = [
        first
        for zone in sorted(zones)
        for first in zones[zone][: max(_count_sources(len(zones[zone])), 1)]
    ]
    return ZoneOrder(
        source_count=source_count,
        position=position,
        size=len(zone_members),
        predecessors=zone_members[:position],
        others=_interleave(
            (*_rotate(others[:source_count], position), *others[source_count:]),
            _rotate(first_of_zones, members.index(local_instance)),
        ),
    )


def _group_by_zone(
    members: Sequence[ListedInstance],
) -> dict[str, list[ListedInstance]]:
    zones: dict[str, list[ListedInstance]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    return zones


def _count_sources(zone_size: int) -> int:
    if zone_size < MIN_ZONE_SIZE:
        return 0
    return math.ceil(zone_size / (READERS_PER_SOURCE + 1))


def _interleave(
    first: Sequence[ListedInstance], second: Sequence[ListedInstance]
) -> Sequence[ListedInstance]:
    return [
        member
        for pair in itertools.zip_longest(first, second)
        for member in pair
        if member is not None
    ]


def _rotate(
    instances: Sequence[ListedInstance], position: int
) -> Sequence[ListedInstance]:
    if not instances:
        return ()
    start = position % len(instances)
    return (*instances[start:], *instances[:start])
