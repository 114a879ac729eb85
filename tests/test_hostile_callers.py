"""Callers that send what no ordinary caller sends, to a daemon process.

Measured on commit 807512a, 120 such connections took the process to 2 GB, or
left ordinary callers without an answer.  Each test has fewer connections, and
bounds that follow from the smallest instance.
"""

import itertools
import signal

import anyio
import pytest

from tests.hostile_helpers import (
    HOST,
    MAX_BODY_BYTES,
    MAX_FDS,
    ChatDaemonProcess,
    build_head,
    run_daemon,
)

pytestmark = pytest.mark.anyio
PIECE_BYTES = 65_536
MB = 1_048_576
# Connections of each test, and the bytes that each of them sends at most.
COUNT = 40
HEAD_BYTES = 8 * MB
PIPELINED_BYTES = 4 * MB
BLANK_BYTES = MB
CHUNKED_BYTES = 48 * MB
CHUNKED_COUNT = 120
IDLE_COUNT = 200
LISTENERS = ('callers', 'readiness', 'entries', 'metrics', 'peers')
BEGUN_HEAD = f'GET /book/1/10 HTTP/1.1\r\nHost: {HOST}\r\n'.encode()
TARGETS = {
    'callers': '/nothing',
    'readiness': '/readiness',
    'entries': '/resolve?zone=a',
    'metrics': '/metrics',
    'peers': '/topics/operators',
}


