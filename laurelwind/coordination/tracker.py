"""Follows the store, so that the daemon knows what is in force."""

from collections.abc import Callable, Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.copies import TopicCopies, TopicCopy
from laurelwind.coordination.reading import Backoff, ReaderHealth, TopicReader
from laurelwind.coordination.rollouts import RolloutBook
from laurelwind.coordination.statuses import StatusExchange, StatusParts
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ConfigurationError, PlatformError
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    KeyedStore,
    MemberGroup,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.directory import (
    LAPSE_GRACE_S,
    EndpointDirectory,
    EndpointRecord,
)
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.load import read_clock
from laurelwind.state.routes import RoutingTable

# A read of the operators' topic waits this long for a change, which also
# bounds how often the lease is renewed on a day without changes.
OPERATOR_WAIT_S: Final = 1.5
# The endpoints' topic changes seldom; a read waits this long for a change, or
# this long where a lapsed record is about to be dropped.
ENDPOINT_WAIT_S: Final = 2.5
LAPSED_WAIT_S: Final = 0.2
# Longest time that a denial waits for the newest table.
CONFIRM_S: Final = 0.5
# Pause after a read that found changes, so that many endpoints that change one
# after the other do not wake every daemon of the fleet for each of them.
ENDPOINT_PAUSE_S: Final = 0.6
# Longest time that a removed record is held; with the wait above it stays
# under the two seconds in which a leaving endpoint must get no more work.
LONGEST_HOLD_S: Final = 1.4
# Statuses are read rarely while nothing is tried; a copy of them stays younger
# than the three seconds after which versions are not tried any more.
STATUS_AGE_S: Final = 2.6
ENDPOINTS: Final = 'endpoints'
MEMBER_PERIOD_S: Final = 0.8


@frozen(kw_only=True)
class TrackerParts:
    """What a tracker works with.

    :ivar store: the store.
    :ivar group: the daemons that are alive.
    :ivar documents: decodes documents.
    :ivar lease: renewed by each complete read of the operators' topic.
    :ivar directory: the endpoints.
    :ivar rollouts: the roll-outs.
    :ivar log: where decisions are written.
    """

    store: KeyedStore
    group: MemberGroup
    documents: DocumentCodec
    lease: FreshnessLease
    directory: EndpointDirectory
    rollouts: RolloutBook
    log: DecisionLog


