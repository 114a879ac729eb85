"""What a daemon holds of a topic, for other daemons to read."""

from collections.abc import Callable
from typing import Final

import anyio

from laurelwind.errors import ErrorKind
from laurelwind.protocol.keyed import (
    Batch,
    CopyTooOldError,
    HistoryLostError,
    KeyedRecord,
    Topic,
)
from laurelwind.state.leases import NEVER, read_boot_clock

# Age from which a copy is of no use to others, where nothing else is said:
# together with one read of the store it stays under the two seconds in which
# changes must be in force.
MOST_AGE_S: Final = 1.6


class TopicCopy:
    """The newest record of each key of a topic, and how old that is.

    :param clock: gives seconds, also while the machine is suspended.
    :param most_age_s: age from which it is of no use to others.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = read_boot_clock,
        most_age_s: float = MOST_AGE_S,
    ) -> None:
        self._clock = clock
        self._most_age_s = most_age_s
        self._records: dict[str, KeyedRecord] = {}
        self._first_offset = 0
        self._next_offset = 0
        self._as_of = NEVER
        self._changed = anyio.Event()

    @property
    def age_s(self) -> float:
        """Seconds since the copy was certainly complete."""
        return self._clock() - self._as_of

    def take(self, batch: Batch, *, is_whole: bool, as_of: float) -> None:
        """Take in what was read.

        :param batch: the records.
        :param is_whole: whether they are the newest of all keys, so that keys
            that were dropped before them are not known.
        :param as_of: when they were certainly complete, on the clock.
        """
        if is_whole:
            self._records = {}
            self._first_offset = batch.next_offset
        self._records.update({found.key: found for found in batch.records})
        self._next_offset = batch.next_offset
        self._as_of = max(self._as_of, as_of)
        if batch.records or is_whole:
            self._changed.set()
            self._changed = anyio.Event()

    async def read_after(self, offset: int, *, wait_s: float) -> Batch:
        """Read records from an offset on, as soon as there is one.

        :param offset: where to begin.
        :param wait_s: how long to wait for a first record.
        :raises HistoryLostError: when not every change since is known.
        :raises CopyTooOldError: when the copy is too old.
        """
        begun_at = self._clock()
        if self._next_offset <= offset:
            with anyio.move_on_after(
                min(wait_s, self._most_age_s - self.age_s)
            ):
                await self._changed.wait()
        if self.age_s > self._most_age_s:
            raise CopyTooOldError(
                ErrorKind.LOG_UNAVAILABLE, 'the copy is too old'
            )
        if offset < self._first_offset:
            raise HistoryLostError
        records = [
            found for found in self._records.values() if found.offset >= offset
        ]
        records.sort(key=lambda found: found.offset)
        return Batch(
            records=records,
            next_offset=max(self._next_offset, offset),
            lag_s=self.age_s - (self._clock() - begun_at),
        )


TopicCopies = dict[Topic, TopicCopy]
