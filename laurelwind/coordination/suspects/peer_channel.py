"""Carries notices of crashes in the signed messages between chat daemons."""

from collections.abc import Callable, Mapping
from typing import Any, Final

import orjson
from anyio.abc import TaskGroup

from laurelwind.protocol.datagrams import DatagramChannel, DatagramMessage
from laurelwind.protocol.messages import Done, Message, Refusal
from laurelwind.protocol.peer_network import MessageHandler, PeerNetwork

# Longest wait, in seconds, for the acknowledgement of a peer.
SEND_TIMEOUT_S: Final = 1.0
# The most messages under way; more are dropped, as their repeats follow.
MAX_SENDING: Final = 64


class PeerChannel(DatagramChannel):
    """Exchanges datagrams as messages, each sent by a task of its own.

    :param peers: sends messages to other daemons.
    """

    def __init__(self, *, peers: PeerNetwork) -> None:
        self._peers = peers
        self._listeners: list[Callable[[Any], None]] = []
        self._group: TaskGroup | None = None
        self._sending = 0

    def start(self, group: TaskGroup) -> None:
        """Start to send.

        :param group: task group of the daemon.
        """
        self._group = group

    def add_listener(self, receive: Callable[[Any], None]) -> None:
        """Register a callback; see :class:`DatagramChannel`."""
        self._listeners.append(receive)

    def get_handlers(self) -> Mapping[type[Message], MessageHandler]:
        """Return the handler of the messages that carry datagrams."""
        return {DatagramMessage: self._receive}

    async def send(self, peer: str, datagram: bytes) -> None:
        """Send a datagram; see :class:`DatagramChannel`."""
        if self._group is not None and self._sending < MAX_SENDING:
            self._sending += 1
            self._group.start_soon(self._notify, peer, datagram)

    async def _notify(self, peer: str, datagram: bytes) -> None:
        try:
            await self._peers.notify(
                peer,
                DatagramMessage(payload=datagram.decode()),
                SEND_TIMEOUT_S,
            )
        finally:
            self._sending -= 1

    async def _receive(self, message: Message) -> Message:
        if not isinstance(message, DatagramMessage):
            return Refusal(reason='not a datagram')
        try:
            document = orjson.loads(message.payload)
        except orjson.JSONDecodeError:
            return Refusal(reason='the datagram is not a JSON document')
        for receive in self._listeners:
            receive(document)
        return Done()
