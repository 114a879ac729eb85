"""This daemon's view of the fleet's members, and updates to spread."""

import math
import random
import time
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define, evolve, frozen

from laurelwind.events import log_event
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.members import Liveness, Member, MemberTable

_UPDATES_PER_MESSAGE: Final = 6
_RETRANSMIT_FACTOR: Final = 3
_INCARNATIONS_PER_S: Final = 1000


@define(kw_only=True)
class _PendingUpdate:
    """Update of a member that is still being sent to peers."""

    member: Member
    sends_left: int


@frozen(kw_only=True)
class LocalStateSources:
    """Sources of the changing fields that a daemon publishes about itself.

    :ivar read_load: returns the number of local requests in flight.
    :ivar read_configuration: returns the offset of the configuration in force.
    """

    read_load: Callable[[], int]
    read_configuration: Callable[[], int]


class Roster:
    """Members, suspicions, and updates to send to peers.

    :param local_member: member entry of this daemon.
    :param state: sources of its load and configuration offset.
    :ivar on_urgent_update: called when an update should not wait for the next
        probe.
    """

    def __init__(
        self, *, local_member: Member, state: LocalStateSources
    ) -> None:
        started = int(time.time() * _INCARNATIONS_PER_S)
        self._local_member = evolve(local_member, incarnation=started)
        self._state = state
        self._table = MemberTable()
        self._pending_updates: dict[str, _PendingUpdate] = {}
        self._suspected_at: dict[str, float] = {}
        self._died_at: dict[str, float] = {}
        self._beat = 0
        self.on_urgent_update: Callable[[], None] = _ignore

    @property
    def local_member(self) -> Member:
        """Current member entry of this daemon."""
        return evolve(
            self._local_member,
            beat=self._beat,
            load=self._state.read_load(),
            configuration=self._state.read_configuration(),
        )

    @property
    def name(self) -> str:
        """Name of this daemon."""
        return self._local_member.name

    @property
    def dead(self) -> Sequence[str]:
        """Names of the members considered dead."""
        return tuple(self._died_at)

    @property
    def pending_update_count(self) -> int:
        """Number of updates still being sent to peers."""
        return len(self._pending_updates)

    def __len__(self) -> int:
        """Return the number of known members, including this daemon."""
        return len(self._table) + 1

    def get(self, name: str) -> Member | None:
        """Return another member, or ``None`` if it is unknown.

        :param name: name of the member.
        """
        return self._table.get(name)

    def list_usable(self) -> Sequence[Member]:
        """List the members that accept new work, including this daemon."""
        usable = list(self._table.list_usable())
        if self._local_member.is_usable:
            usable.append(self.local_member)
        return sorted(usable, key=lambda member: member.name)

    def list_others(self) -> Sequence[Member]:
        """List the usable members, excluding this daemon."""
        return self._table.list_usable()

    def list_known(self) -> Sequence[Member]:
        """List every known member, including this daemon."""
        return (*self._table.iterate(), self.local_member)

    def leave(self) -> None:
        """Mark this daemon as leaving."""
        self._local_member = evolve(
            self._local_member,
            is_leaving=True,
            incarnation=self._local_member.incarnation + 1,
        )

    def increment_beat(self) -> None:
        """Increment the counter that orders reports of this daemon's load."""
        self._beat += 1

    def merge_member(self, member: Member) -> None:
        """Merge a received view of a member.

        :param member: view to merge.
        """
        if member.name == self._local_member.name:
            self._refute(member)
            return
        previous = self._table.get(member.name)
        if not self._table.merge(member):
            return
        merged = self._table.get(member.name)
        if merged is not None:
            self._record_liveness(merged)
            if not _is_covered_by_list(previous, merged):
                self._queue_update(merged)
                self._signal_if_urgent(previous, merged)

    def suspect(self, name: str) -> None:
        """Suspect a member that did not answer; it may refute the suspicion.

        :param name: name of the member.
        """
        previous = self._table.get(name)
        if previous is not None and previous.liveness is Liveness.ALIVE:
            self.merge_member(evolve(previous, liveness=Liveness.SUSPECT))

    def expire_suspicions(self, limit_s: float) -> None:
        """Declare members dead whose suspicion was not refuted in time.

        :param limit_s: time allowed to refute a suspicion, in seconds.
        """
        limit = read_monotonic_clock() - limit_s
        expired = [
            name for name, since in self._suspected_at.items() if since < limit
        ]
        for name in expired:
            member = self._table.get(name)
            if member is not None:
                self.merge_member(evolve(member, liveness=Liveness.DEAD))

    def forget_dead(self, listed: frozenset[str], limit_s: float) -> None:
        """Remove members that are dead beyond a limit and no longer listed.

        :param listed: names on the platform's list.
        :param limit_s: time for which dead members are retained, in seconds.
        """
        limit = read_monotonic_clock() - limit_s
        for name, since in tuple(self._died_at.items()):
            if since < limit and name not in listed:
                self._table.remove(name)
                self._died_at.pop(name)

    def shuffle_living(self, generator: random.Random) -> list[str]:
        """Return the names of the members not considered dead, shuffled.

        :param generator: random number generator.
        """
        names = [
            member.name
            for member in self._table.iterate()
            if member.liveness is not Liveness.DEAD
        ]
        generator.shuffle(names)
        return names

    def select_updates(self, receiver: str) -> Sequence[Member]:
        """Select the least-sent updates for a message, and count them as sent.

        Adds the suspicion or death of the receiver, so that it can refute it.

        :param receiver: name of the member that the message goes to.
        """
        selected = sorted(
            self._pending_updates.values(),
            key=lambda update: -update.sends_left,
        )[:_UPDATES_PER_MESSAGE]
        for update in selected:
            update.sends_left -= 1
            if update.sends_left <= 0:
                self._pending_updates.pop(update.member.name, None)
        members = [entry.member for entry in selected]
        suspected = self._table.get(receiver)
        if suspected is not None and suspected.liveness is not Liveness.ALIVE:
            members.append(suspected)
        return members

    def _refute(self, view: Member) -> None:
        """Raise the local incarnation above a suspicion or a newer view."""
        is_suspected = view.liveness is not Liveness.ALIVE
        if view.incarnation > self._local_member.incarnation or (
            is_suspected and view.incarnation == self._local_member.incarnation
        ):
            self._local_member = evolve(
                self._local_member, incarnation=view.incarnation + 1
            )
            self._queue_update(self.local_member)

    def _record_liveness(self, member: Member) -> None:
        now = read_monotonic_clock()
        if member.liveness is Liveness.SUSPECT:
            self._suspected_at.setdefault(member.name, now)
        else:
            self._suspected_at.pop(member.name, None)
        if member.liveness is Liveness.DEAD:
            self._died_at.setdefault(member.name, now)
        else:
            self._died_at.pop(member.name, None)
        log_event(
            'member_changed',
            member=member.name,
            liveness=member.liveness.name.lower(),
            leaving=member.is_leaving,
        )

    def _signal_if_urgent(
        self, previous: Member | None, merged: Member
    ) -> None:
        """Signal an urgent update if a known member's usability changed."""
        if previous is not None and previous.is_usable != merged.is_usable:
            self.on_urgent_update()

    def _queue_update(self, member: Member) -> None:
        sends = _RETRANSMIT_FACTOR * math.ceil(math.log2(len(self) + 1))
        self._pending_updates[member.name] = _PendingUpdate(
            member=member, sends_left=sends
        )


def _ignore() -> None:
    """Ignore urgent updates until a callback is set."""


def _is_covered_by_list(previous: Member | None, merged: Member) -> bool:
    """Return whether peers learn of a change from the platform's list.

    A member known only from the list so far has incarnation zero.
    """
    if not merged.is_usable:
        return False
    return merged.incarnation == 0 or (
        previous is not None and previous.incarnation == 0
    )
