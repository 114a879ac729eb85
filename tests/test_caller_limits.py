"""Limits on what one connection of a caller takes, and all of them together."""

import contextlib
from types import SimpleNamespace

import anyio
import pytest

from laurelwind.coordination.plain_answers import AnswerBuffers
from laurelwind.coordination.retries import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
)
from laurelwind.transport.limits import machine, memory_size
from laurelwind.transport.limits.account import CallerAccount, EndReason
from laurelwind.transport.limits.bounded_protocol import (
    MAX_PARSED_ITEMS,
    SLICE_BYTES,
)
from laurelwind.transport.limits.machine import MachineLimits, derive_limits
from laurelwind.transport.server import HttpServer
from laurelwind.transport.timed_protocol import (
    ConnectionLimits,
    ConnectionPolicy,
)
from tests.helpers import wait_until
from tests.relay_helpers import EndpointScript, FakeExchange

pytestmark = pytest.mark.anyio
HEADER_BYTES = 2000
LINE = b'POST /%d HTTP/1.1\r\nHost: x\r\n'


class EchoApplication:
    """Answers with the path, the headers it got, and the size of the body."""

    def __init__(self):
        self.paths = []
        self.pause_s = 0
        self.reads_body = True
        self.text_size = 0

    async def __call__(self, scope, receive, send):
        size = 0
        more_body = self.reads_body
        while more_body:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            size += len(message['body'])
            more_body = message['more_body']
        self.paths.append(scope['path'])
        await anyio.sleep(self.pause_s)
        text = bytes(self.text_size) + b'%s %d %d;' % (
            scope['raw_path'],
            len(scope['headers']),
            size,
        )
        head = {'type': 'http.response.start', 'status': 200}
        length = (b'content-length', b'%d' % len(text))
        await send({**head, 'headers': [length]})
        await send({'type': 'http.response.body', 'body': text})


class Served:
    """A server with one account, and what it recorded."""

    def __init__(self, **limits):
        values = {'held_bytes': 1_000_000, 'connections': 20, **limits}
        self.application = EchoApplication()
        self.ends = []
        self.header_bytes = HEADER_BYTES
        self.account = CallerAccount(
            limits=MachineLimits(**values),
            record_end=lambda reason, details: self.ends.append(reason),
        )
        self.server = HttpServer(
            address='127.0.0.1:0',
            policy=ConnectionPolicy(
                read_limits=lambda: ConnectionLimits(
                    header_bytes=self.header_bytes
                ),
                account=self.account,
            ),
        )

    async def connect(self):
        host, _, port = self.server.address.rpartition(':')
        return await anyio.connect_tcp(host, int(port))

    async def exchange(self, *pieces):
        """Send pieces, and return all answers up to the end."""
        async with await self.connect() as stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                for piece in pieces:
                    await stream.send(piece)
                    await anyio.sleep(0)
            return await read_all(stream)


async def read_all(stream):
    text = b''
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while not text.endswith(b'/last 1 0;'):
            text += await stream.receive()
    return text


@contextlib.asynccontextmanager
async def serve(**limits):
    served = Served(**limits)
    async with anyio.create_task_group() as group:
        await served.server.start(group, served.application)
        with anyio.fail_after(20):
            yield served
        served.server.abort_connections()
        group.cancel_scope.cancel()


LAST = b'GET /last HTTP/1.1\r\nHost: x\r\n\r\n'


def build_requests():
    """Return requests in a row of every framing, and their answers."""
    parts = [
        (LINE + b'Content-Length: 5\r\n\r\nab\r\n\r', 2, 5),
        (LINE + b'\r\n', 1, 0),
        (LINE + b'Content-Length: 0\r\n\r\n', 2, 0),
        (
            LINE + b'Transfer-Encoding: chunked\r\n\r\n'
            b'4\r\n\r\n\r\n\r\n1;x=y\r\na\r\n0\r\n\r\n',
            2,
            5,
        ),
        (
            LINE + b'Transfer-Encoding: chunked\r\n\r\n'
            b'1\r\na\r\n0\r\nTrailer: b\r\n\r\n',
            2,
            1,
        ),
        (
            b'\r\n' + LINE + b'Content-Length: 9\r\n\r\n' + b'\r\n' * 4 + b'G',
            2,
            9,
        ),
        (LINE + b'a:\r\n' * 300 + b'\r\n', 301, 0),
    ]
    text = b''
    answers = []
    for number, (request, headers, size) in enumerate(parts):
        text += request % number
        answers.append(b'/%d %d %d;' % (number, headers, size))
    return text, answers


