"""Incremental reads of the store's topics, with back-off after failures."""

import random
from collections.abc import Callable
from typing import Final

import anyio

from laurelwind.coordination.topics.copies import TopicCopy
from laurelwind.decisions import DecisionLog
from laurelwind.errors import PlatformError
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedStore,
    Topic,
)
from laurelwind.state.leases import NEVER, read_boot_clock

INITIAL_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 0.6


class Backoff:
    """Exponential back-off with jitter between consecutive failures."""

    def __init__(self) -> None:
        self._delay_s = INITIAL_BACKOFF_S

    def reset(self) -> None:
        """Return to the initial delay after a success."""
        self._delay_s = INITIAL_BACKOFF_S

    async def wait(self) -> None:
        """Sleep for the current delay, then double it up to the maximum."""
        await anyio.sleep(self._delay_s * random.uniform(0.5, 1))
        self._delay_s = min(self._delay_s * 2, MAX_BACKOFF_S)


class TopicReader:
    """Reads a topic incrementally; rereads the newest records on lost history.

    :param store: the store to read.
    :param topic: the topic to read.
    :param copy: receives every batch that was read, or ``None``.
    :param clock: clock in seconds that also advances during suspend.
    """

    def __init__(
        self,
        *,
        store: KeyedStore,
        topic: Topic,
        copy: TopicCopy | None = None,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._store = store
        self._topic = topic
        self._copy = copy
        self._clock = clock
        self._offset: int | None = None
        self.was_snapshot = False
        self.as_of = NEVER

    async def peek(self) -> Batch:
        """Read new records without advancing the offset.

        :raises HistoryLostError: when nothing has been read yet.
        """
        if self._offset is None:
            raise HistoryLostError
        return await self._store.read_after(
            self._topic, self._offset, is_strict=True
        )

    async def read(
        self, *, wait_s: float = 0, is_strict: bool = False
    ) -> Batch:
        """Read new records and advance the offset.

        :param wait_s: longest wait in seconds for a first record.
        :param is_strict: whether the result must include every record that was
            written before the call.
        """
        started_at = self._clock()
        batch = await self._read_batch(wait_s, is_strict=is_strict)
        self._offset = batch.next_offset
        self.as_of = started_at - batch.lag_s
        if self._copy is not None:
            self._copy.apply_batch(
                batch, is_snapshot=self.was_snapshot, as_of=self.as_of
            )
        return batch

    @property
    def age_s(self) -> float:
        """Seconds since the records were last known to be complete."""
        return self._clock() - self.as_of

    async def _read_batch(self, wait_s: float, *, is_strict: bool) -> Batch:
        self.was_snapshot = self._offset is None
        if self._offset is None:
            return await self._store.read_newest(self._topic)
        try:
            return await self._store.read_after(
                self._topic, self._offset, wait_s=wait_s, is_strict=is_strict
            )
        except HistoryLostError:
            self.was_snapshot = True
            return await self._store.read_newest(self._topic)


class ReaderHealth:
    """Tracks which readers of the store fail, and when they last failed.

    :param log: the decision log.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        log: DecisionLog,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._log = log
        self._clock = clock
        self._failing_readers: set[str] = set()
        self._last_failing_at: dict[str, float] = {}

    def get_last_failing_time(self, reader: str) -> float:
        """Return when a reader last failed, or ``-inf``.

        :param reader: name of the reader.
        """
        return self._last_failing_at.get(reader, NEVER)

    def record_failure(self, reader: str, error: PlatformError) -> None:
        """Record a failure and log the first in a row.

        :param reader: name of the reader.
        :param error: the failure.
        """
        self._last_failing_at[reader] = self._clock()
        if reader not in self._failing_readers:
            self._failing_readers.add(reader)
            self._log.log_warning(
                'store_lost', reader=reader, reason=error.message
            )

    def record_recovery(self, reader: str) -> None:
        """Record a success and log it when it ends a series of failures.

        :param reader: name of the reader.
        """
        if reader in self._failing_readers:
            self._failing_readers.remove(reader)
            self._log.log_warning('store_regained', reader=reader)
