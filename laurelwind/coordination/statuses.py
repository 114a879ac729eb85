"""Exchanges statuses and reports of roll-outs through the store."""

from collections.abc import Callable, Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.copies import TopicCopy
from laurelwind.coordination.reading import Backoff, ReaderHealth, TopicReader
from laurelwind.coordination.rollouts import RolloutBook
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ConfigurationError, PlatformError
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed import KeyedRecord, KeyedStore, Topic
from laurelwind.protocol.platform import ListedInstance

STATUS_PERIOD_S: Final = 0.9
# The same while no version is tried yet.
CALM_PERIOD_S: Final = 2.0
# Tries to write a status while others write too, before the next period.
STATUS_TRIES: Final = 4
# A daemon that reads statuses from another one reads more often, since what
# it reads is late by up to the other's period already.
COPY_PERIOD_SHARE: Final = 0.5
STATUSES: Final = 'statuses'


@frozen(kw_only=True)
class StatusParts:
    """What an exchange of statuses works with.

    :ivar store: the store.
    :ivar documents: decodes and encodes documents.
    :ivar rollouts: the roll-outs.
    :ivar log: where decisions are written.
    :ivar list_members: gives the daemons that are alive, by name.
    :ivar copy: holds what is read, for other daemons.
    """

    store: KeyedStore
    documents: DocumentCodec
    rollouts: RolloutBook
    log: DecisionLog
    list_members: Callable[[], Sequence[ListedInstance]]
    copy: TopicCopy


class StatusExchange:
    """Reads and writes statuses while a roll-out is under way.

    :param own: this daemon, as the others see it.
    :param parts: what it works with.
    :param health: notes whether the store answers.
    """

    def __init__(
        self, *, own: ListedInstance, parts: StatusParts, health: ReaderHealth
    ) -> None:
        self._own = own
        self._parts = parts
        self._health = health
        self._rejected = anyio.Event()
        parts.rollouts.add_listener(self._note_rejection)

    def start(self, group: TaskGroup) -> None:
        """Begin to follow statuses.

        :param group: the daemon's tasks.
        """
        group.start_soon(self._follow)

    async def _follow(self) -> None:
        reader = TopicReader(
            store=self._parts.store, topic=Topic.STATUS, copy=self._parts.copy
        )
        backoff = Backoff()
        while True:
            if not self._parts.rollouts.has_unsettled:
                await anyio.sleep(STATUS_PERIOD_S)
                continue
            try:
                self._rejected = anyio.Event()
                is_copy = await self._exchange_statuses(reader)
            except PlatformError as error:
                self._health.record_failure(STATUSES, error)
                await backoff.wait()
                continue
            backoff.reset()
            self._health.record_recovery(STATUSES)
            with anyio.move_on_after(self._find_period(is_copy=is_copy)):
                await self._rejected.wait()

    def _find_period(self, *, is_copy: bool) -> float:
        is_trying = self._parts.rollouts.is_trying
        period_s = STATUS_PERIOD_S if is_trying else CALM_PERIOD_S
        return period_s * COPY_PERIOD_SHARE if is_copy else period_s

    async def _exchange_statuses(self, reader: TopicReader) -> bool:
        """Read and write once; true where another daemon was read."""
        is_copy = False
        for number in range(STATUS_TRIES):
            # What another daemon holds may end before the topic does, and
            # then a condition fails.
            batch = await reader.read(is_strict=number > 0)
            is_copy = is_copy or batch.is_copy
            for record in batch.records:
                self._take_status_record(record)
            self._parts.rollouts.note_read(reader.age_s)
            if await self._write_statuses(batch.next_offset):
                break
        await self._write_reports()
        return is_copy

    def _take_status_record(self, record: KeyedRecord) -> None:
        if record.body is None:
            return
        documents = self._parts.documents
        rollouts = self._parts.rollouts
        kind = documents.tell_kind(Topic.STATUS, record.key)
        try:
            if kind is DocumentKind.ROLLOUT_STATUS:
                rollouts.take_status(
                    *documents.decode_status(record.key, record.body)
                )
            elif kind is DocumentKind.ROLLOUT_REPORT:
                rollouts.take_report(
                    *documents.decode_report(record.key, record.body)
                )
        except ConfigurationError as error:
            self._parts.log.warning(
                'document_unreadable', key=record.key, reason=error.message
            )

    async def _write_reports(self) -> None:
        documents = self._parts.documents
        rollouts = self._parts.rollouts
        for service, report in rollouts.list_reports(self._find_rank()):
            key, body = documents.encode_report(service, self._own.name, report)
            await self._parts.store.write(Topic.STATUS, key, body)

    async def _write_statuses(self, end: int) -> bool:
        """Write what is due; false where others wrote meanwhile."""
        rollouts = self._parts.rollouts
        for service, status in rollouts.list_statuses(self._find_rank()):
            key, body = self._parts.documents.encode_status(service, status)
            is_written = await self._parts.store.write(
                Topic.STATUS, key, body, expected_end=end
            )
            self._parts.log.warning(
                'rollout_status_written',
                service=service,
                target=status.target,
                state=status.state,
                is_written=is_written,
            )
            if not is_written:
                return False
            end += 1
            rollouts.take_status(service, status)
        return True

    def _find_rank(self) -> int:
        return self._parts.list_members().index(self._own)

    def _note_rejection(self) -> None:
        self._rejected.set()
