"""Interfaces of a store of keyed records, and of a membership group."""

import abc
import enum
from collections.abc import Sequence

from attrs import frozen

from laurelwind.errors import PlatformError
from laurelwind.protocol.platform import ListedInstance


class Topic(enum.Enum):
    """Topics of the store."""

    OPERATORS = 'operators'
    ENDPOINTS = 'endpoints'
    STATUS = 'status'
    # Derived from the member group; daemons pass it on, the store has none.
    MEMBERS = 'members'


@frozen(kw_only=True)
class KeyedRecord:
    """One record of a topic.

    :ivar key: key of the record.
    :ivar body: content of the record, or ``None`` if the key was deleted.
    :ivar offset: position of the record in its topic; see :mod:`.positions`.
    """

    key: str
    body: bytes | None
    offset: int


@frozen(kw_only=True)
class Batch:
    """Consecutive records of a topic, in the order of their offsets.

    :ivar records: the records.
    :ivar next_offset: offset at which the next read begins.
    :ivar lag_s: bound on the staleness: the records are complete as of
        ``lag_s`` seconds before the call began.  Negative if the call waited
        and the records are complete as of a later time.
    :ivar is_copy: whether the records come from another daemon's copy instead
        of the store.
    """

    records: Sequence[KeyedRecord]
    next_offset: int
    lag_s: float = 0
    is_copy: bool = False


class HistoryLostError(Exception):
    """The requested records are gone; only the newest of each key is left."""


class StaleCopyError(PlatformError):
    """The copy of a topic is too old, as its daemon cannot read the store."""


class KeyedStore(abc.ABC):
    """A linearizable store of keyed records, grouped by topic."""

    @abc.abstractmethod
    async def read_newest(self, topic: Topic) -> Batch:
        """Read the newest record of each key.

        Records written during the call may be missing; ``next_offset`` is
        early enough for the next read to include them.

        :param topic: topic to read.
        :raises PlatformError: if the store does not answer.
        """

    @abc.abstractmethod
    async def read_after(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float = 0,
        is_strict: bool = False,
    ) -> Batch:
        """Read records from an offset on.

        :param topic: topic to read.
        :param offset: offset of the first record to read.
        :param wait_s: longest wait for the first record.
        :param is_strict: whether the batch must include every record written
            before the call; otherwise ``lag_s`` may be positive.
        :raises HistoryLostError: if records from that offset on are gone.
        :raises PlatformError: if the store does not answer.
        """

    @abc.abstractmethod
    async def write(
        self,
        topic: Topic,
        key: str,
        body: bytes,
        *,
        expected_end_offset: int | None = None,
    ) -> bool:
        """Write a record, and return whether the condition was met.

        :param topic: topic to write to.
        :param key: key of the record.
        :param body: content of the record.
        :param expected_end_offset: write only if the topic ends at this offset,
            or ``None`` to write unconditionally.
        :raises PlatformError: if the write fails or its outcome is unknown.
        """


class PeerTopics(abc.ABC):
    """Reads the copies of topics that other daemons hold."""

    @abc.abstractmethod
    async def read_after(
        self,
        peer: str,
        topic: Topic,
        offset: int | None,
        *,
        wait_s: float,
        refresh_wait_s: float = 0,
    ) -> Batch:
        """Read records from an offset on.

        :param peer: ``host:port`` of the daemon to query.
        :param topic: topic to read.
        :param offset: offset of the first record to read, or ``None`` for the
            newest record of each key.
        :param wait_s: longest wait for the first record.
        :param refresh_wait_s: longest wait for a copy that is too old to be
            refreshed.
        :raises HistoryLostError: if the peer does not hold every change since
            the offset.
        :raises StaleCopyError: if the peer's last read of the store is too
            long ago.
        :raises PlatformError: if the peer does not answer.
        """


class MemberGroup(abc.ABC):
    """The group of live daemons, as tracked by the store."""

    @abc.abstractmethod
    async def join(self) -> int:
        """Join the group, or renew the membership.

        :returns: generation of the group, which increases with each change.
        :raises PlatformError: if the store does not answer.
        """

    @abc.abstractmethod
    async def list_members(self) -> Sequence[ListedInstance]:
        """List the members.

        :raises PlatformError: if the store does not answer.
        """

    @abc.abstractmethod
    async def leave(self) -> None:
        """Leave the group.

        :raises PlatformError: if the store does not answer.
        """
