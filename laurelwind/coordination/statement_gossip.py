"""Spreads among all daemons what one of them has learnt of endpoints.

A daemon forwards what is new to it to a few random peers.
"""

import abc
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, Final, Generic, TypeVar

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.protocol.datagrams import DatagramChannel
from laurelwind.state.load import read_monotonic_clock

# Peers to which an update is sent, and seconds for which updates are collected.
FANOUT: Final = 8
BATCH_DELAY_S: Final = 0.03

Subject = TypeVar('Subject')
Statement = TypeVar('Statement')


@frozen(kw_only=True)
class GossipDependencies:
    """Collaborators of a :class:`StatementGossip`.

    :ivar channel: sends and receives datagrams.
    :ivar list_peers: returns the addresses of all other daemons.
    :ivar clock: monotonic clock, in seconds.
    """

    channel: DatagramChannel
    list_peers: Callable[[], Sequence[str]]
    clock: Callable[[], float] = read_monotonic_clock


class StatementGossip(abc.ABC, Generic[Subject, Statement]):
    """Sends and receives the newest statement about each subject.

    :param dependencies: collaborators.
    """

    def __init__(self, *, dependencies: GossipDependencies) -> None:
        self._dependencies = dependencies
        self._updates: dict[Subject, Statement] = {}
        self._has_updates = anyio.Event()
        dependencies.channel.add_listener(self.receive)

    def start(self, group: TaskGroup) -> None:
        """Start to spread updates.

        :param group: task group of the daemon.
        """
        group.start_soon(self._spread)

    def add(self, subject: Subject, statement: Statement) -> None:
        """Add a statement that the other daemons need to know.

        :param subject: what it is about.
        :param statement: the newest statement about it.
        """
        self._updates[subject] = statement
        self._has_updates.set()

    def receive(self, document: Any) -> None:
        """Apply the statements of a peer; other documents are ignored.

        :param document: any document that a peer has sent.
        """
        now = self._dependencies.clock()
        for subject, statement in self.decode(document, now):
            self.apply(subject, statement)

    @abc.abstractmethod
    def apply(self, subject: Subject, statement: Statement) -> None:
        """Apply a statement of a peer.

        :param subject: what it is about.
        :param statement: the statement.
        """

    @abc.abstractmethod
    def encode(
        self, statements: Iterable[tuple[Subject, Statement]], now: float
    ) -> Iterator[bytes]:
        """Encode statements as datagrams.

        :param statements: subjects and their statements.
        :param now: the current moment, on the monotonic clock.
        """

    @abc.abstractmethod
    def decode(
        self, document: Any, now: float
    ) -> Iterator[tuple[Subject, Statement]]:
        """Decode the statements of a document, none if it is of another kind.

        :param document: the decoded JSON document.
        :param now: the current moment, on the monotonic clock.
        """

    async def send(
        self, statements: Iterable[tuple[Subject, Statement]], fanout: int
    ) -> None:
        """Send statements to some random peers.

        :param statements: subjects and their statements.
        :param fanout: number of peers.
        """
        now = self._dependencies.clock()
        await self.send_datagrams(list(self.encode(statements, now)), fanout)

    async def send_datagrams(
        self, datagrams: Sequence[bytes], fanout: int
    ) -> None:
        """Send datagrams to some random peers.

        :param datagrams: the encoded documents.
        :param fanout: number of peers.
        """
        peers = self._dependencies.list_peers() if datagrams else ()
        for peer in random.sample(peers, min(fanout, len(peers))):
            for datagram in datagrams:
                await self._dependencies.channel.send(peer, datagram)

    async def _spread(self) -> None:
        while True:
            await self._has_updates.wait()
            await anyio.sleep(BATCH_DELAY_S)
            self._has_updates = anyio.Event()
            updates = self._updates
            self._updates = {}
            await self.send(updates.items(), FANOUT)
