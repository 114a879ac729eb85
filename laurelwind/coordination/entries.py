"""Chooses the daemons that callers should send to, and for how long."""

import random
from collections.abc import Sequence
from typing import Final

from attrs import frozen

from laurelwind.coordination.roster import Roster
from laurelwind.state.members import Member

_MAX_ENTRIES: Final = 8
_CACHE_TIME_S: Final = 10.0
_SAME_ZONE: Final = 0
_SAME_REGION: Final = 1
_OTHER_REGION: Final = 2


@frozen(kw_only=True)
class EntryAddress:
    """Entry address for callers.

    :ivar name: name of the daemon at the address.
    :ivar address: ``host:port``.
    :ivar zone: availability zone of the daemon.
    """

    name: str
    address: str
    zone: str


@frozen(kw_only=True)
class EntryList:
    """Entries to use, best first.

    :ivar entries: entry addresses.
    :ivar keep_s: time for which callers may cache the list, in seconds.
    """

    entries: Sequence[EntryAddress]
    keep_s: float


class EntryChooser:
    """Orders entries by distance from the caller and by load.

    :param roster: this daemon's view of the members.
    :param seed: seed of the random order, for reproducible runs.
    """

    def __init__(self, *, roster: Roster, seed: int | None = None) -> None:
        self._roster = roster
        self._random = random.Random(seed)

    def choose(self, zone: str) -> EntryList:
        """Choose entries for a caller.

        Entries of the caller's zone come first, then those of its region.
        Entries at the same distance are shuffled with a bias towards less
        loaded ones, so that callers that cache the list still spread evenly.

        :param zone: the caller's availability zone, or an empty string.
        """
        local_member = self._roster.local_member
        preferred_zone = zone or local_member.zone
        usable = self._roster.list_usable()
        region = _find_region(usable, preferred_zone)
        ranked = sorted(
            usable,
            key=lambda member: (
                _rank_distance(member, preferred_zone, region),
                self._draw_sort_key(member),
            ),
        )
        return EntryList(
            entries=tuple(
                EntryAddress(
                    name=member.name,
                    address=member.caller_address,
                    zone=member.zone,
                )
                for member in ranked[:_MAX_ENTRIES]
            ),
            keep_s=_CACHE_TIME_S,
        )

    def _draw_sort_key(self, member: Member) -> float:
        """Draw an exponential sort key whose mean grows with the load."""
        return self._random.expovariate(1 / (member.load + 1))


def _find_region(members: Sequence[Member], zone: str) -> str:
    for member in members:
        if member.zone == zone:
            return member.region
    return ''


def _rank_distance(member: Member, zone: str, region: str) -> int:
    if member.zone == zone:
        return _SAME_ZONE
    if member.region == region:
        return _SAME_REGION
    return _OTHER_REGION
