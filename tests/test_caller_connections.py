"""Time-outs of the connections that callers hold open."""

import contextlib
import os
import time
from types import SimpleNamespace

import anyio
import orjson
import pytest
from anyio.abc import SocketAttribute

from laurelwind.platform.documents import PlatformDocuments
from laurelwind.relay_limits import TableLimits
from laurelwind.transport.server import HttpServer
from laurelwind.transport.timed_protocol import (
    ConnectionLimits,
    ConnectionPolicy,
    TimeoutKind,
)
from tests.helpers import wait_until

pytestmark = pytest.mark.anyio
HEAD = b'GET / HTTP/1.1\r\nHost: x\r\n'


class SlowApplication:
    """Answers each request after a pause."""

    def __init__(self):
        self.pause_s = 0
        self.departures = 0

    async def __call__(self, scope, receive, send):
        await receive()
        with anyio.move_on_after(self.pause_s):
            assert (await receive())['type'] == 'http.disconnect'
            self.departures += 1
            return
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'2')],
            }
        )
        await send({'type': 'http.response.body', 'body': b'ok'})


class ServedConnection:
    """A caller's connection to a server with limits that can be changed."""

    def __init__(self, **limits):
        self.application = SlowApplication()
        self.timeouts = []
        self.limits = ConnectionLimits(**limits)
        self.stream = None

    def build_policy(self):
        return ConnectionPolicy(
            read_limits=lambda: self.limits,
            record_timeout=self.timeouts.append,
        )

    async def read_answers(self):
        text = b''
        while True:
            try:
                text += await self.stream.receive()
            except anyio.EndOfStream:
                return text

    async def read_until(self, ending):
        text = b''
        while not text.endswith(ending):
            text += await self.stream.receive()
        return text


@contextlib.asynccontextmanager
async def connect(**limits):
    connection = ServedConnection(**limits)
    server = HttpServer(address='127.0.0.1:0', policy=connection.build_policy())
    async with anyio.create_task_group() as group:
        await server.start(group, connection.application)
        host, _, port = server.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            connection.stream = stream
            with anyio.fail_after(10):
                yield connection
        server.abort_connections()
        group.cancel_scope.cancel()


async def test_time_outs_are_recorded_by_what_was_missing():
    async with connect(idle_timeout_s=0.05) as connection:
        assert await connection.read_answers() == b''
        assert connection.timeouts == [TimeoutKind.FIRST_BYTE]
    async with connect(header_timeout_s=0.05) as connection:
        await connection.stream.send(HEAD)
        await connection.read_answers()
        assert connection.timeouts == [TimeoutKind.HEAD]
    async with connect(idle_timeout_s=0.05) as connection:
        await connection.stream.send(HEAD + b'\r\n')
        assert (await connection.read_answers()).endswith(b'ok')
        assert connection.timeouts == [TimeoutKind.IDLE]


async def test_a_late_head_is_answered_with_a_promise_that_it_did_not_run():
    """A request whose head came late got a reset in place of an answer."""
    async with connect(header_timeout_s=0.05) as connection:
        await connection.stream.send(HEAD)
        answer = await connection.read_answers()
        assert answer.startswith(b'HTTP/1.1 408 ')
        assert b'connection: close\r\n' in answer


async def test_a_first_request_may_come_later_than_a_head_may_take():
    """The time-out of heads closed connections without a request yet."""
    async with connect(header_timeout_s=0.05) as connection:
        await anyio.sleep(0.2)
        await connection.stream.send(HEAD + b'\r\n')
        assert (await connection.read_until(b'ok')).startswith(b'HTTP/1.1 200 ')


async def test_a_raised_idle_limit_holds_for_open_connections():
    """A kept connection was closed by the limit of an earlier table."""
    async with connect(idle_timeout_s=0.2) as connection:
        await connection.stream.send(HEAD + b'\r\n')
        await connection.read_until(b'ok')
        connection.limits = ConnectionLimits(idle_timeout_s=5)
        await anyio.sleep(0.4)
        await connection.stream.send(HEAD + b'\r\n')
        assert await connection.read_until(b'ok')
        assert not connection.timeouts


async def test_a_late_pipelined_head_does_not_cut_the_answer_before_it():
    """The time-out of a second head cut the answer to the first request."""
    async with connect(header_timeout_s=0.05) as connection:
        connection.application.pause_s = 0.3
        await connection.stream.send(HEAD + b'\r\n' + HEAD)
        answers = await connection.read_answers()
        assert answers.startswith(b'HTTP/1.1 200 ')
        assert b'okHTTP/1.1 408 ' in answers


async def test_a_head_that_waits_behind_a_stalled_loop_is_served():
    """A stall must not make a whole request look late."""
    async with connect(header_timeout_s=0.1) as connection:
        await connection.stream.send(HEAD)
        await anyio.sleep(0.02)
        raw_socket = connection.stream.extra(SocketAttribute.raw_socket)
        os.write(raw_socket.fileno(), b'\r\n')
        time.sleep(0.3)
        assert (await connection.read_until(b'ok')).startswith(b'HTTP/1.1 200 ')


async def test_a_caller_that_closes_its_sending_side_has_left():
    """Work went on for callers that were gone.

    A half-closed connection looks like a closed one until something is sent.
    """
    async with connect() as connection:
        connection.application.pause_s = 5
        await connection.stream.send(HEAD + b'\r\n')
        await connection.stream.send_eof()
        assert await connection.read_answers() == b''
        await wait_until(lambda: connection.application.departures == 1)


def test_the_limits_of_a_table_only_extend_the_defaults():
    """Callers reuse connections by the limits of the operator."""
    tracker = SimpleNamespace(table=None)
    limits = TableLimits(tracker=tracker)
    assert limits.read_connection_limits() == ConnectionLimits()
    codec = PlatformDocuments()
    tracker.table = codec.decode_table(
        orjson.dumps(
            {
                'version': 1,
                'routes': [],
                'limits': {
                    'max_body_bytes': 10,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 90000,
                },
            }
        )
    )
    assert limits.read_body_limit() == 10
    assert limits.read_connection_limits() == ConnectionLimits(
        idle_timeout_s=90
    )


def test_limits_without_a_value_are_those_of_the_defaults():
    """A table was refused for a limit that is null."""
    table = PlatformDocuments().decode_table(
        b'{"version":1,"routes":[],"limits":{"idle_timeout_ms":null}}'
    )
    assert table.limits.idle_timeout_s == 0
