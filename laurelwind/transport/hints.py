"""Work hints: datagrams about work that a daemon sent to an endpoint.

Hints are exchanged by the daemons of an availability zone.  They are small,
soon out of date and may be lost, so they are sent over UDP: over TCP, a peer
that is down would delay the hints to the others.
"""

import socket
from collections.abc import Callable, Iterable
from typing import Final

import anyio
import orjson
from anyio.abc import TaskGroup, UDPSocket

from laurelwind.decisions import DecisionLog
from laurelwind.transport.network import split_address

# No hints are sent for shorter work: it ends before a hint could affect the
# placement by other daemons.
MIN_WORK_S: Final = 0.1
_MAX_WORK_S: Final = 60.0


class WorkHints:
    """Sends and receives work hints.

    :param address: ``host:port`` to bind.
    :param list_peers: returns the addresses of the daemons to notify.
    :param record_work: called with the name of an endpoint and its additional
        work in seconds.
    :param log: decision log.
    """

    def __init__(
        self,
        *,
        address: str,
        list_peers: Callable[[], Iterable[str]],
        record_work: Callable[[str, float], None],
        log: DecisionLog,
    ) -> None:
        self._address = address
        self._list_peers = list_peers
        self._record_work = record_work
        self._log = log
        self._socket: UDPSocket | None = None

    async def start(self, group: TaskGroup) -> None:
        """Start to receive hints.

        :param group: task group of the daemon.
        """
        host, port = split_address(self._address)
        self._socket = await anyio.create_udp_socket(
            family=socket.AF_INET, local_host=host, local_port=port
        )
        group.start_soon(self._receive, self._socket)

    async def close(self) -> None:
        """Stop receiving hints and close the socket."""
        if self._socket is not None:
            await self._socket.aclose()

    async def notify(self, endpoint: str, work_s: float) -> None:
        """Notify the peers of work that was sent to an endpoint.

        :param endpoint: name of the endpoint.
        :param work_s: expected duration of the work in seconds.
        """
        if self._socket is None or work_s < MIN_WORK_S:
            return
        hint = orjson.dumps([endpoint, round(work_s, 3)])
        for peer in self._list_peers():
            try:
                await self._socket.sendto(hint, *split_address(peer))
            except (OSError, anyio.BusyResourceError) as error:
                # Dropped, as the hint would be out of date after a wait.
                self._log.log_info(
                    'hint_not_sent', peer=peer, reason=str(error)
                )

    async def _receive(self, receiver: UDPSocket) -> None:
        while True:
            try:
                datagram, _ = await receiver.receive()
            except anyio.ClosedResourceError:
                return
            hint = _decode_hint(datagram)
            if hint is not None:
                self._record_work(*hint)


def _decode_hint(datagram: bytes) -> tuple[str, float] | None:
    try:
        hint = orjson.loads(datagram)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(hint, list) or len(hint) != 2:
        return None
    endpoint, work_s = hint
    if not isinstance(endpoint, str) or not isinstance(work_s, int | float):
        return None
    return endpoint, min(max(float(work_s), 0), _MAX_WORK_S)
