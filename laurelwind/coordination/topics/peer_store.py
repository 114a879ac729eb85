"""Reads topics from a peer instead of from the store.

Every read of the store is billed, and the store limits the total read rate.
In a large zone a few daemons (the sources) read the store, and the others read
the copies that these hold.  Each answer carries the age of its copy, so a
daemon can bound the age of its data as exactly as with a read of the store.

A daemon that gets no copy that is recent by its own settings reads the store
itself before its budget for the age of the topic is spent, whatever the state
of its sources.  Only a failed call of its own makes it put off its next ones;
it then reads the copy of any daemon that has a recent one.
"""

from typing import Final

from laurelwind.coordination.topics.budgets import AgeBudget
from laurelwind.coordination.topics.peer_reads import (
    PeerReadDependencies,
    PeerReader,
    TopicRead,
)
from laurelwind.coordination.topics.read_ages import ReadAges
from laurelwind.coordination.topics.store_probes import StoreProbes
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedStore,
    StaleCopyError,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance

# Seconds between the calls of a source to a store that fails it.
SOURCE_PROBE_S: Final = 0.25
# The same in zones where all daemons read the store.
DIRECT_PROBE_S: Final = 0.5
# The same for the other daemons. They keep asking the sources, which notice
# first that the store is back.
STORE_RETRY_S: Final = 3.0


class PeerReadingStore(KeyedStore):
    """A store whose topics are read from a peer where possible.

    :param local_instance: member record of the local daemon.
    :param store: the underlying store.
    :param dependencies: collaborators for reads of peers.
    """

    def __init__(
        self,
        *,
        local_instance: ListedInstance,
        store: KeyedStore,
        dependencies: PeerReadDependencies,
    ) -> None:
        self._store = store
        self._budgets = dependencies.budgets
        self._clock = dependencies.clock
        self._log = dependencies.log
        self._peers = PeerReader(
            local_instance=local_instance, dependencies=dependencies
        )
        self._probes = StoreProbes(clock=dependencies.clock)
        self._ages = ReadAges(clock=dependencies.clock)

    async def read_newest(self, topic: Topic) -> Batch:
        """Read the newest record of each key; see :class:`KeyedStore`."""
        return await self._read(self._begin(topic, None, 0))

    async def read_after(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float = 0,
        is_strict: bool = False,
    ) -> Batch:
        """Read records from an offset on; see :class:`KeyedStore`."""
        read = self._begin(topic, offset, wait_s)
        if is_strict:
            return await self._read_store(read, wait_s)
        return await self._read(read)

    async def read_copy(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float,
        asks_anyone: bool = False,
    ) -> Batch | None:
        """Read the copy of a source, or of any daemon.

        :param topic: topic to read.
        :param offset: offset of the first record.
        :param wait_s: longest wait for the first record.
        :param asks_anyone: whether to ask other daemons if no source has a
            recent copy.
        :returns: ``None`` if no daemon that was asked has a recent copy.
        :raises HistoryLostError: if the copy misses records from the offset.
        """
        read = self._begin(topic, offset, wait_s)
        ends_at = read.started_at + wait_s
        batch = await self._peers.read_sources(
            read, leave_at=ends_at, read_at=ends_at
        )
        if batch is None and asks_anyone:
            return await self._peers.read_anyone(
                read, leave_at=ends_at, recovery_wait_s=0
            )
        return batch

    async def write(
        self,
        topic: Topic,
        key: str,
        body: bytes,
        *,
        expected_end_offset: int | None = None,
    ) -> bool:
        """Write a record; see :class:`KeyedStore`."""
        return await self._store.write(
            topic, key, body, expected_end_offset=expected_end_offset
        )

    def _begin(
        self, topic: Topic, offset: int | None, wait_s: float
    ) -> TopicRead:
        self._peers.update_order()
        return TopicRead(
            topic=topic, offset=offset, wait_s=wait_s, started_at=self._clock()
        )

    async def _read(self, read: TopicRead) -> Batch:
        budget = self._budgets[read.topic]
        self._ages.record_start(read.topic, budget.copy_age_s)
        try:
            batch = await self._read_before(read, budget)
        finally:
            self._ages.record_end(read.topic)
        self._report_age(read.topic)
        self._ages.record_success(read.topic, read.started_at - batch.lag_s)
        return batch

    async def _read_before(self, read: TopicRead, budget: AgeBudget) -> Batch:
        """Read from a peer or the store before the budget is spent."""
        base = self._ages.get_base(read.topic)
        leave_at = base + budget.leave_age_s
        place = self._peers.order.relative_position
        try:
            batch = await self._peers.read_sources(
                read,
                leave_at=leave_at,
                read_at=base + budget.compute_read_age(place),
            )
        except HistoryLostError:
            # The source is sound, and the newest records are read from it next.
            self._ages.restart(read.topic, budget.copy_age_s)
            raise
        if batch is None:
            return await self._read_store_or_anyone(read, leave_at)
        return batch

    def _report_age(self, topic: Topic) -> None:
        age_s = self._clock() - self._ages.get_base(topic)
        limit_s = self._budgets[topic].max_age_s
        if age_s > limit_s:
            self._log.log_warning(
                'topic_overdue',
                topic=topic.value,
                age_s=round(age_s, 2),
                limit_s=limit_s,
            )

    async def _read_store_or_anyone(
        self, read: TopicRead, leave_at: float
    ) -> Batch:
        try:
            return await self._read_store(read, self._compute_wait(read))
        except PlatformError:
            answers_before = self._peers.answers
            # The store may fail only this daemon.
            batch = await self._peers.read_anyone(
                read,
                leave_at=leave_at,
                recovery_wait_s=self._probes.due_in_s,
            )
            if batch is None:
                if self._peers.answers == answers_before:
                    # Nobody else notices that the store is back.
                    self._probes.end_delay()
                raise
            return batch

    async def _read_store(self, read: TopicRead, wait_s: float) -> Batch:
        if not self._probes.is_allowed(read.topic):
            due_in_s = round(self._probes.due_in_s, 1)
            raise StaleCopyError(
                ErrorKind.LOG_UNAVAILABLE,
                'no source has a recent copy, and the store, which failed, is '
                f'called again in {due_in_s} s',
            )
        begun_at = self._clock()
        try:
            with self._probes.hold():
                batch = await self._call_store(read, wait_s)
        except HistoryLostError:
            # An answer all the same; the newest records are read next.
            self._probes.record_success()
            raise
        except PlatformError:
            self._probes.record_failure(read.topic, self._get_probe_period())
            raise
        self._probes.record_success()
        return read.shift(batch, begun_at)

    def _get_probe_period(self) -> float:
        order = self._peers.order
        if order.is_source:
            return SOURCE_PROBE_S
        return DIRECT_PROBE_S if order.reads_directly else STORE_RETRY_S

    async def _call_store(self, read: TopicRead, wait_s: float) -> Batch:
        if read.offset is None:
            return await self._store.read_newest(read.topic)
        return await self._store.read_after(
            read.topic, read.offset, wait_s=wait_s
        )

    def _compute_wait(self, read: TopicRead) -> float:
        """Return the longest wait of a read of the store."""
        budget = self._budgets[read.topic]
        age_s = self._clock() - self._ages.get_base(read.topic)
        if self._peers.order.reads_directly:
            return min(read.wait_s, budget.limit_direct_wait(age_s))
        # Others wait for the result, and further reads may have to follow.
        if self._peers.list_sources(read.topic) or not self._probes.is_healthy:
            return 0
        return min(read.wait_s, budget.limit_source_wait(age_s))
