"""HTTP server that runs an ASGI application in the daemon's task group."""

import asyncio
import contextlib
import select
import socket
from collections.abc import Iterator
from typing import Final

import anyio
import uvicorn
from anyio.abc import TaskGroup
from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from laurelwind.errors import ErrorKind, ListenError
from laurelwind.settings import TlsSettings
from laurelwind.transport.network import split_address
from laurelwind.transport.timed_protocol import (
    IDLE_TIMEOUT_S,
    ConnectionPolicy,
    TimedProtocol,
)

_BACKLOG: Final = 2048
# Connections that one turn of the event loop accepts.
_ACCEPTED_PER_TURN: Final = 64
_START_POLL_S: Final = 0.01


class _EmbeddedServer(uvicorn.Server):
    """Uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """HTTP server on one listening address.

    :param address: ``host:port``; port zero selects a free port.
    :param tls: certificate and private key, or ``None`` for plain HTTP.
    :param policy: limits on the connections, or ``None`` for the defaults.
    :raises ListenError: if the address is in use or not of this machine.
    """

    def __init__(
        self,
        *,
        address: str,
        tls: TlsSettings | None = None,
        policy: ConnectionPolicy | None = None,
    ) -> None:
        self._socket = _create_listener(*split_address(address))
        self._tls = tls or TlsSettings()
        self._policy = policy or ConnectionPolicy()
        self._server: _EmbeddedServer | None = None
        self._stopped = anyio.Event()

    @property
    def address(self) -> str:
        """``host:port`` of the bound socket."""
        host, port = self._socket.getsockname()[:2]
        return f'{host}:{port}'

    @property
    def uses_no_delay(self) -> bool:
        """Whether asyncio disables Nagle's algorithm on its connections."""
        return self._socket.proto == socket.IPPROTO_TCP

    @property
    def has_connections(self) -> bool:
        """Whether connections are open, or still send their last bytes."""
        return bool(self._list_connections())

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that wait to be sent on its connections."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self._list_connections()
        )

    async def start(self, group: TaskGroup, application: ASGIApp) -> None:
        """Start the server and wait until it accepts connections.

        :param group: task group of the daemon.
        :param application: ASGI application to serve.
        """
        server = _EmbeddedServer(self._build_config(application))
        self._server = server
        group.start_soon(self._run, server)
        while not server.started:
            await anyio.sleep(_START_POLL_S)
        # asyncio accepts as many connections at once as its backlog holds.
        self._socket.listen(_BACKLOG)

    async def close(self) -> None:
        """Stop accepting connections and wait until all answers are sent."""
        if self._server is None:
            self._socket.close()
            return
        self._server.should_exit = True
        await self._stopped.wait()

    async def force_close(self) -> None:
        """Stop without waiting for answers in progress."""
        if self._server is not None:
            self._server.force_exit = True
        await self.close()

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is None:
            return
        for listener in self._server.servers:
            listener.close()

    def close_connections(self) -> None:
        """Close connections, busy ones after their answer.

        A connection with unread input stays open, as closing it would reset
        it: the caller then gets an answer, and another call closes it.
        """
        for connection in self._list_connections():
            if not _has_input(connection.transport):
                connection.shutdown()

    def abort_connections(self) -> None:
        """Abort all connections, including requests in progress."""
        self.stop_listening()
        for connection in self._list_connections():
            connection.transport.abort()

    def _list_connections(self) -> list[HttpToolsProtocol]:
        if self._server is None:
            return []
        return [
            connection
            for connection in self._server.server_state.connections
            if isinstance(connection, HttpToolsProtocol)
            and connection.transport is not None
        ]

    def _build_config(self, application: ASGIApp) -> uvicorn.Config:
        return uvicorn.Config(
            application,
            loop='asyncio',
            http=type(
                'BoundProtocol', (TimedProtocol,), {'policy': self._policy}
            ),
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            log_level='critical',
            backlog=_ACCEPTED_PER_TURN,
            timeout_keep_alive=IDLE_TIMEOUT_S,
            server_header=False,
            proxy_headers=False,
            date_header=False,
            ssl_certfile=self._tls.certificate or None,
            ssl_keyfile=self._tls.private_key or None,
        )

    async def _run(self, server: uvicorn.Server) -> None:
        try:
            await server.serve(sockets=[self._socket])
        finally:
            self._stopped.set()


def _has_input(transport: asyncio.Transport) -> bool:
    descriptor = transport.get_extra_info('socket').fileno()
    if transport.is_closing() or descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def _create_listener(host: str, port: int) -> socket.socket:
    """Bind and listen, so that no other socket can share the port."""
    # asyncio disables Nagle's algorithm only on sockets created with an
    # explicit IPPROTO_TCP.
    listener = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(_BACKLOG)
    except OSError as error:
        listener.close()
        raise ListenError(
            ErrorKind.CONFIGURATION_INVALID,
            f'cannot listen on {host}:{port}: {error.strerror}',
        ) from error
    listener.setblocking(False)
    return listener
