"""Keeps the daemon's state in sync with the store."""

from collections.abc import Callable
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import asdict, frozen

from laurelwind.coordination.endpoint_tracking import (
    EndpointTracker,
    EndpointTrackerDependencies,
)
from laurelwind.coordination.members import FleetMembership
from laurelwind.coordination.rollouts.order_history import OrderHistory
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.rollouts.status_exchange import (
    StatusDependencies,
    StatusExchange,
)
from laurelwind.coordination.shared_reads import SharedRead
from laurelwind.coordination.topics.budgets import TopicBudgets
from laurelwind.coordination.topics.copies import TopicCopies
from laurelwind.coordination.topics.readers import (
    Backoff,
    ReaderHealth,
    TopicReader,
)
from laurelwind.coordination.zones.evacuations import Evacuations
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ConfigurationError, PlatformError
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    KeyedStore,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.protocol.positions import decode_position
from laurelwind.state.directory import EndpointDirectory
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.routes import RoutingTable
from laurelwind.state.table_changes import compare_tables

# Longest wait for the newest table before a request is refused as unknown.
CONFIRM_TIMEOUT_S: Final = 0.5
# Longest wait for the list of members before topics are read without it. The
# list tells a daemon that starts which peers have copies.
FIRST_MEMBERS_TIMEOUT_S: Final = 0.5


@frozen(kw_only=True)
class TrackerDependencies:
    """Collaborators of a Tracker.

    :ivar store: the store to read.
    :ivar membership: the live daemons.
    :ivar copies: copies of the topics that are served to peers.
    :ivar budgets: budget for the age of each topic.
    :ivar health: records failures and recoveries of store reads.
    :ivar documents: decodes documents.
    :ivar lease: renewed by each complete read of the operators' topic.
    :ivar directory: directory of the endpoints.
    :ivar rollouts: state of the roll-outs.
    :ivar evacuations: applies the evacuations of zones.
    :ivar log: the decision log.
    """

    store: KeyedStore
    membership: FleetMembership
    copies: TopicCopies
    budgets: TopicBudgets
    health: ReaderHealth
    documents: DocumentCodec
    lease: FreshnessLease
    directory: EndpointDirectory
    rollouts: RolloutRegistry
    evacuations: Evacuations
    log: DecisionLog


