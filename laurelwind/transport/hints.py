"""Tells the daemons of a zone which work waits at which endpoint.

Hints are small, soon out of date and may be lost, so they go by datagram; a
socket with connections would hold them up behind a peer that is gone.
"""

import socket
from collections.abc import Callable, Iterable
from typing import Final

import anyio
import orjson
from anyio.abc import TaskGroup, UDPSocket

from laurelwind.decisions import DecisionLog
from laurelwind.transport.network import split_address

# Work below this is not told: it is over before it could matter elsewhere.
LEAST_WORK_S: Final = 0.1
_MOST_WORK_S: Final = 60.0


class WorkHints:
    """Sends and receives hints.

    :param address: ``host:port`` of this daemon.
    :param list_peers: gives the addresses of the daemons to tell.
    :param note_work: takes an endpoint's name and seconds of work.
    :param log: where decisions are written.
    """

    def __init__(
        self,
        *,
        address: str,
        list_peers: Callable[[], Iterable[str]],
        note_work: Callable[[str, float], None],
        log: DecisionLog,
    ) -> None:
        self._address = address
        self._list_peers = list_peers
        self._note_work = note_work
        self._log = log
        self._socket: UDPSocket | None = None

    async def start(self, group: TaskGroup) -> None:
        """Begin to receive hints.

        :param group: the daemon's tasks.
        """
        host, port = split_address(self._address)
        self._socket = await anyio.create_udp_socket(
            family=socket.AF_INET, local_host=host, local_port=port
        )
        group.start_soon(self._receive, self._socket)

    async def close(self) -> None:
        """Receive no more hints."""
        if self._socket is not None:
            await self._socket.aclose()

    async def tell(self, endpoint: str, work_s: float) -> None:
        """Tell the others of work that was sent to an endpoint.

        :param endpoint: name of the endpoint.
        :param work_s: seconds that the work takes.
        """
        if self._socket is None or work_s < LEAST_WORK_S:
            return
        hint = orjson.dumps([endpoint, round(work_s, 3)])
        for peer in self._list_peers():
            try:
                await self._socket.sendto(hint, *split_address(peer))
            except (OSError, anyio.BusyResourceError) as error:
                # A hint that cannot go out at once is not worth waiting for.
                self._log.note('hint_not_sent', peer=peer, reason=str(error))

    async def _receive(self, receiver: UDPSocket) -> None:
        while True:
            try:
                text, _ = await receiver.receive()
            except anyio.ClosedResourceError:
                return
            hint = _read_hint(text)
            if hint is not None:
                self._note_work(*hint)


def _read_hint(text: bytes) -> tuple[str, float] | None:
    try:
        found = orjson.loads(text)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(found, list) or len(found) != 2:
        return None
    name, work_s = found
    if not isinstance(name, str) or not isinstance(work_s, int | float):
        return None
    return name, min(max(float(work_s), 0), _MOST_WORK_S)
