"""Reads topics from a peer in the same zone instead of from the store.

Every read of the store is billed, and the store limits the total read rate.
In a large zone a few daemons (the sources) read the store, and the others read
the copies that these hold. Each answer carries the age of its copy, so a
daemon can bound the age of its data as exactly as with a read of the store.
Where the copy is too old or the source does not answer, the daemon reads the
store.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final

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

# Smallest number of daemons in a zone for which peers are read. In smaller
# zones the saved reads do not outweigh the extra hop that delays each change.
MIN_ZONE_SIZE: Final = 6
# Daemons that read from one source, which then serves about 50 small answers
# per second.
READERS_PER_SOURCE: Final = 30
# Longest wait of a source's read of the store, since peers wait for the result.
SOURCE_WAIT_S: Final = 0.6
# Longest wait of a read from a source. A source that freezes is detected after
# at most this wait plus the timeout of the call.
PEER_WAIT_S: Final = 1.2
# Seconds for which a source is not read after a failure.
SOURCE_RETRY_S: Final = 2.0
# Seconds for which a daemon does not read the store after both its source and
# the daemon itself failed to read it. Meanwhile the daemon reads only from the
# source, which keeps trying the store, so that the whole fleet does not query a
# failing store.
STORE_RETRY_S: Final = 3.0


def choose_source(
    local_instance: ListedInstance, members: Sequence[ListedInstance]
) -> ListedInstance | None:
    """Return the daemon to read from, which for a source is itself.

    :param local_instance: the daemon that reads.
    :param members: all daemons, in the same order on every daemon.
    :returns: ``None`` if the daemon must read the store, because its zone is
        too small or the members do not include it.
    """
    zone_members = [
        member for member in members if member.zone == local_instance.zone
    ]
    if len(zone_members) < MIN_ZONE_SIZE or local_instance not in zone_members:
        return None
    sources = zone_members[
        : math.ceil(len(zone_members) / (READERS_PER_SOURCE + 1))
    ]
    if local_instance in sources:
        return local_instance
    return sources[zone_members.index(local_instance) % len(sources)]


class PeerReadingStore(KeyedStore):
    """A store whose topics are read from a peer where possible.

    :param local_instance: member record of the local daemon.
    :param store: the underlying store.
    :param peers: client for the topic copies of peers.
    :param list_members: returns all daemons, in the same order on every daemon.
    :param log: the decision log.
    """

    def __init__(
        self,
        *,
        local_instance: ListedInstance,
        store: KeyedStore,
        peers: PeerTopics,
        list_members: Callable[[], Sequence[ListedInstance]],
        log: DecisionLog,
    ) -> None:
        self._local_instance = local_instance
        self._store = store
        self._peers = peers
        self._list_members = list_members
        self._log = log
        self._members: Sequence[ListedInstance] = ()
        self._source: ListedInstance | None = None
        # Whether the last source read had a copy that was too old.
        self._is_source_stale: dict[Topic, bool] = {}
        self._store_retry_at: dict[Topic, float] = {}
        self._source_retry_at: dict[tuple[str, Topic], float] = {}

    async def read_newest(self, topic: Topic) -> Batch:
        """Read the newest record of each key; see :class:`KeyedStore`."""
        return await self._store.read_newest(topic)

    async def read_after(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float = 0,
        is_strict: bool = False,
    ) -> Batch:
        """Read records from an offset on; see :class:`KeyedStore`."""
        source = self._choose_source()
        if source == self._local_instance:
            wait_s = min(wait_s, SOURCE_WAIT_S)
        elif source is not None and not is_strict:
            return await self._read_through_source(
                source, topic, offset, wait_s
            )
        return await self._store.read_after(topic, offset, wait_s=wait_s)

    async def _read_through_source(
        self, source: ListedInstance, topic: Topic, offset: int, wait_s: float
    ) -> Batch:
        is_store_backing_off = (
            read_monotonic_clock() < self._store_retry_at.get(topic, 0)
        )
        if is_store_backing_off or self._is_source_available(source, topic):
            batch = await self._read_from_source(source, topic, offset, wait_s)
            if batch is not None:
                return batch
            # The failed read has used the wait already, so do not wait again.
            wait_s = 0
        if is_store_backing_off and self._is_source_stale.get(topic):
            raise StaleCopyError(
                ErrorKind.LOG_UNAVAILABLE,
                'neither the source nor this daemon could read the store',
            )
        try:
            return await self._store.read_after(topic, offset, wait_s=wait_s)
        except PlatformError:
            if self._is_source_stale.get(topic):
                self._store_retry_at[topic] = (
                    read_monotonic_clock() + STORE_RETRY_S
                )
            raise

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

    def _choose_source(self) -> ListedInstance | None:
        members = self._list_members()
        if members is not self._members:
            self._members = members
            source = choose_source(self._local_instance, members)
            if source != self._source:
                self._log.log_warning(
                    'source_chosen',
                    source='the store' if source is None else source.name,
                    is_reader=source == self._local_instance,
                    members=len(members),
                )
            self._source = source
        return self._source

    def _is_source_available(
        self, source: ListedInstance, topic: Topic
    ) -> bool:
        return (
            self._source_retry_at.get((source.name, topic), 0)
            <= read_monotonic_clock()
        )

    async def _read_from_source(
        self, source: ListedInstance, topic: Topic, offset: int, wait_s: float
    ) -> Batch | None:
        try:
            return await self._peers.read_after(
                source.peer_address,
                topic,
                offset,
                wait_s=min(wait_s, PEER_WAIT_S),
            )
        except (PlatformError, HistoryLostError) as error:
            self._is_source_stale[topic] = isinstance(error, StaleCopyError)
            was_available = self._is_source_available(source, topic)
            retry_at = read_monotonic_clock() + SOURCE_RETRY_S
            self._source_retry_at[(source.name, topic)] = retry_at
            if not was_available:
                return None
            self._log.log_warning(
                'source_distrusted',
                source=source.name,
                topic=topic.value,
                reason=str(error) or 'its copy does not include every change',
                for_s=SOURCE_RETRY_S,
            )
            return None
