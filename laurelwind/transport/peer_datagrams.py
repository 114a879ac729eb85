"""UDP socket for datagrams between daemons."""

import socket
from collections.abc import Callable
from typing import Any

import anyio
import orjson
from anyio.abc import TaskGroup, UDPSocket

from laurelwind.decisions import DecisionLog
from laurelwind.protocol.datagrams import DatagramChannel
from laurelwind.transport.network import split_address


class PeerDatagrams(DatagramChannel):
    """Sends and receives the datagrams of a daemon.

    They go over UDP: over TCP, a peer that is down would delay the others.

    :param address: ``host:port`` to bind.
    :param log: decision log.
    """

    def __init__(self, *, address: str, log: DecisionLog) -> None:
        self._address = address
        self._log = log
        self._socket: UDPSocket | None = None
        # A socket takes one datagram at a time.
        self._sending = anyio.Lock()
        self._listeners: list[Callable[[Any], None]] = []

    def add_listener(self, receive: Callable[[Any], None]) -> None:
        """Register a callback; see :class:`DatagramChannel`."""
        self._listeners.append(receive)

    async def start(self, group: TaskGroup) -> None:
        """Bind the socket and start to receive.

        :param group: task group of the daemon.
        """
        host, port = split_address(self._address)
        self._socket = await anyio.create_udp_socket(
            family=socket.AF_INET, local_host=host, local_port=port
        )
        group.start_soon(self._receive, self._socket)

    async def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            await self._socket.aclose()

    async def send(self, peer: str, datagram: bytes) -> None:
        """Send a datagram; see :class:`DatagramChannel`."""
        if self._socket is None:
            return
        try:
            async with self._sending:
                await self._socket.sendto(datagram, *split_address(peer))
        except (OSError, anyio.ClosedResourceError) as error:
            # Dropped, as it would be out of date after a wait.
            self._log.log_info(
                'datagram_not_sent', peer=peer, reason=str(error)
            )

    async def _receive(self, receiver: UDPSocket) -> None:
        while True:
            try:
                datagram, _ = await receiver.receive()
            except anyio.ClosedResourceError:
                return
            try:
                document = orjson.loads(datagram)
            except orjson.JSONDecodeError:
                continue
            for receive in self._listeners:
                receive(document)
