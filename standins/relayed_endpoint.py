"""Stand-in endpoints behind the relay, with faults drawn at random."""

import contextlib
import random
from collections.abc import Mapping, Sequence
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from attrs import define, field, frozen

from standins.relayed_answers import (
    encode_answer,
    encode_each_event,
    read_size,
)

# Largest number of bytes of a plain answer that are sent at once.
_PIECE_BYTES: Final = 65536
# Faults of an endpoint, drawn with equal probability.
PLAIN_FAULTS: Final = ('shed', 'fail', 'reset', 'cut', 'twice', 'junk')
STREAM_FAULTS: Final = ('shed', 'reset', 'tear', 'stop', 'twice')
_END_OF_HEAD: Final = b'\r\n\r\n'
_MAX_HEAD_BYTES: Final = 65536
# Seconds between an answer and the unsolicited data sent after it.
_UNSOLICITED_DELAY_S: Final = 0.002
_DISCONNECTED: Final = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@frozen(kw_only=True)
class Run:
    """One execution of a request by an endpoint.

    :ivar endpoint: the endpoint's name.
    :ivar service: the endpoint's service.
    :ivar version: the endpoint's version.
    :ivar workspace: workspace in the request's headers.
    :ivar arrived_at: arrival on the monotonic clock, in seconds.
    :ivar action: ``serve``, or the fault that the endpoint showed.
    """

    request_id: str
    endpoint: str
    service: str
    version: str
    workspace: str
    arrived_at: float
    action: str


@define
class RunLog:
    """Record of the requests that all endpoints executed.

    :ivar runs: executions by request id.
    :ivar misdirected: number of requests addressed to another endpoint.
    """

    runs: dict[str, list[Run]] = field(factory=dict)
    misdirected: int = 0

    def record(self, run: Run) -> None:
        """Add an execution."""
        self.runs.setdefault(run.request_id, []).append(run)

    def count_runs(self, request_id: str) -> int:
        """Return the number of executions of a request."""
        return len(self.runs.get(request_id, ()))