def read_answers(text):
    """Return the bodies of answers in a row."""
    bodies = [
        answer.partition(b'\r\n\r\n')[2] for answer in text.split(b'HTTP/1.1')
    ]
    return [body for body in bodies if body]


async def test_requests_sent_ahead_are_served_one_after_another():
    """Parsing that stops between requests must lose and add nothing."""
    async with serve() as served:
        text, answers = build_requests()
        whole = text + LAST
        # Each place at which one read may end and the next one begin.
        for cut in range(1, len(whole), 7):
            received = await served.exchange(whole[:cut], whole[cut:])
            assert read_answers(received) == [*answers, b'/last 1 0;'], cut
        received = await served.exchange(
            *(whole[at : at + 1] for at in range(len(whole)))
        )
        assert read_answers(received) == [*answers, b'/last 1 0;']
        assert not served.ends


async def test_a_request_sent_ahead_waits_until_the_one_before_is_answered():
    """Requests sent ahead were started and queued without a bound."""
    async with serve() as served:
        served.application.pause_s = 0.2
        async with await served.connect() as stream:
            await stream.send(LINE % 1 + b'\r\n' + LAST * 100)
            await wait_until(lambda: served.application.paths == ['/1'])
            connection = next(iter(served.account._connections))
            assert not connection.pipeline
            assert len(connection.unparsed) == 100 * len(LAST)
            assert connection.held_bytes >= 100 * len(LAST)


async def test_a_head_over_the_limit_is_refused_and_one_below_is_served():
    """Heads had no limit."""
    filler = b'a' * (HEADER_BYTES - len(LAST) - len(b'N: \r\n'))
    exact = LAST[:-2] + b'N: ' + filler + b'\r\n\r\n'
    assert len(exact) == HEADER_BYTES
    async with serve() as served:
        async with await served.connect() as stream:
            await stream.send(exact)
            assert (await stream.receive()).startswith(b'HTTP/1.1 200 ')
        assert not served.ends
        longer = exact.replace(b'N: ', b'N: b')
        refused = await served.exchange(longer)
        assert refused.startswith(b'HTTP/1.1 431 ')
        assert served.application.paths == ['/last']
        assert served.ends == [EndReason.HEAD]


