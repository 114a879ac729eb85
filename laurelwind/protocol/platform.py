"""Interfaces of the platform's services."""

import abc
from collections.abc import Sequence

from attrs import frozen

from laurelwind.state.records import Entry, Record


@frozen(kw_only=True)
class LogPage:
    """Consecutive entries of a stream.

    :ivar entries: the entries, in order and without gaps.
    :ivar earliest: first offset that the log still retains.
    :ivar next_offset: offset at which the next read begins.
    """

    entries: Sequence[Entry]
    earliest: int
    next_offset: int


class Log(abc.ABC):
    """The platform's append-only log."""

    @abc.abstractmethod
    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append records as one batch and return the first one's offset.

        :param stream: name of the stream.
        :param records: the records.
        :raises PlatformError: if the write fails or its outcome is unknown.
        """

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        offset: int,
        *,
        wait_s: float = 0,
    ) -> LogPage:
        """Read entries from an offset on.

        :param stream: name of the stream.
        :param offset: offset of the first entry to read.
        :param wait_s: longest wait of the log for the first entry.
        :raises PlatformError: if the log cannot be read.
        """


@frozen(kw_only=True)
class ListedInstance:
    """An entry of the platform's list of instances.

    :ivar name: name of the daemon.
    :ivar zone: availability zone of the instance.
    :ivar leaving: whether the instance is about to be stopped.
    :ivar caller_address: ``host:port`` for callers.
    :ivar peer_address: ``host:port`` for peers.
    :ivar region: region of the instance, or an empty string.
    """

    name: str
    zone: str
    caller_address: str
    peer_address: str
    leaving: bool = False
    region: str = ''


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, which may be stale."""

    @abc.abstractmethod
    async def fetch(self) -> Sequence[ListedInstance]:
        """Fetch the list.

        :raises PlatformError: if the list cannot be read.
        """


@frozen(kw_only=True)
class RatingRequest:
    """An answer to be rated.

    :ivar request_id: identifier of the request.
    :ivar workspace: workspace of the caller.
    :ivar task: task of the request.
    :ivar reference: ``model@version`` that answered.
    :ivar prompt: the request's text.
    :ivar answer: the answer's text.
    """

    request_id: str
    workspace: str
    task: str
    reference: str
    prompt: str
    answer: str


@frozen(kw_only=True)
class Rating:
    """Rating of an answer.

    :ivar passed: whether the answer has sufficient quality.
    """

    passed: bool


class RatingService(abc.ABC):
    """The platform's service that rates answers."""

    @abc.abstractmethod
    async def rate(self, request: RatingRequest, timeout_s: float) -> Rating:
        """Rate one answer.

        :param request: the answer and its origin.
        :param timeout_s: longest wait for the rating.
        :raises PlatformError: if no rating arrives in time.
        """