def repeat(unit, size):
    """Return pieces of a repeated text with this many bytes in all."""
    piece = unit * (PIECE_BYTES // len(unit))
    return itertools.repeat(piece, size // len(piece))


def cut(text):
    """Return a text in pieces."""
    return [
        text[start : start + PIECE_BYTES]
        for start in range(0, len(text), PIECE_BYTES)
    ]


@pytest.mark.parametrize(
    ('listener', 'unit'),
    [
        *((listener, b'X-Name: text\r\n') for listener in LISTENERS),
        ('callers', b'a:\r\n'),
        ('callers', b'N'),
    ],
)
async def test_a_head_without_end_takes_no_memory(tmp_path, listener, unit):
    """Header lines without end, and one endless header name, took 1.2 GB."""
    async with run_daemon(tmp_path) as (daemon, crowd):
        await crowd.send(
            listener, COUNT, [BEGUN_HEAD, *repeat(unit, HEAD_BYTES)]
        )
        await daemon.check()


async def test_an_endless_target_takes_no_memory(tmp_path):
    """A request line without end was kept whole."""
    async with run_daemon(tmp_path) as (daemon, crowd):
        await crowd.send(
            'callers', COUNT, [b'GET /', *repeat(b'a', HEAD_BYTES)]
        )
        await daemon.check()


@pytest.mark.parametrize('listener', LISTENERS)
async def test_blank_lines_before_a_request_keep_no_connection(
    tmp_path, listener
):
    """Connections that sent only empty lines stayed open until idle."""
    async with run_daemon(tmp_path) as (daemon, crowd):
        before = daemon.open_descriptors
        await crowd.send(listener, COUNT, list(repeat(b'\r\n', BLANK_BYTES)))
        await daemon.check()
        with anyio.move_on_after(30):
            while daemon.open_descriptors > before + COUNT // 4:
                await anyio.sleep(0.1)
        assert daemon.open_descriptors <= before + COUNT // 4


async def test_bodies_that_stop_short_of_their_end_fit_into_memory(tmp_path):
    """Each body was kept whole, for 10 s."""
    head = build_head(**{'Content-Length': MAX_BODY_BYTES})
    async with run_daemon(tmp_path) as (daemon, crowd):
        body = bytes(MAX_BODY_BYTES - 1)
        await crowd.send('callers', COUNT, [head, *cut(body)])
        await daemon.check()


async def test_many_whole_bodies_fit_into_memory(tmp_path):
    """Each body was kept until its endpoint had answered."""
    head = build_head(**{'Content-Length': MAX_BODY_BYTES})
    async with run_daemon(tmp_path) as (daemon, crowd):
        daemon.endpoint.pause_s = 2
        body = bytes(MAX_BODY_BYTES)
        await crowd.send('callers', COUNT, [head, *cut(body)])
        daemon.endpoint.pause_s = 0
        await daemon.check()


async def test_bodies_for_an_endpoint_that_reads_nothing_fit_into_memory(
    tmp_path,
):
    """Each body was kept three times while the endpoint did not read it."""
    head = build_head('/slow/1/10', **{'Content-Length': MAX_BODY_BYTES})
    async with run_daemon(tmp_path) as (daemon, crowd):
        body = bytes(MAX_BODY_BYTES)
        await crowd.send('callers', COUNT, [head, *cut(body)])
        await daemon.check()


async def test_large_answers_that_nobody_reads_fit_into_memory(tmp_path):
    """Answers were kept for callers that do not read, without a time limit."""
    request = build_head('/book/1/4000000', **{'Content-Length': 0})
    async with run_daemon(tmp_path) as (daemon, crowd):
        await crowd.send('callers', 2 * COUNT, [request])
        await daemon.check()


async def test_chunks_of_one_byte_leave_time_for_others(tmp_path):
    """The process parsed chunks beyond the limit, and answered nobody.

    On commit 807512a it takes a crowd that sends faster than this one.
    """
    head = build_head(**{'Transfer-Encoding': 'chunked'})
    async with (
        run_daemon(tmp_path) as (daemon, crowd),
        anyio.create_task_group() as group,
    ):
        group.start_soon(
            crowd.send,
            'callers',
            CHUNKED_COUNT,
            [head, *repeat(b'1\r\na\r\n', CHUNKED_BYTES)],
            MB,
        )
        # The crowd goes on to send.
        while crowd.sent_bytes < CHUNKED_COUNT * PIECE_BYTES:
            await anyio.sleep(0.01)
        await daemon.check()
        group.cancel_scope.cancel()


async def test_trailers_without_end_take_no_memory(tmp_path):
    """Trailers were added to the headers of the request."""
    head = build_head(**{'Transfer-Encoding': 'chunked'})
    async with run_daemon(tmp_path) as (daemon, crowd):
        await crowd.send(
            'callers',
            COUNT,
            [head, b'1\r\na\r\n0\r\n', *repeat(b'a:b\r\n', HEAD_BYTES)],
        )
        await daemon.check()


async def test_small_headers_count_with_what_they_take(tmp_path):
    """A head of 16 kB with small headers took 50 times its size."""
    head = build_head(**{'Content-Length': 2})
    small = b'a:\r\n' * ((16_000 - len(head)) // 4)
    text = head[:-2] + small + b'\r\n1'
    async with run_daemon(tmp_path) as (daemon, crowd):
        await crowd.send('callers', 3 * COUNT, [text])
        await daemon.check()


@pytest.mark.parametrize('listener', LISTENERS)
async def test_pipelined_requests_wait_for_unread_answers(tmp_path, listener):
    """Requests sent ahead were queued without bound, and took 2 GB."""
    request = build_head(TARGETS[listener], 'GET')
    async with run_daemon(tmp_path) as (daemon, crowd):
        await crowd.send(
            listener, COUNT, list(repeat(request, PIPELINED_BYTES))
        )
        await daemon.check()


@pytest.mark.parametrize('listener', LISTENERS)
async def test_idle_connections_leave_descriptors_for_others(
    tmp_path, listener
):
    """Each connection of a caller took a descriptor, up to the last one."""
    async with run_daemon(tmp_path) as (daemon, crowd):
        await crowd.send(listener, IDLE_COUNT, [])
        await daemon.check()
        assert daemon.open_descriptors <= MAX_FDS


@pytest.mark.parametrize(
    ('listener', 'target'), [('callers', '/v1/entries'), ('admin', '/metrics')]
)
async def test_the_chat_daemon_bounds_its_callers_as_well(
    tmp_path, listener, target
):
    """Its listeners are of the same server, and had no bounds either."""
    request = build_head(target, 'GET')
    program = ChatDaemonProcess
    async with run_daemon(tmp_path, program) as (daemon, crowd):
        await crowd.send(
            listener, COUNT, [BEGUN_HEAD, *repeat(b'a: b\r\n', HEAD_BYTES)]
        )
        await crowd.send(
            listener, COUNT, list(repeat(request, PIPELINED_BYTES))
        )
        await daemon.check()


async def test_a_stop_beside_such_callers_ends_the_process(tmp_path):
    """Connections with held bytes must not keep a stop from its end."""
    head = build_head(**{'Content-Length': MAX_BODY_BYTES})
    request = build_head('/readiness', 'GET')
    async with run_daemon(tmp_path) as (daemon, crowd):
        await crowd.send('callers', 10, [head, bytes(PIECE_BYTES)])
        await crowd.send(
            'readiness', 10, list(repeat(request, PIPELINED_BYTES // 16))
        )
        daemon.process.send_signal(signal.SIGHUP)
        await daemon.check()
        daemon.process.send_signal(signal.SIGTERM)
        while daemon.is_running:
            await anyio.sleep(0.05)
        assert daemon.process.returncode == 0