@pytest.mark.parametrize('limit', [HEADER_BYTES // 2, 0, -1])
async def test_a_limit_that_is_lowered_during_a_head_ends_it(limit):
    """The event loop turned for ever, as no byte was left to parse."""
    async with serve() as served, await served.connect() as stream:
        await stream.send(LINE % 1 + b'N: ' + b'a' * (HEADER_BYTES // 2))
        await wait_until(lambda: served.account.total_bytes)
        served.header_bytes = limit
        await stream.send(b'aaa')
        assert (await read_all(stream)).startswith(b'HTTP/1.1 431 ')
        assert served.ends == [EndReason.HEAD]


async def test_what_frames_a_body_is_bounded():
    """Extensions of chunks and trailers went on without an end."""
    head = LINE % 1 + b'Transfer-Encoding: chunked\r\n\r\n'
    for begin, unit in ((b'1;', b'e' * 1000), (b'0\r\n', b'a: b\r\n')):
        async with serve() as served:
            await served.exchange(head + begin, *([unit * 100] * 300))
            assert served.ends == [EndReason.FRAMING]
            assert not served.application.paths


async def test_a_body_in_chunks_of_one_byte_is_parsed_over_many_turns():
    """One read of such a body kept the event loop from all others."""
    async with serve() as served:
        async with await served.connect() as stream:
            await wait_until(lambda: served.account.connection_count)
            connection = next(iter(served.account._connections))
            turns = []
            parse_more = connection.parse_more

            def count():
                before = connection.incoming.pieces
                parse_more()
                turns.append(connection.incoming.pieces - before)

            connection.parse_more = count
            await stream.send(LINE % 1 + b'Transfer-Encoding: chunked\r\n\r\n')
            await stream.send(b'1\r\na\r\n' * 20_000 + b'0\r\n\r\n')
            answer = await stream.receive()
        assert answer.endswith(b'/1 2 20000;')
        assert len(turns) > 5
        assert max(turns) <= MAX_PARSED_ITEMS + SLICE_BYTES
        assert not served.ends


async def test_the_body_that_waited_longest_for_its_caller_is_ended_first():
    """Bodies that stopped short of their end filled the memory."""
    head = LINE + b'Content-Length: 200000\r\n\r\n'
    async with serve() as served:
        async with (
            await served.connect() as stalled,
            await served.connect() as fresh,
        ):
            await stalled.send(head % 1 + b'a' * 190_000)
            await wait_until(lambda: served.account.total_bytes > 570_000)
            await anyio.sleep(0.3)
            await fresh.send(head % 2 + b'b' * 199_999)
            refused = await stalled.receive()
            assert refused.startswith(b'HTTP/1.1 503 ')
            assert b'retry-after: ' in refused
            await fresh.send(b'b')
            assert (await fresh.receive()).endswith(b'/2 2 200000;')
        assert served.ends == [EndReason.MEMORY]
        assert served.application.paths == ['/2']
        await wait_until(lambda: not served.account.connection_count)
        assert served.account.total_bytes == 0


async def test_callers_refused_together_return_at_different_times():
    """Each was told to return after one second, all at once again."""
    delays = []
    refused = None
    async with serve(connections=1) as served, contextlib.AsyncExitStack() as s:
        for number in range(6):
            stream = await s.enter_async_context(await served.connect())
            await stream.send(LINE % number)
            await wait_until(lambda: served.account.total_bytes)
            if refused is not None:
                text = await read_all(refused)
                delays.append(float(text.partition(b'retry-after: ')[2]))
            refused = stream
    assert all(
        MIN_RETRY_AFTER_S <= delay <= MAX_RETRY_AFTER_S for delay in delays
    )
    assert len(set(delays)) > 1


async def test_a_request_in_service_is_not_ended_for_another():
    """A refusal promises that the request has not run."""
    head = LINE + b'Content-Length: 300000\r\n\r\n'
    async with serve() as served:
        served.application.pause_s = 0.5
        async with await served.connect() as first:
            await first.send(head % 1 + bytes(300_000))
            await wait_until(lambda: served.application.paths)
            async with await served.connect() as second:
                await second.send(head % 2 + bytes(200_000))
                assert (await second.receive()).startswith(b'HTTP/1.1 503 ')
            assert (await first.receive()).endswith(b'/1 2 300000;')


async def test_a_new_connection_replaces_the_one_that_waited_longest():
    """Idle connections took all descriptors."""
    async with serve(connections=2) as served:
        streams = [await served.connect() for _ in range(2)]
        await wait_until(lambda: served.account.connection_count == 2)
        assert (await served.exchange(LAST)).endswith(b'/last 1 0;')
        with pytest.raises(anyio.EndOfStream):
            await streams[0].receive()
        assert served.ends == [EndReason.CONNECTIONS]
        for stream in streams:
            await stream.aclose()


async def test_empty_lines_end_a_connection():
    """Only the time-out of idle connections ended them."""
    async with serve() as served:
        assert (await served.exchange(b'\r\n' * 300, b'\n' * 500)) == b''
        assert served.ends == [EndReason.BLANK_LINES]


async def test_a_body_that_is_dropped_is_not_counted():
    """Others were ended for the rest of a body behind an early answer."""
    async with serve() as served:
        served.application.reads_body = False
        async with await served.connect() as stream:
            await stream.send(LINE % 1 + b'Content-Length: 2000000\r\n\r\n')
            await stream.receive()
            await stream.send(bytes(1_999_999))
            connection = next(iter(served.account._connections))
            await wait_until(
                lambda: connection.incoming.body_bytes == 1_999_999
            )
            assert connection.held_bytes == 0
        assert not served.ends


async def test_an_unread_answer_is_counted_and_ended_under_pressure():
    """A closed connection kept an answer that nobody read."""
    async with serve(held_bytes=8_000_000) as served:
        served.application.text_size = 6_000_000
        async with await served.connect() as stream:
            await stream.send(LINE % 1 + b'Connection: close\r\n\r\n')
            connection = next(iter(served.account._connections))
            await wait_until(lambda: connection.held_bytes > 1_000_000)
            await anyio.sleep(0.1)
            async with await served.connect() as other:
                head = LINE % 2 + b'Content-Length: 2600000\r\n\r\n'
                served.application.text_size = 0
                await other.send(head + bytes(2_600_000))
                assert (await other.receive()).endswith(b'/2 2 2600000;')
            await wait_until(lambda: not served.account.connection_count)
        assert served.ends == [EndReason.MEMORY]


async def test_answers_beyond_the_total_begin_early_and_lose_nothing():
    """Many answers of 1 MB at once were buffered without a bound."""
    buffers = AnswerBuffers(max_bytes=10)
    script = EndpointScript(chunks=[b'a' * 8, b'b' * 8, b'c' * 8])
    for needs_whole in (False, True, False):
        exchange = FakeExchange(script)
        attempt = SimpleNamespace(exchange=exchange)
        body, is_whole = await buffers.read(attempt, needs_whole=needs_whole)
        assert is_whole is needs_whole
        assert body == (b'a' * 8 + b'b' * 8 + b'c' * 8 * needs_whole)
        assert await exchange.read_chunk() == b'c' * 8 * (not needs_whole)
    small = SimpleNamespace(
        exchange=FakeExchange(EndpointScript(chunks=[b'a' * 8]))
    )
    assert await buffers.read(small, needs_whole=False) == (b'a' * 8, True)


def test_the_limits_follow_from_the_size_of_the_instance(monkeypatch):
    """The process has to stay within the memory of its machine."""
    limits = derive_limits(128, 1024)
    assert limits == MachineLimits(
        held_bytes=50_331_648, connections=512, endpoint_connections=384
    )
    for max_fds in (64, 80, 96, 128):
        small = derive_limits(128, max_fds)
        taken = small.connections + small.endpoint_connections
        assert taken + machine.MIN_RESERVED <= max_fds
    assert derive_limits(128, 10**6).connections == 1536
    monkeypatch.setattr(machine, 'read_memory_bytes', lambda: None)
    assert derive_limits().held_bytes == limits.held_bytes
    monkeypatch.setattr(machine, 'read_memory_bytes', lambda: 2**28)
    assert derive_limits().held_bytes == 2 * limits.held_bytes


def test_a_limit_on_the_memory_of_the_process_is_found(tmp_path, monkeypatch):
    """Instances without the setting have to find their memory themselves."""
    groups = tmp_path / 'cgroup'
    monkeypatch.setattr(memory_size, '_GROUP_FOLDER', tmp_path)
    unlimited = (machine.resource.RLIM_INFINITY,) * 2
    monkeypatch.setattr(machine.resource, 'getrlimit', lambda kind: unlimited)
    assert memory_size.read_memory_bytes(groups) is None
    groups.write_text('4:memory:/a/b\n0::/a/b\n')
    assert memory_size.read_memory_bytes(groups) is None
    folder = tmp_path / 'a' / 'b'
    folder.mkdir(parents=True)
    (folder / 'memory.max').write_text('max\n')
    assert memory_size.read_memory_bytes(groups) is None
    (folder / 'memory.max').write_text('157286400\n')
    assert memory_size.read_memory_bytes(groups) == 157_286_400