class RelayedEndpoint:
    """An HTTP endpoint on loopback that shows faults.

    The last part of a request's path is the size of its answer in bytes.

    :param name: its name; requests addressed to another one get status 421.
    :param service: name of its service.
    :param run_log: records its executions.
    :param rng: random generator that chooses its faults.
    :param fault_share: share of requests that get a fault, between 0 and 1.
    :param pause_s: seconds before an answer, and between two events of a
        stream.
    :param version: its model version.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        run_log: RunLog,
        rng: random.Random,
        fault_share: float = 0,
        pause_s: float = 0,
        version: str = 'v1',
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.fault_share = fault_share
        self.pause_s = pause_s
        self.address = ''
        self._run_log = run_log
        self._rng = rng
        self._silent_until: float = 0

    async def start(self, group: TaskGroup) -> None:
        """Listen on a free port.

        :param group: task group that serves the connections.
        """
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        group.start_soon(listener.serve, self._serve)

    def fall_silent(self, duration_s: float) -> None:
        """Neither begin nor continue any answer for some seconds.

        :param duration_s: length of the silence in seconds.
        """
        ends_at = anyio.current_time() + duration_s
        self._silent_until = max(self._silent_until, ends_at)

    async def _wait_while_silent(self) -> None:
        while anyio.current_time() < self._silent_until:
            await anyio.sleep_until(self._silent_until)

    async def _serve(self, stream: SocketStream) -> None:
        reader = BufferedByteReceiveStream(stream)
        async with stream:
            with contextlib.suppress(*_DISCONNECTED):
                while await self._serve_request(stream, reader):
                    """Serve the next request of the connection."""

    async def _serve_request(
        self, stream: SocketStream, reader: BufferedByteReceiveStream
    ) -> bool:
        head = await reader.receive_until(_END_OF_HEAD, _MAX_HEAD_BYTES)
        headers = _read_headers(head)
        length = int(headers.get(b'content-length', b'0'))
        if length:
            await reader.receive_exactly(length)
        arrived_at = anyio.current_time()
        await self._wait_while_silent()
        return await self._answer(stream, head, headers, arrived_at)

    async def _answer(
        self,
        stream: SocketStream,
        head: bytes,
        headers: Mapping[bytes, bytes],
        arrived_at: float,
    ) -> bool:
        request_id = headers[b'x-request-id']
        head_template = b'HTTP/1.1 %%b\r\nX-Request-Id: %b\r\n' % request_id
        if headers.get(b'x-expect-instance') != self.name.encode():
            self._run_log.misdirected += 1
            await _refuse(stream, head_template % b'421 Misdirected')
            return True
        is_stream = b' /draft/' in head
        action = self._choose_action(is_stream)
        if action == 'shed':
            await _refuse(stream, head_template % b'503 Full')
            return True
        self._record_run(headers, action, arrived_at)
        if action == 'reset':
            return False
        size = read_size(head)
        if is_stream:
            events = encode_each_event(request_id, size)
            last_event_id = int(headers.get(b'last-event-id', b'0'))
            return await self._send_stream(
                stream, head_template, events, last_event_id, action
            )
        body = encode_answer(request_id, size)
        return await self._send_answer(stream, head_template, body, action)

    def _choose_action(self, is_stream: bool) -> str:
        if self._rng.random() >= self.fault_share:
            return 'serve'
        return self._rng.choice(STREAM_FAULTS if is_stream else PLAIN_FAULTS)

    def _record_run(
        self, headers: Mapping[bytes, bytes], action: str, arrived_at: float
    ) -> None:
        self._run_log.record(
            Run(
                request_id=headers[b'x-request-id'].decode(),
                endpoint=self.name,
                service=self.service,
                version=self.version,
                workspace=headers.get(b'x-tenant-id', b'').decode(),
                arrived_at=arrived_at,
                action=action,
            )
        )

    async def _send_answer(
        self,
        stream: SocketStream,
        head_template: bytes,
        body: bytes,
        action: str,
    ) -> bool:
        await anyio.sleep(self.pause_s)
        status = b'500 No' if action == 'fail' else b'200 OK'
        answer = (
            head_template % status
            + b'X-Response-Seal: 1\r\nContent-Length: %d\r\n\r\n%b'
            % (len(body), body)
        )
        if action == 'cut':
            await self._send_pieces(stream, answer[:-3])
            return False
        await self._send_pieces(stream, answer)
        if action in {'twice', 'junk'}:
            await anyio.sleep(_UNSOLICITED_DELAY_S)
            await stream.send(answer if action == 'twice' else b'\x00junk')
        return True

    async def _send_stream(
        self,
        stream: SocketStream,
        head_template: bytes,
        events: Sequence[bytes],
        last_event_id: int,
        action: str,
    ) -> bool:
        await stream.send(
            head_template % b'200 OK'
            + b'X-Response-Seal: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        for number, raw in enumerate(events[last_event_id:], last_event_id + 1):
            await self._wait_while_silent()
            if action != 'serve' and number == last_event_id + 3:
                sent = raw[:5] if action == 'tear' else raw
                await stream.send(_encode_chunk(sent))
                if action == 'twice':
                    continue
                return False
            await stream.send(_encode_chunk(raw))
            await anyio.sleep(self.pause_s)
        await stream.send(b'0\r\n\r\n')
        return True

    async def _send_pieces(self, stream: SocketStream, answer: bytes) -> None:
        for start in range(0, len(answer), _PIECE_BYTES):
            await self._wait_while_silent()
            await stream.send(answer[start : start + _PIECE_BYTES])


async def _refuse(stream: SocketStream, head: bytes) -> None:
    rest = b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    await stream.send(b'%b%b' % (head, rest))


def _encode_chunk(body: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(body), body)


def _read_headers(head: bytes) -> dict[bytes, bytes]:
    headers = {}
    for line in head.split(b'\r\n')[1:]:
        name, _, raw_value = line.partition(b': ')
        headers[name.lower()] = raw_value
    return headers
