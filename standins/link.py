"""A TCP proxy that injects faults: stalled, blocked, delayed, reset links.

A stalled connection stays open at both ends and transfers no more data,
while new connections through the same link work.
"""

import contextlib
import re
import socket
import struct
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from laurelwind.transport.network import split_address

_FOREVER: Final = float('inf')
# A linger time of zero makes closing the socket reset the connection.
_ZERO_LINGER: Final = struct.pack('ii', 1, 0)
_POLL_S: Final = 0.01
_REQUEST_ID: Final = re.compile(rb'(?i)\r\nx-request-id: *([^\r]+)\r\n')
_CONNECTION_ERRORS: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class Link:
    """Forwards TCP connections to one address.

    :param target: ``host:port`` to forward to.
    :ivar address: ``host:port`` that the link listens on.
    :ivar connection_count: connections accepted so far.
    :ivar delay_s: seconds by which every chunk is delayed.
    :ivar is_return_blocked: whether data from the target is withheld, while
        data to the target is forwarded.
    :ivar is_blocked: whether no data is forwarded in either direction.
    :ivar forwarded_at: time at which each request was forwarded to the
        target, by request id; only requests that fit into one chunk.
    """

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._generation = 0
        self.is_blocked = False
        self.address = ''
        self.connection_count = 0
        self.delay_s: float = 0
        self.is_return_blocked = False
        self.forwarded_at: dict[str, float] = {}
        self._open_streams: set[SocketStream] = set()

    def reset(self) -> None:
        """Reset every open connection at both ends."""
        for stream in tuple(self._open_streams):
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
            transport = getattr(stream, '_transport', None)
            if transport is not None:
                transport.abort()

    async def start(self, group: TaskGroup) -> None:
        """Listen on a free port and forward its connections.

        :param group: task group that runs the link.
        """
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        port = listener.extra(SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        group.start_soon(listener.serve, self._serve)

    def stall_connections(self) -> None:
        """Stall every open connection permanently, without closing it."""
        self._generation += 1

    def set_blocked(self, *, is_blocked: bool) -> None:
        """Stall open connections; block or unblock new ones.

        :param is_blocked: whether new connections are accepted without
            forwarding any data.
        """
        self.is_blocked = is_blocked
        self._generation += 1

    async def _serve(self, client_stream: SocketStream) -> None:
        self.connection_count += 1
        generation = self._generation
        if self.is_blocked:
            await anyio.sleep(_FOREVER)
        async with client_stream:
            try:
                target_stream = await anyio.connect_tcp(
                    *split_address(self._target)
                )
            except OSError:
                return
            async with target_stream, anyio.create_task_group() as group:
                self._open_streams.update((client_stream, target_stream))
                group.start_soon(
                    self._pump, client_stream, target_stream, generation, False
                )
                group.start_soon(
                    self._pump, target_stream, client_stream, generation, True
                )
        self._open_streams.difference_update((client_stream, target_stream))

    async def _pump(
        self,
        source: SocketStream,
        sink: SocketStream,
        generation: int,
        is_return: bool,
    ) -> None:
        try:
            async for chunk in source:
                await self._delay(is_return=is_return)
                if generation != self._generation:
                    await anyio.sleep(_FOREVER)
                await sink.send(chunk)
                if not is_return:
                    self._record_forwarded(chunk)
            await sink.send_eof()
        except _CONNECTION_ERRORS:
            # One end failed: close both, so that the other end detects it.
            with contextlib.suppress(*_CONNECTION_ERRORS):
                await sink.aclose()
            with contextlib.suppress(*_CONNECTION_ERRORS):
                await source.aclose()

    def _record_forwarded(self, chunk: bytes) -> None:
        for match in _REQUEST_ID.finditer(chunk):
            self.forwarded_at[match[1].decode()] = anyio.current_time()

    async def _delay(self, *, is_return: bool) -> None:
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        while is_return and self.is_return_blocked:
            await anyio.sleep(_POLL_S)
