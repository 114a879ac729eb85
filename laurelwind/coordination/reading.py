"""Reads topics of the store on, and waits after failures."""

import random
from collections.abc import Callable
from typing import Final

import anyio

from laurelwind.coordination.copies import TopicCopy
from laurelwind.decisions import DecisionLog
from laurelwind.errors import PlatformError
from laurelwind.protocol.keyed import Batch, HistoryLostError, KeyedStore, Topic
from laurelwind.state.leases import NEVER, read_boot_clock
from laurelwind.state.load import read_clock

FIRST_PAUSE_S: Final = 0.05
LONGEST_PAUSE_S: Final = 0.6


class Pause:
    """Waits longer after each failure in a row."""

    def __init__(self) -> None:
        self._seconds = FIRST_PAUSE_S

    def reset(self) -> None:
        """Begin anew after a success."""
        self._seconds = FIRST_PAUSE_S

    async def wait(self) -> None:
        """Wait."""
        await anyio.sleep(self._seconds * random.uniform(0.5, 1))
        self._seconds = min(self._seconds * 2, LONGEST_PAUSE_S)


class TopicReader:
    """Reads a topic on, from its newest records where history is lost.

    :param store: where it reads.
    :param topic: what it reads.
    :param copy: what it has read, for others, or ``None``.
    :param clock: gives seconds, also while the machine is suspended.
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
        self.was_whole = False
        self.as_of = NEVER

    async def peek(self) -> Batch:
        """Read what is new without passing it.

        :raises HistoryLostError: when it is not known from where.
        """
        if self._offset is None:
            raise HistoryLostError
        return await self._store.read_after(
            self._topic, self._offset, is_strict=True
        )

    async def read(
        self, *, wait_s: float = 0, is_strict: bool = False
    ) -> Batch:
        """Read what is new.

        :param wait_s: how long to wait for a first record.
        :param is_strict: whether everything is wanted that was written before.
        """
        begun_at = self._clock()
        batch = await self._read(wait_s, is_strict=is_strict)
        self._offset = batch.next_offset
        self.as_of = begun_at - batch.lag_s
        if self._copy is not None:
            self._copy.take(batch, is_whole=self.was_whole, as_of=self.as_of)
        return batch

    @property
    def age_s(self) -> float:
        """Seconds since what was read was certainly complete."""
        return self._clock() - self.as_of

    async def _read(self, wait_s: float, *, is_strict: bool) -> Batch:
        self.was_whole = self._offset is None
        if self._offset is None:
            return await self._store.read_newest(self._topic)
        try:
            return await self._store.read_after(
                self._topic, self._offset, wait_s=wait_s, is_strict=is_strict
            )
        except HistoryLostError:
            self.was_whole = True
            return await self._store.read_newest(self._topic)


class ReaderHealth:
    """Knows which readers of the store fail, and since when.

    :param log: where decisions are written.
    """

    def __init__(self, *, log: DecisionLog) -> None:
        self._log = log
        self._lost: set[str] = set()
        self._troubled_at: dict[str, float] = {}

    def find_trouble(self, reader: str) -> float:
        """Give the last moment at which a reader had failed.

        :param reader: name of the reader.
        """
        return self._troubled_at.get(reader, float('-inf'))

    def note_lost(self, reader: str, error: PlatformError) -> None:
        """Note that a reader failed.

        :param reader: name of the reader.
        :param error: why.
        """
        self._troubled_at[reader] = read_clock()
        if reader not in self._lost:
            self._lost.add(reader)
            self._log.warning('store_lost', reader=reader, reason=error.message)

    def note_regained(self, reader: str) -> None:
        """Note that a reader succeeded.

        :param reader: name of the reader.
        """
        if reader in self._lost:
            self._lost.remove(reader)
            self._troubled_at[reader] = read_clock()
            self._log.warning('store_regained', reader=reader)
