"""Keeps the directory of endpoints in sync with the store."""

from collections.abc import Callable
from typing import Final

import anyio
from attrs import frozen

from laurelwind.coordination.topics.budgets import AgeBudget
from laurelwind.coordination.topics.copies import TopicCopy
from laurelwind.coordination.topics.readers import (
    Backoff,
    ReaderHealth,
    TopicReader,
)
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ConfigurationError, PlatformError
from laurelwind.protocol.documents import DocumentCodec
from laurelwind.protocol.keyed_store import (
    Batch,
    KeyedRecord,
    KeyedStore,
    Topic,
)
from laurelwind.protocol.positions import decode_position
from laurelwind.state.directory import (
    LAPSE_GRACE_S,
    EndpointDirectory,
    EndpointRecord,
)
from laurelwind.state.leases import NEVER

# Wait of a read while a lapsed record is about to be removed.
LAPSED_WAIT_S: Final = 0.2
ENDPOINT_READER: Final = 'endpoints'


@frozen(kw_only=True)
class EndpointTrackerDependencies:
    """Collaborators of an EndpointTracker.

    :ivar store: the store to read.
    :ivar copy: copy of the topic that is served to peers.
    :ivar budget: budget for the age of the topic.
    :ivar documents: decodes documents.
    :ivar directory: directory of the endpoints.
    :ivar health: records failures and recoveries of store reads.
    :ivar log: the decision log.
    :ivar clock: clock of the copy, in seconds.
    """

    store: KeyedStore
    copy: TopicCopy
    budget: AgeBudget
    documents: DocumentCodec
    directory: EndpointDirectory
    health: ReaderHealth
    log: DecisionLog
    clock: Callable[[], float]


class EndpointTracker:
    """Reads the endpoints' topic into the directory.

    :param dependencies: collaborators.
    :ivar has_endpoints: whether the topic was read since the start.
    """

    def __init__(self, *, dependencies: EndpointTrackerDependencies) -> None:
        self.has_endpoints = False
        self._era: int | None = None
        self._restored_at = NEVER
        self._complete_at = NEVER
        self._next_offset = 0
        self._dependencies = dependencies
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes of the endpoints.

        :param listener: called after each change.
        """
        self._listeners.append(listener)

    async def run(self) -> None:
        """Read the topic until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_expiry)
            await self._run_reads()

    async def _run_reads(self) -> None:
        reader = TopicReader(
            store=self._dependencies.store,
            topic=Topic.ENDPOINTS,
            copy=self._dependencies.copy,
            clock=self._dependencies.clock,
        )
        backoff = Backoff()
        budget = self._dependencies.budget
        while True:
            has_lapsed = self._dependencies.directory.has_lapsed_records
            wait_s = LAPSED_WAIT_S if has_lapsed else budget.direct_wait_s
            try:
                batch = await reader.read(wait_s=wait_s)
            except PlatformError as error:
                self._dependencies.health.record_failure(ENDPOINT_READER, error)
                await backoff.wait()
                continue
            backoff.reset()
            self._dependencies.health.record_recovery(ENDPOINT_READER)
            self._apply_endpoints(batch, is_snapshot=reader.was_snapshot)
            self._complete_at = reader.as_of
            self.has_endpoints = True
            has_store_changes = bool(batch.records) and not batch.is_copy
            if (
                has_store_changes
                and not self._dependencies.directory.has_lapsed_records
            ):
                # One by one, the changes of many endpoints would wake every
                # daemon of the fleet.
                await anyio.sleep(budget.coalescing_s)

    def _apply_endpoints(self, batch: Batch, *, is_snapshot: bool) -> None:
        directory = self._dependencies.directory
        self._detect_restore(batch)
        self._next_offset = batch.next_offset
        grace_until = self._compute_lapse_deadline()
        previous_changes = directory.changes
        # What is new was written after the last complete read.
        max_age_s = self._dependencies.clock() - self._complete_at
        for record in batch.records:
            directory.apply(
                record.key,
                self._decode_endpoint(record),
                offset=record.offset,
                grace_until=grace_until,
                max_age_s=max_age_s,
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
        directory.expire(self._dependencies.clock())
        if directory.changes != previous_changes:
            self._report_changes()

    async def _run_expiry(self) -> None:
        """Drop records whose grace period ends while a read is open."""
        while True:
            await anyio.sleep(self._dependencies.budget.expiry_period_s)
            if self._dependencies.directory.expire(self._dependencies.clock()):
                self._report_changes()

    def _report_changes(self) -> None:
        self._dependencies.log.log_warning(
            'endpoints_changed',
            offset=decode_position(self._next_offset).offset,
            ready=self._dependencies.directory.count_ready(),
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

    def _detect_restore(self, batch: Batch) -> None:
        era = decode_position(batch.next_offset).era
        if self._era is not None and era > self._era:
            self._restored_at = self._dependencies.clock()
        self._era = era

    def _compute_lapse_deadline(self) -> float | None:
        """Return until when a removed record is retained.

        Records that lapsed during an outage, or that a restored store lacks,
        return until then if their endpoints are alive. A removal may be as old
        as the last complete read before it, and the bound of a leaving endpoint
        counts from there; after an outage of the local daemon, from its end.
        """
        now = self._dependencies.clock()
        max_age_s = self._dependencies.budget.max_age_s
        failing_at = self._dependencies.health.get_last_failing_time(
            ENDPOINT_READER
        )
        removable_at = self._complete_at
        if now - removable_at > max_age_s:
            removable_at = max(failing_at, removable_at)
        deadline = min(
            max(failing_at, self._restored_at) + LAPSE_GRACE_S,
            removable_at + max_age_s,
        )
        return deadline if deadline > now else None
