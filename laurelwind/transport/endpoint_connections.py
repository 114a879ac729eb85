"""Bounds the connections to endpoints that are open at once.

Each request of a caller takes one, so that callers that do not read their
answers could use up the file descriptors of the process.
"""

from collections.abc import Callable
from typing import Final

import anyio

from laurelwind.errors import ConnectionLimitError, ErrorKind, RunState
from laurelwind.transport.connection import CONNECT_TIMEOUT_S, Connection
from laurelwind.transport.idle_connections import IdleConnections

# Seconds for which an answer may be unread while connections are short.
MAX_UNREAD_S: Final = 1.0
# Longest wait for a connection of another request, in seconds: as long as for
# an endpoint that does not accept a connection.
MAX_WAIT_S: Final = CONNECT_TIMEOUT_S


def end_nothing(min_wait_s: float) -> bool:
    """Return that no answer is unread."""
    return False


class EndpointConnections:
    """Opens connections to endpoints within a limit.

    While the limit is reached, idle connections are closed first, then that of
    the caller who has not read for longest. A further request waits in turn
    until another one ends.

    :param limit: most connections that are open at once.
    :param idle: the connections among them that are idle.
    :param end_unread: ends an answer that has not been read for the given
        seconds; returns whether there was one.
    """

    def __init__(
        self,
        *,
        limit: int,
        idle: IdleConnections,
        end_unread: Callable[[float], bool] = end_nothing,
    ) -> None:
        self._limit = limit
        self._free = anyio.Semaphore(limit)
        self._idle = idle
        self._end_unread = end_unread
        self._waiting = 0

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._limit - self._free.value

    @property
    def is_awaited(self) -> bool:
        """Whether a request waits, so that none should be kept idle."""
        return self._waiting > 0

    async def open(self, address: str) -> Connection:
        """Open a connection.

        :param address: ``host:port`` of the endpoint.
        :raises ConnectionLimitError: if the limit allows none in time.
        :raises EndpointError: if the endpoint accepts none in time.
        """
        if self._free.value:
            self._free.acquire_nowait()
        else:
            await self._wait_for_free()
        try:
            connection = await Connection.open(address)
        except BaseException:
            self._free.release()
            raise
        connection.record_close = self._free.release
        return connection

    async def _wait_for_free(self) -> None:
        # From here on a connection that becomes idle is closed for the request.
        self._waiting += 1
        try:
            with anyio.fail_after(MAX_WAIT_S):
                await self._idle.close_oldest()
                if not self._free.value:
                    self._end_unread(MAX_UNREAD_S)
                await self._free.acquire()
        except TimeoutError:
            raise ConnectionLimitError(
                ErrorKind.NO_ENDPOINT,
                f'all {self._limit} connections to endpoints are in use',
                run=RunState.NOT_RUN,
            ) from None
        finally:
            self._waiting -= 1
