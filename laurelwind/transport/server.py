"""Runs ASGI applications on uvicorn, inside the daemon's own tasks."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any, Final

import anyio
import uvicorn
from anyio.abc import TaskGroup
from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from laurelwind.settings import TlsSettings
from laurelwind.transport.network import split_address

HEADER_TIMEOUT_S: Final = 10.0
_BACKLOG: Final = 2048
_KEEPALIVE_S: Final = 60
_POLL_S: Final = 0.01


class _TimedProtocol(HttpToolsProtocol):
    """Cuts a connection off whose request head does not arrive in time."""

    header_timeout_s = HEADER_TIMEOUT_S

    def __init__(self, *positional: Any, **named: Any) -> None:
        self._head_timer: asyncio.TimerHandle | None = None
        super().__init__(*positional, **named)

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to wait for the first request."""
        super().connection_made(transport)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Begin to wait for the rest of a further request's head."""
        super().on_message_begin()
        if self._head_timer is None:
            self._start_timer()

    def on_headers_complete(self) -> None:
        """Stop waiting: the head is here."""
        self._stop_timer()
        super().on_headers_complete()

    def _start_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self.header_timeout_s, self._cut_off
        )

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _cut_off(self) -> None:
        self._head_timer = None
        self.transport.abort()


class _QuietServer(uvicorn.Server):
    """Leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """One listening address.

    :param address: ``host:port``; port zero takes a free one.
    :param tls: certificates, or ``None`` for plain HTTP.
    :param header_timeout_s: longest time for a request's head.
    """

    def __init__(
        self,
        *,
        address: str,
        tls: TlsSettings | None = None,
        header_timeout_s: float = HEADER_TIMEOUT_S,
    ) -> None:
        self._socket = _bind(*split_address(address))
        self._tls = tls or TlsSettings()
        self._header_timeout_s = header_timeout_s
        self._server: _QuietServer | None = None
        self._stopped = anyio.Event()

    @property
    def address(self) -> str:
        """``host:port`` that it really listens on."""
        host, port = self._socket.getsockname()[:2]
        return f'{host}:{port}'

    @property
    def uses_no_delay(self) -> bool:
        """Whether asyncio will turn Nagle's algorithm off."""
        return self._socket.proto == socket.IPPROTO_TCP

    async def start(self, group: TaskGroup, application: ASGIApp) -> None:
        """Begin to listen.

        :param group: the daemon's tasks.
        :param application: what it serves.
        """
        server = _QuietServer(self._build_config(application))
        self._server = server
        group.start_soon(self._run, server)
        while not server.started:
            await anyio.sleep(_POLL_S)

    async def close(self) -> None:
        """Take no more connections and wait until every answer is out."""
        if self._server is None:
            self._socket.close()
            return
        self._server.should_exit = True
        await self._stopped.wait()

    async def abandon(self) -> None:
        """Stop at once and leave answers that are not out yet."""
        if self._server is not None:
            self._server.force_exit = True
        await self.close()

    def cut_off(self) -> None:
        """Cut every connection off, whatever is on its way."""
        if self._server is None:
            return
        for listener in self._server.servers:
            listener.close()
        for connection in tuple(self._server.server_state.connections):
            transport = connection.transport
            if transport is not None:
                transport.abort()

    def _build_config(self, application: ASGIApp) -> uvicorn.Config:
        return uvicorn.Config(
            application,
            loop='asyncio',
            http=type(
                'TimedProtocol',
                (_TimedProtocol,),
                {'header_timeout_s': self._header_timeout_s},
            ),
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            log_level='critical',
            backlog=_BACKLOG,
            timeout_keep_alive=_KEEPALIVE_S,
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


def _bind(host: str, port: int) -> socket.socket:
    # asyncio turns Nagle's algorithm off only where the protocol is named.
    listener = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    return listener
