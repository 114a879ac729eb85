"""Reads topics from another daemon of the zone instead of from the store.

Every read of the store is paid for, and the store bounds how many there are
in all.  In a large zone a few daemons read it, and the others read on from
what these hold.  How old a copy is travels with it, so that a daemon knows
the age of its knowledge as well as if it had asked the store itself; where a
copy is too old, or its daemon does not answer, it does ask the store.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final

from laurelwind.decisions import DecisionLog
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.keyed import (
    Batch,
    CopyTooOldError,
    HistoryLostError,
    KeyedStore,
    PeerTopics,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.load import read_clock

# Daemons that a zone must have for any of them to follow another; with fewer
# the reads saved would not outweigh the way of a change through two daemons.
LEAST_ZONE: Final = 6
# Daemons that read from one other: about 50 small answers a second there.
FOLLOWERS: Final = 30
# Longest wait of a read of the store whose result others wait for.
SOURCE_WAIT_S: Final = 0.6
# Longest wait of a read at another daemon; a daemon that froze meanwhile is
# noticed this much, and the time limit of the call, later.
FOLLOW_WAIT_S: Final = 1.2
# Seconds for which a daemon that failed to answer is not asked.
DISTRUST_S: Final = 2.0
# Seconds for which a daemon that follows another does not ask the store again
# after that failed both.  It asks the other one meanwhile, which goes on asking
# the store, so that a store in trouble does not hear from the whole fleet.
FAILED_S: Final = 3.0


def find_source(
    own: ListedInstance, members: Sequence[ListedInstance]
) -> ListedInstance | None:
    """Find the daemon to read from: itself to pass on what it reads.

    :param own: the daemon that reads.
    :param members: all daemons, in an order on which they agree.
    :returns: ``None`` where nobody follows anybody.
    """
    zone = [member for member in members if member.zone == own.zone]
    if len(zone) < LEAST_ZONE or own not in zone:
        return None
    sources = zone[: math.ceil(len(zone) / (FOLLOWERS + 1))]
    if own in sources:
        return own
    return sources[zone.index(own) % len(sources)]


class FollowingStore(KeyedStore):
    """A store that is read through another daemon where that is possible.

    :param own: this daemon.
    :param store: the store itself.
    :param peers: topics as other daemons hold them.
    :param list_members: gives all daemons, in an order on which they agree.
    :param log: where decisions are written.
    """

    def __init__(
        self,
        *,
        own: ListedInstance,
        store: KeyedStore,
        peers: PeerTopics,
        list_members: Callable[[], Sequence[ListedInstance]],
        log: DecisionLog,
    ) -> None:
        self._own = own
        self._store = store
        self._peers = peers
        self._list_members = list_members
        self._log = log
        self._members: Sequence[ListedInstance] = ()
        self._source: ListedInstance | None = None
        # Whether the daemon asked last could not read a topic itself.
        self._is_stale: dict[Topic, bool] = {}
        self._failed_until: dict[Topic, float] = {}
        self._distrusted: dict[tuple[str, Topic], float] = {}

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
        source = self._find_source()
        if source == self._own:
            wait_s = min(wait_s, SOURCE_WAIT_S)
        elif source is not None and not is_strict:
            return await self._follow(source, topic, offset, wait_s)
        return await self._store.read_after(topic, offset, wait_s=wait_s)

    async def _follow(
        self, source: ListedInstance, topic: Topic, offset: int, wait_s: float
    ) -> Batch:
        has_failed = read_clock() < self._failed_until.get(topic, 0)
        if has_failed or self._is_trusted(source, topic):
            batch = await self._ask(source, topic, offset, wait_s)
            if batch is not None:
                return batch
            # Time has passed already; what is there now is wanted at once.
            wait_s = 0
        if has_failed and self._is_stale.get(topic):
            raise CopyTooOldError(
                ErrorKind.LOG_UNAVAILABLE,
                'the daemon that reads the store cannot read it either',
            )
        try:
            return await self._store.read_after(topic, offset, wait_s=wait_s)
        except PlatformError:
            if self._is_stale.get(topic):
                self._failed_until[topic] = read_clock() + FAILED_S
            raise

    async def write(
        self,
        topic: Topic,
        key: str,
        body: bytes,
        *,
        expected_end: int | None = None,
    ) -> bool:
        """Write a record; see :class:`KeyedStore`."""
        return await self._store.write(
            topic, key, body, expected_end=expected_end
        )

    def _find_source(self) -> ListedInstance | None:
        members = self._list_members()
        if members is not self._members:
            self._members = members
            source = find_source(self._own, members)
            if source != self._source:
                self._log.warning(
                    'source_chosen',
                    source='the store' if source is None else source.name,
                    is_reader=source == self._own,
                    members=len(members),
                )
            self._source = source
        return self._source

    def _is_trusted(self, source: ListedInstance, topic: Topic) -> bool:
        return self._distrusted.get((source.name, topic), 0) <= read_clock()

    async def _ask(
        self, source: ListedInstance, topic: Topic, offset: int, wait_s: float
    ) -> Batch | None:
        try:
            return await self._peers.read_after(
                source.peer_address,
                topic,
                offset,
                wait_s=min(wait_s, FOLLOW_WAIT_S),
            )
        except (PlatformError, HistoryLostError) as error:
            self._is_stale[topic] = isinstance(error, CopyTooOldError)
            was_trusted = self._is_trusted(source, topic)
            until = read_clock() + DISTRUST_S
            self._distrusted[(source.name, topic)] = until
            if not was_trusted:
                return None
            self._log.warning(
                'source_distrusted',
                source=source.name,
                topic=topic.value,
                reason=str(error) or 'it cannot tell every change',
                for_s=DISTRUST_S,
            )
            return None
