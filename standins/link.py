"""A TCP link with faults: lost, cut, muted, delayed and reset connections.

A lost connection stays open at both ends and carries nothing any more,
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
# Linger for no time: closing the socket resets the connection.
_AT_ONCE: Final = struct.pack('ii', 1, 0)
_POLL_S: Final = 0.01
_REQUEST_ID: Final = re.compile(rb'(?i)\r\nx-request-id: *([^\r]+)\r\n')
_BROKEN: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class Link:
    """Forwards connections to one address.

    :param target: ``host:port`` behind the link.
    :ivar delay_s: seconds that every chunk is held.
    :ivar is_mute: whether what the target sends is held back, while what is
        sent to it passes.
    :ivar is_cut: whether nothing passes.
    :ivar handed_at: when each request was handed to the target, by its id;
        for requests that fit into one chunk.
    """

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._generation = 0
        self.is_cut = False
        self.address = ''
        self.opened = 0
        self.delay_s: float = 0
        self.is_mute = False
        # When each request had been handed to the target, by its id.
        self.handed_at: dict[str, float] = {}
        self._open: set[SocketStream] = set()

    def reset(self) -> None:
        """Reset every open connection at both ends."""
        for stream in tuple(self._open):
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _AT_ONCE)
            transport = getattr(stream, '_transport', None)
            if transport is not None:
                transport.abort()

    async def start(self, group: TaskGroup) -> None:
        """Begin to forward.

        :param group: the tasks of the test.
        """
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        port = listener.extra(SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        group.start_soon(listener.serve, self._serve)

    def lose_connections(self) -> None:
        """Let every open connection go silent for good."""
        self._generation += 1

    def cut(self, *, is_cut: bool) -> None:
        """Let new connections go silent too, or work again.

        :param is_cut: whether nothing passes.
        """
        self.is_cut = is_cut
        self._generation += 1

    async def _serve(self, near: SocketStream) -> None:
        self.opened += 1
        generation = self._generation
        if self.is_cut:
            await anyio.sleep(_FOREVER)
        async with near:
            try:
                far = await anyio.connect_tcp(*split_address(self._target))
            except OSError:
                return
            async with far, anyio.create_task_group() as group:
                self._open.update((near, far))
                group.start_soon(self._pump, near, far, generation, False)
                group.start_soon(self._pump, far, near, generation, True)
        self._open.difference_update((near, far))

    async def _pump(
        self,
        source: SocketStream,
        sink: SocketStream,
        generation: int,
        is_back: bool,
    ) -> None:
        try:
            async for chunk in source:
                await self._hold(is_back=is_back)
                if generation != self._generation:
                    await anyio.sleep(_FOREVER)
                await sink.send(chunk)
                if not is_back:
                    self._note_handed(chunk)
            await sink.send_eof()
        except _BROKEN:
            # One end broke; the other must learn of it.
            with contextlib.suppress(*_BROKEN):
                await sink.aclose()
            with contextlib.suppress(*_BROKEN):
                await source.aclose()

    def _note_handed(self, chunk: bytes) -> None:
        for found in _REQUEST_ID.finditer(chunk):
            self.handed_at[found[1].decode()] = anyio.current_time()

    async def _hold(self, *, is_back: bool) -> None:
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        while is_back and self.is_mute:
            await anyio.sleep(_POLL_S)
