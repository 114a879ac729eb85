"""Reads topics from a peer instead of from the store.

Every read of the store is billed, and the store limits the total read rate.
In a large zone a few daemons (the sources) read the store, and the others read
the copies that these hold. Each answer carries the age of its copy, so a
daemon can bound the age of its data as exactly as with a read of the store.
A daemon reads the store itself only where no source has a recent copy. While
the store fails, sources probe it often, and all others seldom.
"""

from collections.abc import Callable, Sequence
from typing import Final

from laurelwind.coordination.topics.sources import StoreProbes, list_sources
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedStore,
    PeerTopics,
    StaleCopyError,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.load import read_monotonic_clock

# Longest wait of a source's read of the store, since peers wait for the result.
SOURCE_WAIT_S: Final = 0.6
# Longest wait of a read from a source. A source that freezes is detected after
# at most this wait plus the timeout of the call.
PEER_WAIT_S: Final = 1.2
# Seconds for which a source that did not answer is not read.
SOURCE_RETRY_S: Final = 2.0
# The same for a source that answered that its copy is too old.
STALE_RETRY_S: Final = 0.2
# Seconds between the calls of a source to a store that fails.
SOURCE_PROBE_S: Final = 0.25
# The same for the other daemons. They keep asking the sources, which notice
# first that the store is back.
STORE_RETRY_S: Final = 3.0
# Sources with an old copy from which a daemon concludes that the store fails.
MIN_STALE_SOURCES: Final = 2


