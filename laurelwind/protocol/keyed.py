"""Interfaces of a store of keyed records, and of a group of members."""

import abc
import enum
from collections.abc import Sequence

from attrs import frozen

from laurelwind.errors import PlatformError
from laurelwind.protocol.platform import ListedInstance


class Topic(enum.Enum):
    """What records are kept about."""

    OPERATORS = 'operators'
    ENDPOINTS = 'endpoints'
    STATUS = 'status'


@frozen(kw_only=True)
class KeyedRecord:
    """One record.

    :ivar key: what it is about.
    :ivar body: its bytes, or ``None`` where the key was dropped.
    :ivar offset: its place among the records of its topic.
    """

    key: str
    body: bytes | None
    offset: int


@frozen(kw_only=True)
class Batch:
    """Some records of a topic, in the order of their offsets.

    :ivar records: the records.
    :ivar next_offset: where to read on.
    :ivar lag_s: seconds before the call was begun at which the records were
        certainly complete; negative where the call was held open since.
    :ivar is_copy: whether another daemon gave them, not the store.
    """

    records: Sequence[KeyedRecord]
    next_offset: int
    lag_s: float = 0
    is_copy: bool = False


class HistoryLostError(Exception):
    """The records asked for are gone; only the newest of each key is left."""


class CopyTooOldError(PlatformError):
    """A daemon answers, but cannot read the store itself."""


class KeyedStore(abc.ABC):
    """A linearizable store of keyed records, in topics."""

    @abc.abstractmethod
    async def read_newest(self, topic: Topic) -> Batch:
        """Read the newest record of each key.

        Records written meanwhile may be missing; ``next_offset`` is early
        enough to read them afterwards.

        :param topic: what the records are about.
        :raises PlatformError: when the store does not answer.
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

        :param topic: what the records are about.
        :param offset: where to begin.
        :param wait_s: how long to wait for a first record.
        :param is_strict: whether everything is wanted that was written before
            the call; otherwise ``lag_s`` may be positive.
        :raises HistoryLostError: when records from there on are gone.
        :raises PlatformError: when the store does not answer.
        """

    @abc.abstractmethod
    async def write(
        self,
        topic: Topic,
        key: str,
        body: bytes,
        *,
        expected_end: int | None = None,
    ) -> bool:
        """Write a record, and tell whether the condition held.

        :param topic: what the record is about.
        :param key: its key.
        :param body: its bytes.
        :param expected_end: write only if the topic ends there.
        :raises PlatformError: when the outcome is failure or unknown.
        """


class PeerTopics(abc.ABC):
    """Topics as other daemons hold them."""

    @abc.abstractmethod
    async def read_after(
        self, peer: str, topic: Topic, offset: int, *, wait_s: float
    ) -> Batch:
        """Read records from an offset on.

        :param peer: ``host:port`` of the daemon to ask.
        :param topic: what the records are about.
        :param offset: where to begin.
        :param wait_s: how long to wait for a first record.
        :raises HistoryLostError: when it cannot tell every change since then.
        :raises CopyTooOldError: when it has not read the store for too long.
        :raises PlatformError: when it does not answer.
        """


class MemberGroup(abc.ABC):
    """The daemons that are alive, as the store sees them."""

    @abc.abstractmethod
    async def join(self) -> int:
        """Join or stay in the group; the result grows with each change.

        :raises PlatformError: when the store does not answer.
        """

    @abc.abstractmethod
    async def list_members(self) -> Sequence[ListedInstance]:
        """List the members.

        :raises PlatformError: when the store does not answer.
        """

    @abc.abstractmethod
    async def leave(self) -> None:
        """Leave the group.

        :raises PlatformError: when the store does not answer.
        """
