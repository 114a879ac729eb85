"""Exchange of roll-out statuses and reports through the store."""

from collections.abc import Callable, Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.topics.copies import TopicCopy
from laurelwind.coordination.topics.readers import (
    Backoff,
    ReaderHealth,
    TopicReader,
)
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ConfigurationError, PlatformError
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed_store import KeyedRecord, KeyedStore, Topic
from laurelwind.protocol.platform import ListedInstance

STATUS_PERIOD_S: Final = 0.9
# The period while no target version is in use.
IDLE_PERIOD_S: Final = 1.4
# Attempts per period to write statuses while other daemons write too.
MAX_WRITE_ATTEMPTS: Final = 4
# Factor of the period for a daemon that reads statuses from a peer. It reads
# more often, since the copy lags by up to the period of that peer.
COPY_PERIOD_FACTOR: Final = 0.5
STATUS_READER: Final = 'statuses'


@frozen(kw_only=True)
class StatusDependencies:
    """Collaborators of a StatusExchange.

    :ivar store: the store of statuses and reports.
    :ivar documents: decodes and encodes documents.
    :ivar rollouts: state of the roll-outs.
    :ivar log: the decision log.
    :ivar list_members: returns the live daemons, ordered by name.
    :ivar copy: copy of the topic that is served to peers.
    """

    store: KeyedStore
    documents: DocumentCodec
    rollouts: RolloutRegistry
    log: DecisionLog
    list_members: Callable[[], Sequence[ListedInstance]]
    copy: TopicCopy


class StatusExchange:
    """Reads and writes statuses while a roll-out is in progress.

    :param local_instance: member record of the local daemon.
    :param dependencies: collaborators.
    :param health: records failures and recoveries of store reads.
    """

    def __init__(
        self,
        *,
        local_instance: ListedInstance,
        dependencies: StatusDependencies,
        health: ReaderHealth,
    ) -> None:
        self._local_instance = local_instance
        self._dependencies = dependencies
        self._health = health
        self._rejection = anyio.Event()
        dependencies.rollouts.add_listener(self._handle_rejection)

    def start(self, group: TaskGroup) -> None:
        """Start exchanging statuses.

        :param group: task group in which the exchange runs.
        """
        group.start_soon(self._run)

    async def _run(self) -> None:
        reader = TopicReader(
            store=self._dependencies.store,
            topic=Topic.STATUS,
            copy=self._dependencies.copy,
        )
        backoff = Backoff()
        while True:
            if not self._dependencies.rollouts.has_unsettled:
                await anyio.sleep(STATUS_PERIOD_S)
                continue
            try:
                self._rejection = anyio.Event()
                is_copy = await self._exchange_statuses(reader)
            except PlatformError as error:
                self._health.record_failure(STATUS_READER, error)
                await backoff.wait()
                continue
            backoff.reset()
            self._health.record_recovery(STATUS_READER)
            with anyio.move_on_after(self._compute_period(is_copy=is_copy)):
                await self._rejection.wait()

    def _compute_period(self, *, is_copy: bool) -> float:
        is_target_in_use = self._dependencies.rollouts.is_target_in_use
        period_s = STATUS_PERIOD_S if is_target_in_use else IDLE_PERIOD_S
        return period_s * COPY_PERIOD_FACTOR if is_copy else period_s

    async def _exchange_statuses(self, reader: TopicReader) -> bool:
        """Read and write once; return whether a peer was read."""
        is_copy = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            # A peer's copy may lag behind the end of the topic, and then the
            # conditional write fails.
            batch = await reader.read(is_strict=attempt > 0)
            is_copy = is_copy or batch.is_copy
            for record in batch.records:
                self._apply_status_record(record)
            self._dependencies.rollouts.record_read(reader.age_s)
            if await self._write_decisions(batch.next_offset):
                break
        await self._write_reports()
        return is_copy

    def _apply_status_record(self, record: KeyedRecord) -> None:
        if record.body is None:
            return
        documents = self._dependencies.documents
        rollouts = self._dependencies.rollouts
        kind = documents.get_kind(Topic.STATUS, record.key)
        try:
            if kind is DocumentKind.ROLLOUT_STATUS:
                rollouts.apply_status(
                    *documents.decode_status(record.key, record.body)
                )
            elif kind is DocumentKind.ROLLOUT_SHIFT:
                rollouts.apply_shift(
                    *documents.decode_shift(record.key, record.body)
                )
            elif kind is DocumentKind.ROLLOUT_REPORT:
                rollouts.apply_report(
                    *documents.decode_report(record.key, record.body)
                )
        except ConfigurationError as error:
            self._dependencies.log.log_warning(
                'document_unreadable', key=record.key, reason=error.message
            )

    async def _write_reports(self) -> None:
        documents = self._dependencies.documents
        rollouts = self._dependencies.rollouts
        for service, report in rollouts.collect_due_reports(self._get_rank()):
            key, body = documents.encode_report(
                service, self._local_instance.name, report
            )
            await self._dependencies.store.write(Topic.STATUS, key, body)

    async def _write_decisions(self, expected_end_offset: int) -> bool:
        """Write due statuses and shifts; return ``False`` on a conflict."""
        rollouts = self._dependencies.rollouts
        documents = self._dependencies.documents
        rank = self._get_rank()
        for service, status in rollouts.list_due_statuses(rank):
            document = documents.encode_status(service, status)
            if not await self._write_decision(document, expected_end_offset):
                return False
            expected_end_offset += 1
            rollouts.apply_status(service, status)
        for service, shift in rollouts.list_due_shifts(rank):
            document = documents.encode_shift(service, shift)
            if not await self._write_decision(document, expected_end_offset):
                return False
            expected_end_offset += 1
            rollouts.apply_shift(service, shift)
        return True

    async def _write_decision(
        self, document: tuple[str, bytes], expected_end_offset: int
    ) -> bool:
        """Write a decision unless another daemon has written meanwhile."""
        key, body = document
        is_written = await self._dependencies.store.write(
            Topic.STATUS, key, body, expected_end_offset=expected_end_offset
        )
        self._dependencies.log.log_warning(
            'rollout_decision_written',
            key=key,
            decision=body.decode(),
            is_written=is_written,
        )
        return is_written

    def _get_rank(self) -> int:
        return self._dependencies.list_members().index(self._local_instance)

    def _handle_rejection(self) -> None:
        self._rejection.set()
