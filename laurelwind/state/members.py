"""Membership of the fleet; views of a member merge in any order."""

import enum
from collections.abc import Iterator, Mapping, Sequence

from attrs import define, evolve, field, frozen

from laurelwind.state.rendezvous import compute_rendezvous_hash


class Liveness(enum.IntEnum):
    """Liveness of a member; the higher value wins within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@frozen(kw_only=True)
class Member:
    """One daemon, as seen by its peers.

    :ivar name: name of the daemon, unique in the fleet.
    :ivar zone: its availability zone.
    :ivar region: its region.
    :ivar caller_address: ``host:port`` for callers.
    :ivar peer_address: ``host:port`` for peers.
    :ivar incarnation: raised only by the member itself, to refute a suspicion
        or to leave.
    :ivar liveness: state detected by its peers.
    :ivar is_leaving: whether it has begun to stop.
    :ivar beat: heartbeat counter, raised by the member with each change of its
        load.
    :ivar load: requests in flight at the member.
    :ivar configuration: offset of the configuration in force at the member.
    """

    name: str
    zone: str
    caller_address: str
    peer_address: str
    region: str = ''
    incarnation: int = 0
    liveness: Liveness = Liveness.ALIVE
    is_leaving: bool = False
    beat: int = 0
    load: int = 0
    configuration: int = -1

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent to the member."""
        return self.liveness is Liveness.ALIVE and not self.is_leaving

    def merge(self, other: 'Member') -> 'Member':
        """Merge two views of the same member.

        :param other: the other view.
        """
        newer = max(
            self,
            other,
            key=lambda view: (view.incarnation, view.liveness, view.beat),
        )
        is_same = self.incarnation == other.incarnation
        is_leaving = is_same and (self.is_leaving or other.is_leaving)
        newest_load = max(
            self, other, key=lambda view: (view.incarnation, view.beat)
        )
        return evolve(
            newer,
            is_leaving=newer.is_leaving or is_leaving,
            beat=newest_load.beat,
            load=newest_load.load,
            configuration=max(self.configuration, other.configuration),
        )


@define(kw_only=True)
class MemberTable:
    """Table of members by name."""

    _members: dict[str, Member] = field(factory=dict)

    def __len__(self) -> int:
        """Count the members."""
        return len(self._members)

    def get(self, name: str) -> Member | None:
        """Return a member, or ``None`` if it is not in the table.

        :param name: its name.
        """
        return self._members.get(name)

    def merge(self, member: Member) -> bool:
        """Merge a view of a member.

        :param member: the view.
        :returns: whether anything but load, beat and configuration changed.
        """
        previous = self._members.get(member.name)
        if previous is None:
            self._members[member.name] = member
            return True
        merged = previous.merge(member)
        self._members[member.name] = merged
        return _strip_volatile_fields(merged) != _strip_volatile_fields(
            previous
        )

    def remove(self, name: str) -> None:
        """Remove a member.

        :param name: its name.
        """
        self._members.pop(name, None)

    def iterate(self) -> Iterator[Member]:
        """Iterate over a copy of the members."""
        yield from tuple(self._members.values())

    def list_usable(self) -> Sequence[Member]:
        """List the members that accept new requests, sorted by name."""
        usable = (
            member for member in self._members.values() if member.is_usable
        )
        return sorted(usable, key=lambda member: member.name)


def _strip_volatile_fields(member: Member) -> Member:
    return evolve(member, beat=0, load=0, configuration=0)


def rank_members(
    members: Sequence[Member], subject: str, count: int
) -> Sequence[Member]:
    """Choose members for a subject by rendezvous hashing.

    Daemons with the same member list choose the same members, and adding or
    removing a member moves only the subjects assigned to that member.

    :param members: candidates.
    :param subject: key that the members are chosen for.
    :param count: maximum number of members to choose.
    """
    ranked = sorted(
        members,
        key=lambda member: compute_rendezvous_hash(subject, member.name),
        reverse=True,
    )
    return ranked[:count]


def group_by_zone(
    members: Sequence[Member],
) -> Mapping[str, Sequence[Member]]:
    """Group members by availability zone.

    :param members: the members.
    """
    zones: dict[str, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    return zones