class Tracker:
    """Keeps the routing table, the endpoints and the statuses up to date.

    :param local_instance: member record of the local daemon.
    :param dependencies: collaborators.
    :ivar era: era of the store that was read last, or ``None``.
    :ivar max_absence_age_s: age of the table in seconds up to which a name
        that is missing from it counts as non-existent.
    """

    def __init__(
        self,
        *,
        local_instance: ListedInstance,
        dependencies: TrackerDependencies,
    ) -> None:
        self.max_absence_age_s: float = 0
        self._dependencies = dependencies
        self._is_table_unreadable = False
        self._orders = OrderHistory()
        self._table_body: bytes | None = None
        self._confirmations = SharedRead(
            read=self._confirm,
            timeout_s=CONFIRM_TIMEOUT_S,
            clock=dependencies.lease.read_clock,
        )
        self._first_batch = anyio.Event()
        self._operators = self._build_reader(Topic.OPERATORS)
        self._statuses = StatusExchange(
            local_instance=local_instance,
            dependencies=StatusDependencies(
                store=dependencies.store,
                documents=dependencies.documents,
                rollouts=dependencies.rollouts,
                log=dependencies.log,
                list_members=lambda: dependencies.membership.members,
                copy=dependencies.copies[Topic.STATUS],
            ),
            health=dependencies.health,
        )
        self._endpoints = EndpointTracker(
            dependencies=EndpointTrackerDependencies(
                store=dependencies.store,
                copy=dependencies.copies[Topic.ENDPOINTS],
                budget=dependencies.budgets[Topic.ENDPOINTS],
                documents=dependencies.documents,
                directory=dependencies.directory,
                health=dependencies.health,
                log=dependencies.log,
                clock=dependencies.lease.read_clock,
            )
        )
        self.table: RoutingTable | None = None
        self.era: int | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the table and endpoints are loaded and the lease is valid."""
        return (
            self.table is not None
            and self.has_endpoints
            and self._dependencies.lease.is_valid
        )

    @property
    def has_endpoints(self) -> bool:
        """Whether the endpoints were read since the start."""
        return self._endpoints.has_endpoints

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes of the endpoints.

        :param listener: called after each change.
        """
        self._endpoints.add_listener(listener)

    def start(self, group: TaskGroup) -> None:
        """Start reading the store and the member group.

        :param group: task group in which the reads run.
        """
        self._confirmations.start(group)
        self._dependencies.membership.start(group)
        group.start_soon(self._run_reads, group)

    async def ensure_current(self) -> bool:
        """Return whether the table is current, reading the store if needed.

        Concurrent calls share one read, which ends within
        ``CONFIRM_TIMEOUT_S``. A call that needs a newer one than the read in
        progress waits for two at most.
        """
        lease = self._dependencies.lease
        called_at = lease.read_clock()
        while lease.age_s > self.max_absence_age_s:
            outcome = await self._confirmations.wait()
            if not outcome.is_complete:
                return False
            if outcome.started_at >= called_at:
                break
        return True

    async def _confirm(self, started_at: float) -> bool:
        try:
            batch = await self._operators.peek()
        except (PlatformError, HistoryLostError) as error:
            self._dependencies.log.log_info('not_confirmed', reason=str(error))
            return False
        return self._apply_operator_batch(batch, started_at)

    async def _run_reads(self, group: TaskGroup) -> None:
        first_list = self._dependencies.membership.first_read
        with anyio.move_on_after(FIRST_MEMBERS_TIMEOUT_S):
            await first_list.wait()
        group.start_soon(self._run_operator_reads)
        if not first_list.is_set():
            # Where the store fails, one reader of each daemon tries it.
            await self._first_batch.wait()
        self._statuses.start(group)
        await self._endpoints.run()

    async def _run_operator_reads(self) -> None:
        backoff = Backoff()
        budget = self._dependencies.budgets[Topic.OPERATORS]
        while True:
            try:
                # While nothing changes, the lease is renewed as often.
                batch = await self._operators.read(wait_s=budget.direct_wait_s)
            except PlatformError as error:
                self._dependencies.health.record_failure('operators', error)
                await backoff.wait()
                continue
            backoff.reset()
            self._dependencies.health.record_recovery('operators')
            self._first_batch.set()
            self._apply_operator_batch(batch, self._operators.as_of)
            self._dependencies.evacuations.review(
                batch, is_snapshot=self._operators.was_snapshot
            )

    def _build_reader(self, topic: Topic) -> TopicReader:
        return TopicReader(
            store=self._dependencies.store,
            topic=topic,
            copy=self._dependencies.copies[topic],
            clock=self._dependencies.lease.read_clock,
        )

    def _apply_operator_batch(self, batch: Batch, as_of: float) -> bool:
        self._detect_restore(batch)
        for record in batch.records:
            self._apply_operator_record(record)
        # A newer table cannot be decoded, so the table in force must not
        # count as current.
        if self._is_table_unreadable:
            return False
        self._dependencies.lease.renew(as_of)
        return True

    def _detect_restore(self, batch: Batch) -> None:
        era = decode_position(batch.next_offset).era
        if self.era is not None and era > self.era:
            self._dependencies.rollouts.handle_restore()
            self._dependencies.evacuations.handle_restore()
            self._dependencies.log.log_warning(
                'store_restored',
                era=era,
                before=self.era,
                table=None if self.table is None else self.table.version,
            )
        self.era = era

    def _apply_operator_record(self, record: KeyedRecord) -> None:
        if self._dependencies.evacuations.apply(record) or record.body is None:
            return
        documents = self._dependencies.documents
        kind = documents.get_kind(Topic.OPERATORS, record.key)
        try:
            if kind is DocumentKind.ROUTING_TABLE:
                self._read_table(record, record.body)
            elif kind is DocumentKind.ROLLOUT_ORDER:
                order = documents.decode_order(record.body)
                if self._orders.accept(record, record.body):
                    self._dependencies.rollouts.apply_order(order)
        except ConfigurationError as error:
            if kind is DocumentKind.ROUTING_TABLE:
                self._is_table_unreadable = True
            self._dependencies.log.log_warning(
                'document_unreadable', key=record.key, reason=error.message
            )

    def _read_table(self, record: KeyedRecord, body: bytes) -> None:
        # Confirmations, and readers that lost history, read a record again.
        if body == self._table_body:
            return
        self._table_body = body
        self._apply_table(
            self._dependencies.documents.decode_table(body), record
        )

    def _apply_table(self, table: RoutingTable, record: KeyedRecord) -> None:
        self._is_table_unreadable = False
        if self.table is not None and table.version <= self.table.version:
            return
        previous = self.table
        self.table = table
        self._dependencies.log.log_warning(
            'table_in_force',
            version=table.version,
            before=None if previous is None else previous.version,
            offset=decode_position(record.offset).offset,
            routes=len(table.routes),
            changes=asdict(compare_tables(previous, table)),
        )
