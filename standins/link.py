"""A TCP proxy that injects faults: stalled, blocked, delayed, reset links.

It may also limit the rate of each connection.

A stalled connection stays open at both ends and transfers no more data,
while new connections through the same link work.
"""

import asyncio
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
# Receive buffer and largest segment of a connection with a limited rate, and
# the number of bytes that it forwards at once.
_NARROW_BUFFER_BYTES: Final = 4096
_NARROW_SEGMENT_BYTES: Final = 536
_NARROW_PIECE_BYTES: Final = 8192
_REQUEST_END: Final = re.compile(rb'<end of ([^>]+)>')
_MAX_REQUEST_END_BYTES: Final = 256
_CONNECTION_ERRORS: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class _SinkClosedError(Exception):
    """The end that receives the data closed its connection."""


class Link:
    """Forwards TCP connections to one address.

    :param target: ``host:port`` to forward to.
    :param bytes_per_s: limit of each connection in each direction, or
        ``None``.
    :ivar address: ``host:port`` that the link listens on.
    :ivar connection_count: connections accepted so far.
    :ivar delay_s: seconds by which every chunk is delayed.
    :ivar is_return_blocked: whether data from the target is withheld, while
        data to the target is forwarded.
    :ivar is_blocked: whether no data is forwarded in either direction.
    :ivar forwarded_at: time at which each request was completely forwarded to
        the target, by request id; only requests that end with
        :func:`encode_request_end`.
    """

    def __init__(self, *, target: str, bytes_per_s: int | None = None) -> None:
        self._target = target
        self._bytes_per_s = bytes_per_s
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
            # The other direction may still be waiting after the end.
            if raw.fileno() < 0:
                continue
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
                target_stream = await self._connect()
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

    async def _connect(self) -> SocketStream:
        host, port = split_address(self._target)
        if self._bytes_per_s is None:
            return await anyio.connect_tcp(host, port)
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setblocking(False)
        # Both bound what the target's kernel buffers, which on loopback would
        # be megabytes, and must be set before the connection is made.
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _NARROW_BUFFER_BYTES
        )
        raw.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, _NARROW_SEGMENT_BYTES
        )
        try:
            await asyncio.get_running_loop().sock_connect(raw, (host, port))
        except OSError:
            raw.close()
            raise
        return await SocketStream.from_socket(raw)

    async def _pump(
        self,
        source: SocketStream,
        sink: SocketStream,
        generation: int,
        is_return: bool,
    ) -> None:
        try:
            await self._forward(source, sink, generation, is_return)
        except _SinkClosedError:
            if is_return:
                await _close_both(source, sink)
                return
            # What the target sent before it closed must still arrive, so the
            # client's connection stays open until the client closes it.
            await _discard(source)
        except _CONNECTION_ERRORS:
            await _close_both(source, sink)

    async def _forward(
        self,
        source: SocketStream,
        sink: SocketStream,
        generation: int,
        is_return: bool,
    ) -> None:
        recent = b''
        async for chunk in source:
            await self._delay(is_return=is_return)
            if generation != self._generation:
                await anyio.sleep(_FOREVER)
            await self._send(sink, chunk)
            if not is_return:
                recent = recent[-_MAX_REQUEST_END_BYTES:] + chunk
                self._record_forwarded(recent)
        await sink.send_eof()

    def _record_forwarded(self, recent: bytes) -> None:
        for match in _REQUEST_END.finditer(recent):
            self.forwarded_at.setdefault(
                match[1].decode(), anyio.current_time()
            )

    async def _send(self, sink: SocketStream, chunk: bytes) -> None:
        rate = self._bytes_per_s
        piece_bytes = len(chunk) if rate is None else _NARROW_PIECE_BYTES
        next_at = anyio.current_time()
        try:
            for start in range(0, len(chunk), piece_bytes):
                piece = chunk[start : start + piece_bytes]
                await sink.send(piece)
                if rate is not None:
                    next_at += len(piece) / rate
                    await anyio.sleep_until(next_at)
        except _CONNECTION_ERRORS as error:
            raise _SinkClosedError from error

    async def _delay(self, *, is_return: bool) -> None:
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        while is_return and self.is_return_blocked:
            await anyio.sleep(_POLL_S)


def encode_request_end(request_id: str) -> bytes:
    """Encode the mark at the end of a body that a link recognizes.

    :param request_id: id of the request.
    """
    return f'<end of {request_id}>'.encode()


async def _discard(source: SocketStream) -> None:
    with contextlib.suppress(*_CONNECTION_ERRORS):
        async for _ in source:
            """Read on until the connection ends."""


async def _close_both(source: SocketStream, sink: SocketStream) -> None:
    """Close both ends after one failed, so that the other detects it."""
    with contextlib.suppress(*_CONNECTION_ERRORS):
        await sink.aclose()
    with contextlib.suppress(*_CONNECTION_ERRORS):
        await source.aclose()