class PeerReadingStore(KeyedStore):
    """A store whose topics are read from a peer where possible.

    :param local_instance: member record of the local daemon.
    :param store: the underlying store.
    :param peers: client for the topic copies of peers.
    :param list_members: returns all daemons, in the same order on every daemon.
    :param log: the decision log.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        local_instance: ListedInstance,
        store: KeyedStore,
        peers: PeerTopics,
        list_members: Callable[[], Sequence[ListedInstance]],
        log: DecisionLog,
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self._local_instance = local_instance
        self._store = store
        self._peers = peers
        self._list_members = list_members
        self._log = log
        self._members: Sequence[ListedInstance] = ()
        self._sources: Sequence[ListedInstance] = ()
        self._clock = clock
        self._probes = StoreProbes(clock=clock)
        # Whether the last source that answered had a copy that was too old.
        self._is_source_stale: dict[Topic, bool] = {}
        self._retry_at: dict[tuple[str, Topic], float] = {}

    async def read_newest(self, topic: Topic) -> Batch:
        """Read the newest record of each key; see :class:`KeyedStore`."""
        return await self._read(topic, None, 0)

    async def read_after(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float = 0,
        is_strict: bool = False,
    ) -> Batch:
        """Read records from an offset on; see :class:`KeyedStore`."""
        if is_strict:
            return await self._read_store(
                topic, offset, wait_s=wait_s, period_s=STORE_RETRY_S
            )
        return await self._read(topic, offset, wait_s)

    async def read_copy(
        self, topic: Topic, offset: int | None, wait_s: float = 0
    ) -> Batch | None:
        """Read the copy of the first source that has a recent one.

        :param topic: topic to read.
        :param offset: offset of the first record, or ``None`` for the newest
            record of each key.
        :param wait_s: longest wait for the first record.
        :returns: ``None`` if no source has one, or the daemon is to read the
            store itself.
        :raises HistoryLostError: if the copy misses records from the offset.
        """
        had_stale_source = self._is_source_stale.get(topic, False)
        # After a failure the first recent copy is taken, also without changes.
        stale_sources = []
        for source in self._list_available_sources(topic):
            batch = await self._ask_source(
                source, topic, offset, 0 if had_stale_source else wait_s
            )
            if batch is not None:
                return batch
            if self._is_source_stale.get(topic):
                stale_sources.append(source)
            # The failed read may have used the wait.
            wait_s = wait_s if had_stale_source else 0
        if stale_sources:
            self._is_source_stale[topic] = True
        if len(stale_sources) >= MIN_STALE_SOURCES:
            self._probes.defer(STORE_RETRY_S)
        if stale_sources and wait_s:
            return await self._ask_source(
                stale_sources[0], topic, offset, wait_s
            )
        return None

    async def _ask_source(
        self,
        source: ListedInstance,
        topic: Topic,
        offset: int | None,
        wait_s: float,
    ) -> Batch | None:
        self._is_source_stale[topic] = False
        try:
            return await self._peers.read_after(
                source.peer_address,
                topic,
                offset,
                wait_s=min(wait_s, PEER_WAIT_S),
            )
        except StaleCopyError:
            self._is_source_stale[topic] = True
            self._suspend_source(source, topic, STALE_RETRY_S)
        except PlatformError as error:
            self._suspend_source(source, topic, SOURCE_RETRY_S)
            self._log.log_warning(
                'source_distrusted',
                source=source.name,
                topic=topic.value,
                reason=error.message,
                for_s=SOURCE_RETRY_S,
            )
        return None

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

    @property
    def is_source(self) -> bool:
        """Whether peers read from this daemon."""
        return self._local_instance in self._list_sources()[:1]

    async def _read(
        self, topic: Topic, offset: int | None, wait_s: float
    ) -> Batch:
        if not self._list_sources():
            return await self._call_store(topic, offset, wait_s)
        if self.is_source:
            return await self._read_as_source(topic, offset, wait_s)
        had_sources = bool(self._list_available_sources(topic))
        batch = await self.read_copy(topic, offset, wait_s)
        if batch is not None:
            return batch
        return await self._read_store(
            topic,
            offset,
            # A failed read has used the wait already.
            wait_s=0
            if had_sources or self._is_source_stale.get(topic)
            else wait_s,
            period_s=STORE_RETRY_S,
        )

    async def _read_as_source(
        self, topic: Topic, offset: int | None, wait_s: float
    ) -> Batch:
        try:
            return await self._read_store(
                topic,
                offset,
                wait_s=min(wait_s, SOURCE_WAIT_S),
                period_s=SOURCE_PROBE_S,
            )
        except PlatformError:
            # The store may refuse only this daemon.
            batch = await self.read_copy(topic, offset)
            if batch is None:
                raise
            return batch

    async def _read_store(
        self,
        topic: Topic,
        offset: int | None,
        *,
        wait_s: float,
        period_s: float,
    ) -> Batch:
        if self._begin_probe(topic, period_s):
            wait_s = 0
        try:
            batch = await self._call_store(topic, offset, wait_s)
        except HistoryLostError:
            # An answer all the same; the newest records are read next.
            self._probes.record_success()
            raise
        except PlatformError:
            if self._is_source_stale.get(topic) or self.is_source:
                self._probes.record_failure(period_s)
            raise
        self._probes.record_success()
        return batch

    def _begin_probe(self, topic: Topic, period_s: float) -> bool:
        """Return whether a read probes a store that failed.

        :raises StaleCopyError: if the store may not be read now.
        """
        if self._probes.is_healthy:
            return False
        # Only the topic that decides whether callers are served probes a store
        # that fails, and without a wait, as peers wait for it.
        if topic is not Topic.OPERATORS or not self._probes.is_due:
            raise StaleCopyError(
                ErrorKind.LOG_UNAVAILABLE,
                'no source has a recent copy, and the store failed before',
            )
        self._probes.record_failure(period_s)
        return True

    async def _call_store(
        self, topic: Topic, offset: int | None, wait_s: float
    ) -> Batch:
        if offset is None:
            return await self._store.read_newest(topic)
        return await self._store.read_after(topic, offset, wait_s=wait_s)

    def _list_sources(self) -> Sequence[ListedInstance]:
        members = self._list_members()
        if members is not self._members:
            self._members = members
            sources = list_sources(self._local_instance, members)
            if sources[:1] != self._sources[:1]:
                self._log.log_warning(
                    'source_chosen',
                    source=sources[0].name if sources else 'the store',
                    is_reader=self._local_instance in sources[:1],
                    members=len(members),
                )
            self._sources = sources
        return self._sources

    def _list_available_sources(self, topic: Topic) -> Sequence[ListedInstance]:
        now = self._clock()
        return [
            source
            for source in self._list_sources()
            if source != self._local_instance
            and self._retry_at.get((source.name, topic), 0) <= now
        ]

    def _suspend_source(
        self, source: ListedInstance, topic: Topic, period_s: float
    ) -> None:
        self._retry_at[source.name, topic] = self._clock() + period_s
