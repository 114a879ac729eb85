"""Endpoints and callers on plain sockets, whose every byte a test decides."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

HOST = 'shop.example'
KEY = 'key-of-the-shop'
WORKSPACE = 'shop'
_END_OF_HEAD = b'\r\n\r\n'


@dataclass
class Request:
    """A request as an endpoint received it."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The caller's id of the attempt."""
        return self.headers.get('x-request-id', '')


class Channel:
    """An endpoint's end of one channel."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def read_request(self) -> Request:
        """Read the next request."""
        head = await self._reader.readuntil(_END_OF_HEAD)
        method, target, headers = _parse_head(head)
        length = int(headers.get('content-length', '0'))
        body = await self._reader.readexactly(length) if length else b''
        return Request(method, target.split(' ')[0], headers, body)

    async def send(self, sent: bytes) -> None:
        """Send bytes; raises ``ConnectionError`` once the peer has closed."""
        if self._writer.is_closing() or self._reader.at_eof():
            raise ConnectionResetError
        self._writer.write(sent)
        await self._writer.drain()

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()


Answer = Callable[['Endpoint', Request, Channel], Awaitable[bool]]


class Endpoint:
    """An endpoint that registers itself and answers as a case says."""

    def __init__(
        self, *, name: str, service: str, zone: str, answer: Answer
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self.address = ''
        self.slots = 6
        self.version = 'v1'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._channels: set[Channel] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stop listening, and close all channels."""
        if self._server is not None:
            self._server.close()
        for channel in tuple(self._channels):
            channel.close()

    def build_entry(self) -> dict:
        """Build the next entry for the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._serve_request(channel):
                pass
        channel.close()

    async def _serve_request(self, channel: Channel) -> bool:
        request = await channel.read_request()
        expected = request.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            await channel.send(
                b'HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n'
                b'X-Request-Id: %b\r\nContent-Length: 0\r\n\r\n'
                % request.id.encode()
            )
            return True
        return await self._answer(self, request, channel)


@dataclass
class Outcome:
    """What a caller got for one attempt."""

    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False

    def __str__(self) -> str:
        """Describe it for the record."""
        if not self.status:
            return 'no answer'
        end = 'complete' if self.is_complete else 'cut off'
        return f'{self.status}, {len(self.body)} bytes, {end}'


async def send_request(
    address: str,
    *,
    request_id: str,
    method: str = 'POST',
    path: str = '/',
    deadline_ms: int = 10000,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
    patience_s: float | None = None,
) -> Outcome:
    """Send one request on a new channel, and wait for its answer."""
    sent = _encode_request(
        f'{method} {path} HTTP/1.1',
        {
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {KEY}',
            **(headers or {}),
        },
        body,
    )
    outcome = Outcome()
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError
    ):
        async with asyncio.timeout(patience_s or deadline_ms / 1000 + 1):
            await exchange(address, outcome, sent)
    return outcome


def _encode_request(
    start: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    lines = [
        start,
        f'Host: {HOST}',
        f'Content-Length: {len(body)}',
        *(f'{name}: {text}' for name, text in headers.items()),
    ]
    return '\r\n'.join((*lines, '', '')).encode() + body


async def exchange(address: str, outcome: Outcome, sent: bytes) -> None:
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(sent)
        await writer.drain()
        head = await reader.readuntil(_END_OF_HEAD)
        _, status, outcome.headers = _parse_head(head)
        outcome.status = int(status.split(' ')[0])
        if 'content-length' in outcome.headers:
            await _read_exactly(
                reader, outcome, int(outcome.headers['content-length'])
            )
        else:
            while size := await _read_chunk_size(reader):
                await _read_exactly(reader, outcome, size)
                await reader.readline()
        outcome.is_complete = True
    finally:
        writer.close()


async def _read_chunk_size(reader: asyncio.StreamReader) -> int:
    line = await reader.readline()
    if not line:
        raise asyncio.IncompleteReadError(b'', None)
    return int(line, 16)


async def _read_exactly(
    reader: asyncio.StreamReader, outcome: Outcome, size: int
) -> None:
    while size:
        piece = await reader.read(size)
        if not piece:
            raise asyncio.IncompleteReadError(b'', size)
        outcome.body += piece
        size -= len(piece)


def _parse_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    start, *lines = head.decode('latin-1').split('\r\n')
    first, _, rest = start.partition(' ')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, rest, headers
