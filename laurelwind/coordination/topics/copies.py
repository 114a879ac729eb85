"""In-memory copies of topics that a daemon serves to its peers."""

from collections.abc import Callable, Iterator, Sequence
from typing import Final

import anyio

from laurelwind.coordination.topics.budgets import AgeBudget, TopicBudgets
from laurelwind.errors import ErrorKind
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    StaleCopyError,
    Topic,
)
from laurelwind.state.leases import NEVER, read_boot_clock

# Removals that are kept for readers that have not seen them.
MAX_REMOVED: Final = 4096


class TopicCopy:
    """The newest record of each key of a topic, with the age of the copy.

    :param budget: tells the age above which reads are refused.
    :param clock: clock in seconds that also advances during suspend.
    """

    def __init__(
        self,
        *,
        budget: AgeBudget,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._records: dict[str, KeyedRecord] = {}
        # Removals, oldest first.
        self._removed: dict[str, KeyedRecord] = {}
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
        was_stale = self.age_s > self._budget.copy_age_s
        if is_snapshot:
            self._records = {}
            self._removed = {}
            self._first_offset = batch.next_offset
        for record in batch.records:
            self._apply_record(record)
        self._next_offset = batch.next_offset
        self._as_of = max(self._as_of, as_of)
        if batch.records or is_snapshot or was_stale:
            self._changed.set()
            self._changed = anyio.Event()

    async def read_after(
        self,
        offset: int | None,
        *,
        wait_s: float = 0,
        refresh_wait_s: float = 0,
    ) -> Batch:
        """Return the records from an offset on, waiting for a first one.

        :param offset: first offset to return, or ``None`` for the newest
            record of each key.
        :param wait_s: longest wait in seconds for a first record.
        :param refresh_wait_s: longest wait in seconds for a copy that is too
            old to be refreshed.
        :raises HistoryLostError: when changes since the offset are missing.
        :raises StaleCopyError: when the copy exceeds its maximum age.
        """
        started_at = self._clock()
        max_age_s = self._budget.copy_age_s
        if self.age_s > max_age_s:
            # Readers see at once when the store is back.
            await self._wait_for_change(refresh_wait_s)
        elif offset is not None and self._next_offset <= offset:
            await self._wait_for_change(min(wait_s, max_age_s - self.age_s))
        if self.age_s > max_age_s:
            raise StaleCopyError(
                ErrorKind.LOG_UNAVAILABLE,
                f'the copy is {self.age_s:.1f} s old, the limit is '
                f'{max_age_s:.1f} s',
            )
        return Batch(
            records=self._list_records(offset),
            next_offset=max(self._next_offset, offset or 0),
            lag_s=started_at - self._as_of,
        )

    def _apply_record(self, record: KeyedRecord) -> None:
        self._records.pop(record.key, None)
        self._removed.pop(record.key, None)
        if record.body is not None:
            self._records[record.key] = record
            return
        self._removed[record.key] = record
        if len(self._removed) > MAX_REMOVED:
            oldest = self._removed.pop(next(iter(self._removed)))
            # Readers that miss this removal read all records anew.
            self._first_offset = max(self._first_offset, oldest.offset + 1)

    async def _wait_for_change(self, wait_s: float) -> None:
        with anyio.move_on_after(wait_s):
            await self._changed.wait()

    def _iterate_all(self) -> Iterator[KeyedRecord]:
        yield from self._records.values()
        yield from self._removed.values()

    def _list_records(self, offset: int | None) -> Sequence[KeyedRecord]:
        if offset is None:
            records = list(self._records.values())
        elif offset < self._first_offset:
            raise HistoryLostError
        else:
            records = [
                record
                for record in self._iterate_all()
                if record.offset >= offset
            ]
        records.sort(key=lambda record: record.offset)
        return records


TopicCopies = dict[Topic, TopicCopy]


def build_topic_copies(
    budgets: TopicBudgets, clock: Callable[[], float]
) -> TopicCopies:
    """Build the copies that a daemon serves to its peers, one for each topic.

    :param budgets: budget of each topic.
    :param clock: clock in seconds that also advances during suspend.
    """
    return {
        topic: TopicCopy(budget=budget, clock=clock)
        for topic, budget in budgets.items()
    }
