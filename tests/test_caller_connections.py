"""Time-outs of the connections that callers hold open."""

import contextlib

import anyio
import pytest

from laurelwind.transport.server import HttpServer
from laurelwind.transport.timed_protocol import ConnectionPolicy, TimeoutKind
from tests.helpers import wait_until

pytestmark = pytest.mark.anyio
HEAD = b'GET / HTTP/1.1\r\nHost: x\r\n'


class SlowApplication:
    """Answers each request after a pause."""

    def __init__(self):
        self.pause_s = 0

    async def __call__(self, scope, receive, send):
        await anyio.sleep(self.pause_s)
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'2')],
            }
        )
        await send({'type': 'http.response.body', 'body': b'ok'})


@contextlib.asynccontextmanager
async def serve(**policy_fields):
    application = SlowApplication()
    timeouts = []
    policy = ConnectionPolicy(record_timeout=timeouts.append, **policy_fields)
    server = HttpServer(address='127.0.0.1:0', policy=policy)
    async with anyio.create_task_group() as group:
        await server.start(group, application)
        host, _, port = server.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            with anyio.fail_after(10):
                yield application, stream, timeouts
        server.abort_connections()
        group.cancel_scope.cancel()


async def test_time_outs_are_recorded_by_what_was_missing():
    async with serve(header_timeout_s=0.05) as (_, stream, timeouts):
        await wait_until(lambda: timeouts == [TimeoutKind.FIRST_BYTE])
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()
    async with serve(header_timeout_s=0.05) as (_, stream, timeouts):
        await stream.send(HEAD)
        await wait_until(lambda: timeouts == [TimeoutKind.HEAD])
