"""Stand-ins for endpoints that get requests as they are, and misbehave."""

import contextlib
import random
from collections.abc import Mapping
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from attrs import define, field, frozen

EVENTS: Final = 6
# Acts of an endpoint, and how often it shows each besides serving.
PLAIN_ACTS: Final = ('shed', 'fail', 'reset', 'cut', 'twice', 'junk')
STREAM_ACTS: Final = ('shed', 'reset', 'tear', 'stop', 'twice')
_END_OF_HEAD: Final = b'\r\n\r\n'
_MOST_HEAD_BYTES: Final = 65536
# Seconds between an answer and what an endpoint sends unasked behind it.
_UNASKED_S: Final = 0.002
_GONE: Final = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@frozen(kw_only=True)
class Run:
    """One request that an endpoint began to run.

    :ivar request_id: the request.
    :ivar endpoint: the endpoint's name.
    :ivar service: its service.
    :ivar version: its version.
    :ivar workspace: the workspace that came with the request.
    :ivar at: when, on the monotonic clock.
    :ivar act: what the endpoint did with it.
    """

    request_id: str
    endpoint: str
    service: str
    version: str
    workspace: str
    at: float
    act: str


@define
class Ledger:
    """What all endpoints ran.

    :ivar runs: by request.
    :ivar misdirected: requests that were meant for another endpoint.
    """

    runs: dict[str, list[Run]] = field(factory=dict)
    misdirected: int = 0

    def note(self, run: Run) -> None:
        """Take in a run."""
        self.runs.setdefault(run.request_id, []).append(run)

    def count(self, request_id: str) -> int:
        """Count the runs of a request."""
        return len(self.runs.get(request_id, ()))


class RelayedEndpoint:
    """One endpoint on loopback.

    :param name: its name; it refuses what is meant for another one.
    :param service: its service.
    :param ledger: takes what it runs.
    :param luck: draws what it does.
    :param wildness: part of the requests that it does not serve.
    :param pause_s: seconds between two events of a stream.
    :param version: its version.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        ledger: Ledger,
        luck: random.Random,
        wildness: float = 0,
        pause_s: float = 0,
        version: str = 'v1',
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.wildness = wildness
        self.pause_s = pause_s
        self.address = ''
        self._ledger = ledger
        self._luck = luck

    async def start(self, group: TaskGroup) -> None:
        """Begin to listen.

        :param group: the tasks of the test.
        """
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        group.start_soon(listener.serve, self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        async with stream:
            with contextlib.suppress(*_GONE):
                while await self._serve_one(stream, reader):
                    """The connection goes on."""

    async def _serve_one(
        self, stream: SocketStream, reader: BufferedByteReceiveStream
    ) -> bool:
        head = await reader.receive_until(_END_OF_HEAD, _MOST_HEAD_BYTES)
        headers = _read_headers(head)
        length = int(headers.get(b'content-length', b'0'))
        if length:
            await reader.receive_exactly(length)
        return await self._answer(stream, head, headers)

    async def _answer(
        self,
        stream: SocketStream,
        head: bytes,
        headers: Mapping[bytes, bytes],
    ) -> bool:
        request_id = headers[b'x-request-id']
        start = b'HTTP/1.1 %%b\r\nX-Request-Id: %b\r\n' % request_id
        if headers.get(b'x-expect-instance') != self.name.encode():
            self._ledger.misdirected += 1
            await _refuse(stream, start % b'421 Misdirected')
            return True
        is_stream = b' /draft/' in head
        act = self._draw(is_stream)
        if act == 'shed':
            await _refuse(stream, start % b'503 Full')
            return True
        self._note(headers, act)
        if act == 'reset':
            return False
        if is_stream:
            after = int(headers.get(b'last-event-id', b'0'))
            return await self._stream(stream, start, request_id, after, act)
        return await self._whole(stream, start, request_id, act)

    def _draw(self, is_stream: bool) -> str:
        if self._luck.random() >= self.wildness:
            return 'serve'
        return self._luck.choice(STREAM_ACTS if is_stream else PLAIN_ACTS)

    def _note(self, headers: Mapping[bytes, bytes], act: str) -> None:
        self._ledger.note(
            Run(
                request_id=headers[b'x-request-id'].decode(),
                endpoint=self.name,
                service=self.service,
                version=self.version,
                workspace=headers.get(b'x-tenant-id', b'').decode(),
                at=anyio.current_time(),
                act=act,
            )
        )

    async def _whole(
        self, stream: SocketStream, start: bytes, request_id: bytes, act: str
    ) -> bool:
        await anyio.sleep(self.pause_s)
        status = b'500 No' if act == 'fail' else b'200 OK'
        answer = (
            start % status
            + b'X-Response-Seal: %b\r\nContent-Length: %d\r\n\r\n%b'
            % (request_id, len(request_id), request_id)
        )
        if act == 'cut':
            await stream.send(answer[:-3])
            return False
        await stream.send(answer)
        if act in {'twice', 'junk'}:
            await anyio.sleep(_UNASKED_S)
            await stream.send(answer if act == 'twice' else b'\x00junk')
        return True

    async def _stream(
        self,
        stream: SocketStream,
        start: bytes,
        request_id: bytes,
        after: int,
        act: str,
    ) -> bool:
        await stream.send(
            start % b'200 OK'
            + b'X-Response-Seal: %b\r\nTransfer-Encoding: chunked\r\n\r\n'
            % request_id
        )
        for number in range(after + 1, EVENTS + 1):
            raw = write_event(request_id, number)
            if act != 'serve' and number == after + 3:
                torn = raw[:5] if act == 'tear' else raw
                await stream.send(_write_chunk(torn))
                if act == 'twice':
                    continue
                return False
            await stream.send(_write_chunk(raw))
            await anyio.sleep(self.pause_s)
        await stream.send(b'0\r\n\r\n')
        return True


def write_event(request_id: bytes, number: int) -> bytes:
    """Write one event of a request's stream.

    :param request_id: the request.
    :param number: the event's id.
    """
    return b'id: %d\ndata: %b-%d\n\n' % (number, request_id, number)


def write_events(request_id: bytes) -> bytes:
    """Write a request's whole stream.

    :param request_id: the request.
    """
    return b''.join(
        write_event(request_id, number) for number in range(1, EVENTS + 1)
    )


async def _refuse(stream: SocketStream, start: bytes) -> None:
    rest = b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    await stream.send(b'%b%b' % (start, rest))


def _write_chunk(body: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(body), body)


def _read_headers(head: bytes) -> dict[bytes, bytes]:
    headers = {}
    for line in head.split(b'\r\n')[1:]:
        name, _, text = line.partition(b': ')
        headers[name.lower()] = text
    return headers
