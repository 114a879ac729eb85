"""Stand-in endpoints behind the relay, with faults drawn at random."""

import contextlib
import random
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from standins.actions import (
    ABRUPT_ACTIONS,
    INCOMPLETE_ACTIONS,
    ActionChooser,
)
from standins.deadly import read_crash_step
from standins.notices import Arrival, Notices, PauseAnswer
from standins.relayed_answers import (
    encode_answer,
    encode_chunk,
    encode_each_event,
    read_headers,
    read_size,
    send_refusal,
    send_without_end,
)
from standins.run_log import Run, RunLog
from standins.unusual import UnusualBehaviour

# Largest number of bytes of a plain answer that are sent at once.
_PIECE_BYTES: Final = 65536
# Seconds until an endpoint that crashed accepts connections again.
CRASH_S: Final = 2.0
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
    :ivar unusual: what it does besides faults.
    :ivar notices: what it announces in its answers.
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
        self.unusual = UnusualBehaviour()
        self.notices = Notices()
        self._run_log = run_log
        self._rng = rng
        self._chooser = ActionChooser(rng=rng)
        self._silent_until: float = 0
        self._down_until: float = 0
        # The last execution on each open connection.
        self._last_runs: dict[SocketStream, Run | None] = {}
        self._unframed: set[SocketStream] = set()

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
        self._last_runs[stream] = None
        async with stream:
            with contextlib.suppress(*_DISCONNECTED):
                while await self._serve_request(stream, reader):
                    """Serve the next request of the connection."""
        self._last_runs.pop(stream)
        self._unframed.discard(stream)

    async def crash(self) -> None:
        """Break off all answers, and serve again after ``CRASH_S``."""
        now = anyio.current_time()
        self._down_until = now + CRASH_S
        self._run_log.crashed_at.setdefault(self.name, []).append(now)
        # Streams without length break off within their next event.
        for stream in self._last_runs.keys() - self._unframed:
            await stream.aclose()

    async def _serve_request(
        self, stream: SocketStream, reader: BufferedByteReceiveStream
    ) -> bool:
        if anyio.current_time() < self._down_until:
            return False
        head = await reader.receive_until(_END_OF_HEAD, _MAX_HEAD_BYTES)
        headers = read_headers(head)
        length = int(headers.get(b'content-length', b'0'))
        body = await reader.receive_exactly(length) if length else b''
        arrived_at = anyio.current_time()
        await self._wait_while_silent()
        crash_step = read_crash_step(body)
        return await self._answer(stream, head, headers, arrived_at, crash_step)

    async def _answer(
        self,
        stream: SocketStream,
        head: bytes,
        headers: Mapping[bytes, bytes],
        arrived_at: float,
        crash_step: int | None,
    ) -> bool:
        request_id = headers.get(b'x-request-id', b'')
        if not request_id:
            raise ValueError(f'request without X-Request-Id: {head!r}')
        head_template = b'HTTP/1.1 %%b\r\nX-Request-Id: %b\r\n%b' % (
            request_id,
            self.notices.encode(),
        )
        is_misdirected = headers.get(b'x-expect-instance') != self.name.encode()
        self._run_log.arrivals.append(
            Arrival(
                request_id=request_id.decode(),
                endpoint=self.name,
                at=arrived_at,
                answered_at=anyio.current_time(),
                rate_limit=self.notices.rate_limit,
                is_misdirected=is_misdirected,
            )
        )
        if is_misdirected:
            self._run_log.misdirected += 1
            await send_refusal(stream, head_template, b'421 Misdirected')
            return True
        if arrived_at < self.notices.pause_ends_at:
            await self._ask_for_pause(stream, head_template, request_id)
            return True
        is_stream = b' /draft/' in head
        action = self._chooser.choose(
            headers, self.fault_share, self.unusual, is_stream=is_stream
        )
        if crash_step is not None:
            action = 'crash'
        if action == 'shed':
            await send_refusal(stream, head_template, b'503 Full')
            return True
        self._record_run(stream, headers, action, arrived_at)
        if crash_step:
            await self._begin_answer(
                stream, head_template, crash_step, is_stream=is_stream
            )
        if action in ABRUPT_ACTIONS:
            await self._end_abruptly(stream, head_template, action)
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

    async def _ask_for_pause(
        self, stream: SocketStream, head_template: bytes, request_id: bytes
    ) -> None:
        answer = PauseAnswer(
            request_id=request_id.decode(),
            endpoint=self.name,
            asked_at=anyio.current_time(),
            ends_at=self.notices.pause_ends_at,
        )
        self._run_log.pauses.append(answer)
        await send_refusal(stream, head_template, b'503 Pause', answer.encode())

    async def _begin_answer(
        self,
        stream: SocketStream,
        head_template: bytes,
        crash_step: int,
        *,
        is_stream: bool,
    ) -> None:
        frame = b'Transfer-Encoding: chunked\r\nX-Response-Seal: 1\r\n\r\n'
        await stream.send(head_template % b'200 OK' + frame)
        for number in range(1, crash_step):
            await anyio.sleep(self.pause_s)
            piece = b'id: %d\ndata: x\n\n' % number if is_stream else b'x'
            await stream.send(encode_chunk(piece))
        await anyio.sleep(self.pause_s)

    async def _end_abruptly(
        self, stream: SocketStream, head_template: bytes, action: str
    ) -> None:
        if action == 'flood':
            await send_without_end(stream, head_template, self._rng)
        if action == 'crash':
            await self.crash()

    def _record_run(
        self,
        stream: SocketStream,
        headers: Mapping[bytes, bytes],
        action: str,
        arrived_at: float,
    ) -> None:
        run = Run(
            request_id=headers[b'x-request-id'].decode(),
            endpoint=self.name,
            service=self.service,
            version=self.version,
            workspace=headers.get(b'x-tenant-id', b'').decode(),
            arrived_at=arrived_at,
            action=action,
            is_leaving=self.notices.is_leaving,
            previous=self._last_runs[stream],
        )
        self._last_runs[stream] = run
        self._run_log.record(run)

    async def _send_answer(
        self,
        stream: SocketStream,
        head_template: bytes,
        body: bytes,
        action: str,
    ) -> bool:
        await anyio.sleep(self.pause_s)
        status = b'500 No' if action == 'fail' else b'200 OK'
        is_unframed = self._chooser.omits_length(action, self.unusual)
        frame = b'' if is_unframed else b'Content-Length: %d\r\n' % len(body)
        answer = head_template % status + b'X-Response-Seal: 1\r\n%b\r\n%b' % (
            frame,
            body,
        )
        if action == 'cut':
            await self._send_pieces(stream, answer[:-3])
            return False
        await self._send_pieces(stream, answer)
        if action in {'twice', 'junk'}:
            await anyio.sleep(_UNSOLICITED_DELAY_S)
            await stream.send(answer if action == 'twice' else b'\x00junk')
        return not is_unframed

    async def _send_stream(
        self,
        stream: SocketStream,
        head_template: bytes,
        events: Sequence[bytes],
        last_event_id: int,
        action: str,
    ) -> bool:
        is_unframed = self._chooser.omits_length(action, self.unusual)
        frame = b'' if is_unframed else b'Transfer-Encoding: chunked\r\n'
        await stream.send(
            head_template % b'200 OK' + b'X-Response-Seal: 1\r\n%b\r\n' % frame
        )
        encode = bytes if is_unframed else encode_chunk
        if is_unframed:
            self._unframed.add(stream)
        started_at = anyio.current_time()
        async for raw in self._generate_events(events[last_event_id:], action):
            if is_unframed and self._down_until > started_at:
                await stream.send(raw[:2])
                return False
            await stream.send(encode(raw))
        self._unframed.discard(stream)
        if is_unframed or action in INCOMPLETE_ACTIONS:
            return False
        await stream.send(b'0\r\n\r\n')
        return True

    async def _generate_events(
        self, events: Sequence[bytes], action: str
    ) -> AsyncIterator[bytes]:
        for number, raw in enumerate(events):
            await self._wait_while_silent()
            if action in INCOMPLETE_ACTIONS and number == 2:
                yield raw[:5] if action == 'tear' else raw
                return
            yield raw
            await anyio.sleep(self.pause_s)

    async def _send_pieces(self, stream: SocketStream, answer: bytes) -> None:
        for start in range(0, len(answer), _PIECE_BYTES):
            await self._wait_while_silent()
            await stream.send(answer[start : start + _PIECE_BYTES])
