"""Ends the service of a daemon: drains requests, then closes connections."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import anyio

from laurelwind.transport.relay_application import RelayApplication
from laurelwind.transport.server import HttpServer
from laurelwind.transport.stop_times import StopTimes

_POLL_S: Final = 0.02


class Drain:
    """Finishes requests in time, refuses new ones, and closes connections.

    The times count from its construction.

    :param application: receives the requests.
    :param servers: servers to close.
    :param times: moments of the stop.
    :ivar cut: number of requests that were ended without a complete answer.
    :ivar unsent_bytes: bytes of answers that could not be sent in time.
    """

    def __init__(
        self,
        *,
        application: RelayApplication,
        servers: Sequence[HttpServer],
        times: StopTimes,
    ) -> None:
        self._application = application
        self._servers = servers
        self._times = times
        self._started_at = anyio.current_time()
        self.cut = 0
        self.unsent_bytes = 0

    async def run(self, leave: Callable[[], Awaitable[None]]) -> None:
        """Drain, and return when all connections are closed.

        :param leave: tells the other daemons that this one stops.
        """
        times = self._times
        self._application.is_draining = True
        with self._stop_waiting_after(times.refusal_s):
            await leave()
            await anyio.sleep_forever()
        self._application.rejects_requests = True
        await anyio.sleep_until(self._started_at + times.listening_s)
        with self._stop_waiting_after(times.cut_s):
            await self._application.exchanges.wait_for_none()
        self.cut = self._application.exchanges.count
        with self._stop_waiting_after(times.abort_s):
            await self._close_connections()
        self._abort_connections()

    def _stop_waiting_after(self, time_s: float) -> anyio.CancelScope:
        return anyio.CancelScope(deadline=self._started_at + time_s)

    async def _close_connections(self) -> None:
        for server in self._servers:
            server.start_closing()
        while self._has_connections():
            await anyio.sleep(_POLL_S)

    def _has_connections(self) -> bool:
        return any(server.has_connections for server in self._servers)

    def _abort_connections(self) -> None:
        self.unsent_bytes = sum(server.unsent_bytes for server in self._servers)
        self._application.is_aborting = True
        for server in self._servers:
            server.abort_connections()
