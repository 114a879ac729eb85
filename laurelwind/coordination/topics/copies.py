"""In-memory copies of topics that a daemon serves to its peers."""

from collections.abc import Callable, Sequence
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
# Statuses are read rarely while no target version is in use. A copy of them
# stays younger than the three seconds after which target versions are no longer
# used.
MAX_STATUS_AGE_S: Final = 2.6
# Members are confirmed at each join. An older list only costs callers an
# attempt at a daemon that has gone.
MAX_MEMBERS_AGE_S: Final = 4.0


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
        was_stale = self._is_stale
        if is_snapshot:
            self._records = {}
            self._first_offset = batch.next_offset
        self._records.update({record.key: record for record in batch.records})
        self._next_offset = batch.next_offset
        self._as_of = max(self._as_of, as_of)
        if batch.records or is_snapshot or was_stale:
            self._changed.set()
            self._changed = anyio.Event()

    async def read_after(
        self, offset: int | None, *, wait_s: float = 0
    ) -> Batch:
        """Return the records from an offset on, waiting for a first one.

        A copy that is too old is waited for as well.

        :param offset: first offset to return, or ``None`` for the newest
            record of each key.
        :param wait_s: longest wait in seconds for a first record.
        :raises HistoryLostError: when changes since the offset are missing.
        :raises StaleCopyError: when the copy exceeds its maximum age.
        """
        started_at = self._clock()
        if self._is_stale:
            # Readers see at once when the store is back.
            await self._wait_for_change(wait_s)
        elif offset is not None and self._next_offset <= offset:
            await self._wait_for_change(
                min(wait_s, self._max_age_s - self.age_s)
            )
        if self._is_stale:
            raise StaleCopyError(
                ErrorKind.LOG_UNAVAILABLE, 'topic copy exceeds its maximum age'
            )
        return Batch(
            records=self._list_records(offset),
            next_offset=max(self._next_offset, offset or 0),
            lag_s=self.age_s - (self._clock() - started_at),
        )

    @property
    def _is_stale(self) -> bool:
        return self.age_s > self._max_age_s

    async def _wait_for_change(self, wait_s: float) -> None:
        with anyio.move_on_after(wait_s):
            await self._changed.wait()

    def _list_records(self, offset: int | None) -> Sequence[KeyedRecord]:
        if offset is None:
            records = [
                record
                for record in self._records.values()
                if record.body is not None
            ]
        elif offset < self._first_offset:
            raise HistoryLostError
        else:
            records = [
                record
                for record in self._records.values()
                if record.offset >= offset
            ]
        records.sort(key=lambda record: record.offset)
        return records


TopicCopies = dict[Topic, TopicCopy]


def build_topic_copies(clock: Callable[[], float]) -> TopicCopies:
    """Build the copies that a daemon serves to its peers, one for each topic.

    :param clock: clock in seconds that also advances during suspend.
    """
    return {
        Topic.OPERATORS: TopicCopy(clock=clock),
        Topic.ENDPOINTS: TopicCopy(clock=clock),
        Topic.STATUS: TopicCopy(clock=clock, max_age_s=MAX_STATUS_AGE_S),
        Topic.MEMBERS: TopicCopy(clock=clock, max_age_s=MAX_MEMBERS_AGE_S),
    }
