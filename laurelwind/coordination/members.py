"""Membership of the relay daemons: joins, and the list of members.

Each daemon renews its membership at the store.  The list is read from the
store by sources (see :mod:`.topics.peer_store`) and by daemons that have just
started; all others read the copy of a source, since hundreds of daemons would
otherwise read the whole list at every change.  A daemon whose renewals fail
reads the list of any other one.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

import anyio
import orjson
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.topics.copies import TopicCopy
from laurelwind.coordination.topics.peer_store import PeerReadingStore
from laurelwind.coordination.topics.readers import Backoff, ReaderHealth
from laurelwind.coordination.topics.restored_members import RestoredMembers
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    MemberGroup,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.protocol.positions import decode_position

JOIN_PERIOD_S: Final = 1.0
# Longest wait for a source's next list of members.
LIST_WAIT_S: Final = 1.2
# Seconds between two lists that a daemon reads from the store.
LIST_PERIOD_S: Final = 0.8
# Names of joined and left daemons in one log line.
MAX_LOGGED_NAMES: Final = 8
_MEMBERS_KEY: Final = 'members'
_READER: Final = 'members'


@frozen(kw_only=True)
class MembershipDependencies:
    """Collaborators of a FleetMembership.

    :ivar group: the group of live daemons.
    :ivar store: reads the copies of sources.
    :ivar copy: copy of the list that is served to peers.
    :ivar health: records failures and recoveries of store calls.
    :ivar log: the decision log.
    """

    group: MemberGroup
    store: PeerReadingStore
    copy: TopicCopy
    health: ReaderHealth
    log: DecisionLog


class FleetMembership:
    """Keeps the local daemon in the group, and the list of members current.

    :param local_instance: member record of the local daemon.
    :param dependencies: collaborators.
    :param clock: returns the current time of the copy's clock, in seconds.
    :param contact_s: seconds after which a daemon that is gone is no member,
        for which those that only a restored store lists are hidden; zero if
        they are not.
    :ivar members: all daemons, ordered by name; includes the local one.
    :ivar listed: the daemons that the group lists, ordered by name; without the
        local one if its membership has lapsed.
    :ivar ordered: the members while the local membership was last renewed, by
        which the zones are ordered: those whose memberships have lapsed may
        still read topics.
    :ivar departures: members that only a restored store lists.
    :ivar first_read: set once the list was read.
    """

    def __init__(
        self,
        *,
        local_instance: ListedInstance,
        dependencies: MembershipDependencies,
        clock: Callable[[], float],
        contact_s: float = 0,
    ) -> None:
        self.members: tuple[ListedInstance, ...] = (local_instance,)
        self.listed: tuple[ListedInstance, ...] = (local_instance,)
        self.ordered: tuple[ListedInstance, ...] = (local_instance,)
        self.departures = RestoredMembers(contact_s=contact_s, clock=clock)
        self.first_read = anyio.Event()
        self._local_instance = local_instance
        self._dependencies = dependencies
        self._clock = clock
        self._has_left = False
        self._is_join_failing = False
        self._generation = -1
        self._listed_generation = -1
        self._changed = anyio.Event()

    def start(self, group: TaskGroup) -> None:
        """Start joining the group and reading the list.

        :param group: task group in which both run.
        """
        group.start_soon(self._run_joins)
        group.start_soon(self._run_reads)

    def count_known(self) -> int:
        """Return the number of daemons, or 0 while it is unknown."""
        return len(self.members) if self.first_read.is_set() else 0

    async def leave(self) -> None:
        """Leave the group, so that callers use other daemons."""
        self._has_left = True
        try:
            await self._dependencies.group.leave()
        except PlatformError as error:
            self._dependencies.log.log_warning(
                'group_not_left', reason=error.message
            )

    async def _run_joins(self) -> None:
        health = self._dependencies.health
        backoff = Backoff()
        while not self._has_left:
            started_at = self._clock()
            try:
                generation = await self._dependencies.group.join()
            except PlatformError as error:
                health.record_failure(_READER, error)
                if self._generation < 0:
                    await backoff.wait()
                else:
                    # Others may know the list meanwhile.
                    self._is_join_failing = True
                    self._changed.set()
                    await anyio.sleep(JOIN_PERIOD_S)
                continue
            self._is_join_failing = False
            health.record_recovery(_READER)
            self._record_generation(generation, started_at)
            await anyio.sleep(JOIN_PERIOD_S)

    def _record_generation(self, generation: int, as_of: float) -> None:
        self._generation = generation
        if generation != self._listed_generation:
            self._changed.set()
            return
        # The list is still the newest.
        batch = Batch(records=(), next_offset=generation + 1)
        self._dependencies.copy.apply_batch(
            batch, is_snapshot=False, as_of=as_of
        )

    async def _run_reads(self) -> None:
        while not self._has_left:
            await self._changed.wait()
            self._changed = anyio.Event()
            is_copy = False
            try:
                is_copy = await self._read_list()
            except PlatformError as error:
                self._dependencies.health.record_failure(_READER, error)
            if self._listed_generation < self._generation:
                self._changed.set()
            if not is_copy:
                await anyio.sleep(LIST_PERIOD_S)

    async def _read_list(self) -> bool:
        """Read the list; return whether it is the copy of another daemon."""
        started_at = self._clock()
        copy = await self._read_copy()
        if copy is None and self._is_join_failing:
            return False
        batch = copy or await self._list_at_store()
        self.first_read.set()
        self._dependencies.copy.apply_batch(
            batch, is_snapshot=False, as_of=started_at - batch.lag_s
        )
        for record in batch.records:
            self._listed_generation = record.offset
            self._apply_members(_decode_members(record))
        return copy is not None

    async def _list_at_store(self) -> Batch:
        # The list may be newer than the generation, never older.
        generation = self._generation
        members = await self._dependencies.group.list_members()
        return Batch(
            records=(_encode_members(members, generation),),
            next_offset=generation + 1,
        )

    async def _read_copy(self) -> Batch | None:
        try:
            return await self._dependencies.store.read_copy(
                Topic.MEMBERS,
                self._listed_generation + 1,
                wait_s=LIST_WAIT_S,
                asks_anyone=self._is_join_failing,
            )
        except HistoryLostError:
            return None

    def _apply_members(self, instances: Sequence[ListedInstance]) -> None:
        self.departures.record(
            {member.name for member in instances},
            era=decode_position(self._listed_generation).era,
        )
        previous = self.members
        self.listed = _sort_by_name(instances)
        self.members = _sort_by_name({*instances, self._local_instance})
        if not self._is_join_failing:
            self.ordered = self.members
        if self.members == previous:
            return
        self._dependencies.log.log_warning(
            'members_changed',
            generation=decode_position(self._listed_generation).offset,
            members=len(self.members),
            joined=_list_new_names(self.members, previous),
            left=_list_new_names(previous, self.members),
        )


def _sort_by_name(
    instances: Iterable[ListedInstance],
) -> tuple[ListedInstance, ...]:
    return tuple(sorted(instances, key=lambda member: member.name))


def _list_new_names(
    members: Sequence[ListedInstance], previous: Sequence[ListedInstance]
) -> Sequence[str]:
    known = set(previous)
    names = [member.name for member in members if member not in known]
    return names[:MAX_LOGGED_NAMES]


def _encode_members(
    members: Sequence[ListedInstance], generation: int
) -> KeyedRecord:
    rows = [
        (member.name, member.zone, member.caller_address, member.peer_address)
        for member in members
    ]
    return KeyedRecord(
        key=_MEMBERS_KEY, body=orjson.dumps(rows), offset=generation
    )


def _decode_members(record: KeyedRecord) -> Sequence[ListedInstance]:
    try:
        return [
            ListedInstance(
                name=name,
                zone=zone,
                caller_address=caller_address,
                peer_address=peer_address,
            )
            for name, zone, caller_address, peer_address in orjson.loads(
                record.body or b''
            )
        ]
    except (TypeError, ValueError) as error:
        raise PlatformError(
            ErrorKind.LOG_UNAVAILABLE, 'a peer sent a malformed list of members'
        ) from error