class Tracker:
    """Keeps the routing table, the endpoints and the members up to date.

    :param own: this daemon, as the others see it.
    :param parts: what it works with.
    :param denial_age_s: age of the table up to which what it does not hold
        does not exist.
    """

    def __init__(
        self, *, own: ListedInstance, parts: TrackerParts, denial_age_s: float
    ) -> None:
        self.denial_age_s = denial_age_s
        self._own = own
        self._parts = parts
        self._listeners: list[Callable[[], None]] = []
        self._health = ReaderHealth(log=parts.log)
        self._has_left = False
        self._is_table_unreadable = False
        self._confirming = anyio.Lock()
        self.copies: TopicCopies = {
            Topic.OPERATORS: TopicCopy(clock=parts.lease.read_clock),
            Topic.ENDPOINTS: TopicCopy(clock=parts.lease.read_clock),
            Topic.STATUS: TopicCopy(max_age_s=STATUS_AGE_S),
        }
        self._operators = self._build_reader(Topic.OPERATORS)
        self._statuses = StatusExchange(
            own=own,
            parts=StatusParts(
                store=parts.store,
                documents=parts.documents,
                rollouts=parts.rollouts,
                log=parts.log,
                list_members=lambda: self.members,
                copy=self.copies[Topic.STATUS],
            ),
            health=self._health,
        )
        self.table: RoutingTable | None = None
        self.members: tuple[ListedInstance, ...] = (own,)
        self.has_endpoints = False

    @property
    def is_ready(self) -> bool:
        """Whether everything needed to serve is known."""
        return (
            self.table is not None
            and self.has_endpoints
            and self._parts.lease.is_valid
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call something whenever the endpoints have changed.

        :param listener: what to call.
        """
        self._listeners.append(listener)

    def start(self, group: TaskGroup) -> None:
        """Begin to follow the store.

        :param group: the daemon's tasks.
        """
        group.start_soon(self._follow_operators)
        group.start_soon(self._follow_endpoints)
        self._statuses.start(group)
        group.start_soon(self._follow_members)

    async def confirm(self) -> bool:
        """Make sure that the table is the newest, reading it if need be.

        At most one read goes out in each time that an answer holds.
        """
        lease = self._parts.lease
        async with self._confirming:
            if lease.age_s <= self.denial_age_s:
                return True
            begun_at = lease.read_clock()
            with anyio.move_on_after(CONFIRM_S):
                return await self._confirm(begun_at)
            return False

    async def _confirm(self, begun_at: float) -> bool:
        try:
            batch = await self._operators.peek()
        except (PlatformError, HistoryLostError) as error:
            self._parts.log.note('not_confirmed', reason=str(error))
            return False
        return self._take_operator_batch(batch, begun_at)

    async def leave(self) -> None:
        """Tell the others that this daemon takes no more callers."""
        self._has_left = True
        try:
            await self._parts.group.leave()
        except PlatformError as error:
            self._parts.log.warning('group_not_left', reason=error.message)

    async def _follow_operators(self) -> None:
        backoff = Backoff()
        while True:
            try:
                batch = await self._operators.read(wait_s=OPERATOR_WAIT_S)
            except PlatformError as error:
                self._health.record_failure('operators', error)
                await backoff.wait()
                continue
            backoff.reset()
            self._health.record_recovery('operators')
            self._take_operator_batch(batch, self._operators.as_of)

    def _build_reader(self, topic: Topic) -> TopicReader:
        return TopicReader(
            store=self._parts.store,
            topic=topic,
            copy=self.copies[topic],
            clock=self._parts.lease.read_clock,
        )

    def _take_operator_batch(self, batch: Batch, as_of: float) -> bool:
        for record in batch.records:
            self._take_operator_record(record)
        # The table in force is older than one that cannot be read, and must
        # not pass for the newest.
        if self._is_table_unreadable:
            return False
        self._parts.lease.renew(as_of)
        return True

    def _take_operator_record(self, record: KeyedRecord) -> None:
        if record.body is None:
            return
        documents = self._parts.documents
        kind = documents.tell_kind(Topic.OPERATORS, record.key)
        try:
            if kind is DocumentKind.ROUTING_TABLE:
                self._take_table(documents.decode_table(record.body), record)
            elif kind is DocumentKind.ROLLOUT_ORDER:
                order = documents.decode_order(record.body)
                self._parts.rollouts.take_order(order)
        except ConfigurationError as error:
            if kind is DocumentKind.ROUTING_TABLE:
                self._is_table_unreadable = True
            self._parts.log.warning(
                'document_unreadable', key=record.key, reason=error.message
            )

    def _take_table(self, table: RoutingTable, record: KeyedRecord) -> None:
        self._is_table_unreadable = False
        if self.table is not None and table.version <= self.table.version:
            return
        before = None if self.table is None else self.table.version
        self.table = table
        self._parts.log.warning(
            'table_in_force',
            version=table.version,
            before=before,
            offset=record.offset,
            routes=len(table.routes),
        )

    async def _follow_endpoints(self) -> None:
        reader = self._build_reader(Topic.ENDPOINTS)
        backoff = Backoff()
        while True:
            has_lapsed = self._parts.directory.has_lapsed
            wait_s = LAPSED_WAIT_S if has_lapsed else ENDPOINT_WAIT_S
            try:
                batch = await reader.read(wait_s=wait_s)
            except PlatformError as error:
                self._health.record_failure(ENDPOINTS, error)
                await backoff.wait()
                continue
            backoff.reset()
            self._health.record_recovery(ENDPOINTS)
            self._take_endpoints(batch, is_whole=reader.was_snapshot)
            self.has_endpoints = True
            is_woken = bool(batch.records) and not batch.is_copy
            if is_woken and not self._parts.directory.has_lapsed:
                await anyio.sleep(ENDPOINT_PAUSE_S)

    def _take_endpoints(self, batch: Batch, *, is_whole: bool) -> None:
        directory = self._parts.directory
        lapses_until = self._read_lapse_limit()
        changes = directory.changes
        for record in batch.records:
            directory.apply(
                record.key,
                self._decode_endpoint(record),
                offset=record.offset,
                lapses_until=lapses_until,
            )
        if is_whole:
            directory.retain(
                {found.key: found.offset for found in batch.records},
                before=batch.next_offset,
                lapses_until=lapses_until,
            )
        directory.expire(read_clock())
        if directory.changes != changes:
            self._parts.log.warning(
                'endpoints_changed',
                offset=batch.next_offset,
                ready=directory.count_ready(),
            )
            for listener in self._listeners:
                listener()

    def _decode_endpoint(self, record: KeyedRecord) -> EndpointRecord | None:
        if record.body is None:
            return None
        try:
            return self._parts.documents.decode_endpoint(
                record.key, record.body
            )
        except ConfigurationError as error:
            self._parts.log.warning(
                'document_unreadable', key=record.key, reason=error.message
            )
            return None

    def _read_lapse_limit(self) -> float | None:
        # Records that lapsed during an outage are back by then, if their
        # endpoints live; a later removal means that the endpoint is leaving.
        now = read_clock()
        limit = self._health.get_last_failing_time(ENDPOINTS) + LAPSE_GRACE_S
        return min(limit, now + LONGEST_HOLD_S) if limit > now else None

    async def _follow_members(self) -> None:
        known = -1
        backoff = Backoff()
        while not self._has_left:
            try:
                generation = await self._parts.group.join()
                if generation != known:
                    found = await self._parts.group.list_members()
                    self._take_members(found, generation)
                    known = generation
            except PlatformError as error:
                self._health.record_failure('members', error)
                await backoff.wait()
                continue
            backoff.reset()
            self._health.record_recovery('members')
            await anyio.sleep(MEMBER_PERIOD_S)

    def _take_members(
        self, found: Sequence[ListedInstance], generation: int
    ) -> None:
        members = tuple(
            sorted({*found, self._own}, key=lambda member: member.name)
        )
        if members != self.members:
            self._parts.log.warning(
                'members_changed',
                generation=generation,
                members=[member.name for member in members],
            )
        self.members = members
