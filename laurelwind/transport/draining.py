"""Ends the service of a daemon: drains requests, then closes connections."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import anyio
from attrs import frozen

from laurelwind.transport.drainable import DrainableApplication
from laurelwind.transport.server import HttpServer
from laurelwind.transport.stop_times import StopTimes

_POLL_S: Final = 0.02


@frozen(kw_only=True)
class DrainOutcome:
    """What could not be finished in time.

    :ivar failed: number of requests that got an error answer at the end.
    :ivar cut: number of answers that were ended before they were complete.
    :ivar unsent_bytes: bytes of answers that could not be sent.
    """

    failed: int
    cut: int
    unsent_bytes: int


class Drain:
    """Finishes requests in time, refuses new ones, and closes connections.

    The times count from its construction.

    :param application: receives the requests.
    :param servers: servers to close.
    :param times: moments of the stop.
    """

    def __init__(
        self,
        *,
        application: DrainableApplication,
        servers: Sequence[HttpServer],
        times: StopTimes,
    ) -> None:
        self._application = application
        self._servers = servers
        self._times = times
        self._started_at = anyio.current_time()

    async def run(
        self, leave: Callable[[], Awaitable[None]] | None = None
    ) -> DrainOutcome:
        """Drain, and return when all connections are closed.

        :param leave: tells the other daemons that this one stops, or ``None``
            if they were told.
        """
        times = self._times
        self._application.start_draining()
        with self._stop_waiting_after(times.refusal_s):
            if leave is not None:
                await leave()
            await anyio.sleep_forever()
        self._application.rejects_requests = True
        await anyio.sleep_until(self._started_at + times.listening_s)
        exchanges = self._application.exchanges
        with self._stop_waiting_after(times.error_s):
            await exchanges.wait_for_none()
        self._stop_listening()
        failed = exchanges.end_unanswered()
        with self._stop_waiting_after(times.cut_s):
            await exchanges.wait_for_none()
        cut = exchanges.end_incomplete()
        with self._stop_waiting_after(times.abort_s):
            await self._close_connections()
        return DrainOutcome(
            failed=failed, cut=cut, unsent_bytes=self._abort_connections()
        )

    def _stop_waiting_after(self, time_s: float) -> anyio.CancelScope:
        return anyio.CancelScope(deadline=self._started_at + time_s)

    def _stop_listening(self) -> None:
        for server in self._servers:
            server.stop_listening()

    async def _close_connections(self) -> None:
        while self._has_connections():
            for server in self._servers:
                server.close_connections()
            await anyio.sleep(_POLL_S)

    def _abort_connections(self) -> int:
        unsent_bytes = 0
        for server in self._servers:
            unsent_bytes += server.unsent_bytes
            server.abort_connections()
        return unsent_bytes

    def _has_connections(self) -> bool:
        return any(server.has_connections for server in self._servers)
