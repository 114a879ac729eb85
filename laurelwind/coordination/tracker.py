"""Keeps the daemon's state in sync with the store."""

from collections.abc import Callable, Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.rollouts.status_exchange import (
    StatusDependencies,
    StatusExchange,
)
from laurelwind.coordination.topic_copies import TopicCopies, TopicCopy
from laurelwind.coordination.topic_readers import (
    Backoff,
    ReaderHealth,
    TopicReader,
)
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ConfigurationError, PlatformError
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed_store import (
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
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.routes import RoutingTable

# Longest wait of a read of the operators' topic for a change. It is also the
# interval of lease renewals while nothing changes.
OPERATOR_WAIT_S: Final = 1.5
# Longest wait of a read of the endpoints' topic, which changes seldom, and the
# wait while a lapsed record is about to be removed.
ENDPOINT_WAIT_S: Final = 2.5
LAPSED_WAIT_S: Final = 0.2
# Longest wait for the newest table before a request is refused as unknown.
CONFIRM_TIMEOUT_S: Final = 0.5
# Delay after a read that returned changes. It coalesces the changes of many
# endpoints, which would otherwise wake every daemon of the fleet one by one.
ENDPOINT_COALESCING_S: Final = 0.6
# Longest time that a removed record is retained. Together with the delay above
# it stays below the two seconds after which a leaving endpoint must get no more
# work.
MAX_REMOVAL_DELAY_S: Final = 1.4
# Statuses are read rarely while no target version is in use. A copy of them
# stays younger than the three seconds after which target versions are no longer
# used.
MAX_STATUS_COPY_AGE_S: Final = 2.6
ENDPOINT_READER: Final = 'endpoints'
MEMBER_POLL_PERIOD_S: Final = 0.8


@frozen(kw_only=True)
class TrackerDependencies:
    """Collaborators of a Tracker.

    :ivar store: the store to read.
    :ivar group: the group of live daemons.
    :ivar documents: decodes documents.
    :ivar lease: renewed by each complete read of the operators' topic.
    :ivar directory: directory of the endpoints.
    :ivar rollouts: state of the roll-outs.
    :ivar log: the decision log.
    """

    store: KeyedStore
    group: MemberGroup
    documents: DocumentCodec
    lease: FreshnessLease
    directory: EndpointDirectory
    rollouts: RolloutRegistry
    log: DecisionLog


class Tracker:
    """Keeps the routing table, the endpoints and the members up to date.

    :param local_instance: member record of the local daemon.
    :param dependencies: collaborators.
    :param max_absence_age_s: age of the table in seconds up to which a name
        that is missing from it counts as non-existent.
    """

    def __init__(
        self,
        *,
        local_instance: ListedInstance,
        dependencies: TrackerDependencies,
        max_absence_age_s: float,
    ) -> None:
        self.max_absence_age_s = max_absence_age_s
        self._local_instance = local_instance
        self._dependencies = dependencies
        self._listeners: list[Callable[[], None]] = []
        self._health = ReaderHealth(log=dependencies.log)
        self._has_left = False
        self._is_table_unreadable = False
        self._confirm_lock = anyio.Lock()
        self.copies: TopicCopies = {
            Topic.OPERATORS: TopicCopy(clock=dependencies.lease.read_clock),
            Topic.ENDPOINTS: TopicCopy(clock=dependencies.lease.read_clock),
            Topic.STATUS: TopicCopy(max_age_s=MAX_STATUS_COPY_AGE_S),
        }
        self._operators = self._build_reader(Topic.OPERATORS)
        self._statuses = StatusExchange(
            local_instance=local_instance,
            dependencies=StatusDependencies(
                store=dependencies.store,
                documents=dependencies.documents,
                rollouts=dependencies.rollouts,
                log=dependencies.log,
                list_members=lambda: self.members,
                copy=self.copies[Topic.STATUS],
            ),
            health=self._health,
        )
        self.table: RoutingTable | None = None
        self.members: tuple[ListedInstance, ...] = (local_instance,)
        self.has_endpoints = False

    @property
    def is_ready(self) -> bool:
        """Whether the table and endpoints are loaded and the lease is valid."""
        return (
            self.table is not None
            and self.has_endpoints
            and self._dependencies.lease.is_valid
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes of the endpoints.

        :param listener: called after each change.
        """
        self._listeners.append(listener)

    def start(self, group: TaskGroup) -> None:
        """Start reading the store and the member group.

        :param group: task group in which the reads run.
        """
        group.start_soon(self._run_operator_reads)
        group.start_soon(self._run_endpoint_reads)
        self._statuses.start(group)
        group.start_soon(self._run_member_reads)

    async def ensure_current(self) -> bool:
        """Return whether the table is current, reading the store if needed.

        At most one read is sent per ``max_absence_age_s``.
        """
        lease = self._dependencies.lease
        async with self._confirm_lock:
            if lease.age_s <= self.max_absence_age_s:
                return True
            started_at = lease.read_clock()
            with anyio.move_on_after(CONFIRM_TIMEOUT_S):
                return await self._confirm(started_at)
            return False

    async def _confirm(self, started_at: float) -> bool:
        try:
            batch = await self._operators.peek()
        except (PlatformError, HistoryLostError) as error:
            self._dependencies.log.log_info('not_confirmed', reason=str(error))
            return False
        return self._apply_operator_batch(batch, started_at)

    async def leave(self) -> None:
        """Leave the member group, so that callers use other daemons."""
        self._has_left = True
        try:
            await self._dependencies.group.leave()
        except PlatformError as error:
            self._dependencies.log.log_warning(
                'group_not_left', reason=error.message
            )

    async def _run_operator_reads(self) -> None:
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
            self._apply_operator_batch(batch, self._operators.as_of)

    def _build_reader(self, topic: Topic) -> TopicReader:
        return TopicReader(
            store=self._dependencies.store,
            topic=topic,
            copy=self.copies[topic],
            clock=self._dependencies.lease.read_clock,
        )

    def _apply_operator_batch(self, batch: Batch, as_of: float) -> bool:
        for record in batch.records:
            self._apply_operator_record(record)
        # A newer table cannot be decoded, so the table in force must not
        # count as current.
        if self._is_table_unreadable:
            return False
        self._dependencies.lease.renew(as_of)
        return True

    def _apply_operator_record(self, record: KeyedRecord) -> None:
        if record.body is None:
            return
        documents = self._dependencies.documents
        kind = documents.get_kind(Topic.OPERATORS, record.key)
        try:
            if kind is DocumentKind.ROUTING_TABLE:
                self._apply_table(documents.decode_table(record.body), record)
            elif kind is DocumentKind.ROLLOUT_ORDER:
                order = documents.decode_order(record.body)
                self._dependencies.rollouts.apply_order(order)
        except ConfigurationError as error:
            if kind is DocumentKind.ROUTING_TABLE:
                self._is_table_unreadable = True
            self._dependencies.log.log_warning(
                'document_unreadable', key=record.key, reason=error.message
            )

    def _apply_table(self, table: RoutingTable, record: KeyedRecord) -> None:
        self._is_table_unreadable = False
        if self.table is not None and table.version <= self.table.version:
            return
        previous_version = None if self.table is None else self.table.version
        self.table = table
        self._dependencies.log.log_warning(
            'table_in_force',
            version=table.version,
            before=previous_version,
            offset=record.offset,
            routes=len(table.routes),
        )

    async def _run_endpoint_reads(self) -> None:
        reader = self._build_reader(Topic.ENDPOINTS)
        backoff = Backoff()
        while True:
            has_lapsed = self._dependencies.directory.has_lapsed_records
            wait_s = LAPSED_WAIT_S if has_lapsed else ENDPOINT_WAIT_S
            try:
                batch = await reader.read(wait_s=wait_s)
            except PlatformError as error:
                self._health.record_failure(ENDPOINT_READER, error)
                await backoff.wait()
                continue
            backoff.reset()
            self._health.record_recovery(ENDPOINT_READER)
            self._apply_endpoints(batch, is_snapshot=reader.was_snapshot)
            self.has_endpoints = True
            has_store_changes = bool(batch.records) and not batch.is_copy
            if (
                has_store_changes
                and not self._dependencies.directory.has_lapsed_records
            ):
                await anyio.sleep(ENDPOINT_COALESCING_S)

    def _apply_endpoints(self, batch: Batch, *, is_snapshot: bool) -> None:
        directory = self._dependencies.directory
        grace_until = self._compute_lapse_deadline()
        previous_changes = directory.changes
        for record in batch.records:
            directory.apply(
                record.key,
                self._decode_endpoint(record),
                offset=record.offset,
                grace_until=grace_until,
            )
        if is_snapshot:
            directory.retain(
                {
                    endpoint_record.key: endpoint_record.offset
                    for endpoint_record in batch.records
                },
                before=batch.next_offset,
                grace_until=grace_until,
            )
        directory.expire(read_monotonic_clock())
        if directory.changes != previous_changes:
            self._dependencies.log.log_warning(
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
            return self._dependencies.documents.decode_endpoint(
                record.key, record.body
            )
        except ConfigurationError as error:
            self._dependencies.log.log_warning(
                'document_unreadable', key=record.key, reason=error.message
            )
            return None

    def _compute_lapse_deadline(self) -> float | None:
        # Until this deadline, records that lapsed during an outage return if
        # their endpoints are alive. A later removal means that the endpoint is
        # leaving.
        now = read_monotonic_clock()
        deadline = (
            self._health.get_last_failing_time(ENDPOINT_READER) + LAPSE_GRACE_S
        )
        return (
            min(deadline, now + MAX_REMOVAL_DELAY_S) if deadline > now else None
        )

    async def _run_member_reads(self) -> None:
        last_generation = -1
        backoff = Backoff()
        while not self._has_left:
            try:
                generation = await self._dependencies.group.join()
                if generation != last_generation:
                    instances = await self._dependencies.group.list_members()
                    self._apply_members(instances, generation)
                    last_generation = generation
            except PlatformError as error:
                self._health.record_failure('members', error)
                await backoff.wait()
                continue
            backoff.reset()
            self._health.record_recovery('members')
            await anyio.sleep(MEMBER_POLL_PERIOD_S)

    def _apply_members(
        self, instances: Sequence[ListedInstance], generation: int
    ) -> None:
        members = tuple(
            sorted(
                {*instances, self._local_instance},
                key=lambda member: member.name,
            )
        )
        if members != self.members:
            self._dependencies.log.log_warning(
                'members_changed',
                generation=generation,
                members=[member.name for member in members],
            )
        self.members = members
