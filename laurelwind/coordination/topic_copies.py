"""In-memory copies of topics that a daemon serves to its peers."""

from collections.abc import Callable
from typing import Final

import anyio

from laurelwind.errors import ErrorKind
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    StaleCopyError,
    Topic,
)
from laurelwind.state.leases import NEVER, read_boot_clock

# Default maximum age of a copy that is served to peers. Together with one read
# of the store it stays below the two seconds within which changes must take
# effect.
MAX_AGE_S: Final = 1.6


class TopicCopy:
    """The newest record of each key of a topic, with the age of the copy.

    :param clock: clock in seconds that also advances during suspend.
    :param max_age_s: age in seconds above which reads are refused.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = read_boot_clock,
        max_age_s: float = MAX_AGE_S,
    ) -> None:
        self._clock = clock
        self._max_age_s = max_age_s
        self._records: dict[str, KeyedRecord] = {}
        self._first_offset = 0
        self._next_offset = 0
        self._as_of = NEVER
        self._changed = anyio.Event()

    @property
    def age_s(self) -> float:
        """Seconds since the copy was last known to be complete."""
        return self._clock() - self._as_of

    def apply_batch(
        self, batch: Batch, *, is_snapshot: bool, as_of: float
    ) -> None:
        """Apply a batch of records that was read.

        :param batch: the records.
        :param is_snapshot: whether the batch holds the newest record of every
            key; keys that were deleted earlier are missing from it.
        :param as_of: clock time at which the batch was known to be complete.
        """
        if is_snapshot:
            self._records = {}
            self._first_offset = batch.next_offset
        self._records.update({record.key: record for record in batch.records})
        self._next_offset = batch.next_offset
        self._as_of = max(self._as_of, as_of)
        if batch.records or is_snapshot:
            self._changed.set()
            self._changed = anyio.Event()

    async def read_after(self, offset: int, *, wait_s: float) -> Batch:
        """Return the records from an offset on, waiting for a first one.

        :param offset: first offset to return.
        :param wait_s: longest wait in seconds for a first record.
        :raises HistoryLostError: when changes since the offset are missing.
        :raises StaleCopyError: when the copy exceeds its maximum age.
        """
        started_at = self._clock()
        if self._next_offset <= offset:
            with anyio.move_on_after(min(wait_s, self._max_age_s - self.age_s)):
                await self._changed.wait()
        if self.age_s > self._max_age_s:
            raise StaleCopyError(
                ErrorKind.LOG_UNAVAILABLE, 'topic copy exceeds its maximum age'
            )
        if offset < self._first_offset:
            raise HistoryLostError
        records = [
            record
            for record in self._records.values()
            if record.offset >= offset
        ]
        records.sort(key=lambda record: record.offset)
        return Batch(
            records=records,
            next_offset=max(self._next_offset, offset),
            lag_s=self.age_s - (self._clock() - started_at),
        )


TopicCopies = dict[Topic, TopicCopy]
