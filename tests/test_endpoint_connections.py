"""Callers that do not read used up the descriptors by way of endpoints."""

import contextlib

import anyio
import pytest
from anyio.abc import SocketAttribute

from laurelwind.errors import (
    CapacityError,
    ConnectionLimitError,
    EndpointError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.headers import HeaderNames, NamedHeaderCodec
from laurelwind.state.load import read_monotonic_clock
from laurelwind.transport import endpoint_connections
from laurelwind.transport.endpoint_connections import EndpointConnections
from laurelwind.transport.gateway import HttpGateway
from laurelwind.transport.idle_connections import (
    IdleConnections,
    KeptConnection,
)
from laurelwind.transport.limits.account import CallerAccount
from laurelwind.transport.server import HttpServer
from laurelwind.transport.timed_protocol import ConnectionPolicy
from tests.helpers import wait_until
from tests.relay_helpers import (
    EndpointScript,
    FakeGateway,
    RelayHarness,
    build_broken_error,
    build_request,
)
from tests.test_connection import build_answer, run_with_endpoint

pytestmark = pytest.mark.anyio

LIMIT = 3


@contextlib.asynccontextmanager
async def run_connections(end_unread=lambda min_wait_s: False):
    """Open connections, within a limit, to an endpoint that only accepts."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    address = f'127.0.0.1:{listener.extra(SocketAttribute.local_port)}'
    async with listener:
        yield (
            EndpointConnections(
                limit=LIMIT, idle=IdleConnections(), end_unread=end_unread
            ),
            address,
        )


async def test_no_more_connections_are_open_than_the_limit(monkeypatch):
    """Each request opened one, however many were open."""
    monkeypatch.setattr(endpoint_connections, 'MAX_WAIT_S', 0.05)
    async with run_connections() as (connections, address):
        opened = [await connections.open(address) for _ in range(LIMIT)]
        assert connections.open_count == LIMIT
        with pytest.raises(ConnectionLimitError) as caught:
            await connections.open(address)
        assert caught.value.run is RunState.NOT_RUN
        for connection in opened:
            await connection.close()
            await connection.close()
        assert connections.open_count == 0


async def test_a_request_waits_for_the_connection_of_another_one():
    """It was refused although the limit was reached for a moment only."""
    async with (
        run_connections() as (connections, address),
        anyio.create_task_group() as group,
    ):
        opened = [await connections.open(address) for _ in range(LIMIT)]

        async def close_one():
            await opened[0].close()

        group.start_soon(close_one)
        opened.append(await connections.open(address))
        assert connections.open_count == LIMIT
        for connection in opened:
            await connection.close()


async def test_idle_connections_make_room_first():
    """Connections that nobody uses kept a request from being sent."""
    ended = []
    async with run_connections(ended.append) as (connections, address):
        opened = [await connections.open(address) for _ in range(LIMIT)]
        kept = KeptConnection(connection=opened[0])
        await connections._idle.add(address, kept)
        opened.append(await connections.open(address))
        assert opened[0].is_closed
        assert not ended
        for connection in opened:
            await connection.close()


async def test_a_connection_that_becomes_idle_makes_room():
    """A request that waited was refused beside a connection that was idle."""

    async def check(fixture):
        fixture.gateway = HttpGateway(
            codec=NamedHeaderCodec(names=HeaderNames()), limit=1
        )
        async with anyio.create_task_group() as group:
            for request_id in ('r1', 'r2', 'r3'):
                group.start_soon(fixture.send_request, request_id)
        assert fixture.gateway.connections.open_count == 1
        assert fixture.gateway.idle.count == 1

    answers = [build_answer(name) for name in (b'r1', b'r2', b'r3')]
    await run_with_endpoint([(answer, False) for answer in answers], check)


@pytest.mark.parametrize('is_cancelled', [False, True])
async def test_a_request_that_gives_up_leaves_its_place(
    monkeypatch, is_cancelled
):
    """A slot that is granted as its request ends must not be lost."""
    monkeypatch.setattr(endpoint_connections, 'MAX_WAIT_S', 0.05)
    async with run_connections() as (connections, address):
        opened = [await connections.open(address) for _ in range(LIMIT)]
        async with anyio.create_task_group() as group:

            async def wait_and_give_up():
                with pytest.raises(ConnectionLimitError):
                    await connections.open(address)

            for _ in range(LIMIT):
                group.start_soon(wait_and_give_up)
            await wait_until(lambda: connections.is_awaited)
            if is_cancelled:
                for connection in opened:
                    connection.record_close()
                    connection.record_close = lambda: None
                group.cancel_scope.cancel()
        assert not connections.is_awaited
        for connection in opened:
            await connection.close()
        assert connections.open_count == 0


async def send_much(scope, receive, send):
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    body = {'type': 'http.response.body', 'body': bytes(10**6)}
    for _ in range(100):
        await send({**body, 'more_body': True})


@pytest.mark.parametrize('uses_endpoints', [False, True])
async def test_only_answers_that_use_an_endpoint_are_ended(uses_endpoints):
    """A daemon that read a topic slowly was cut, which freed nothing."""
    account = CallerAccount()
    server = HttpServer(
        address='127.0.0.1:0',
        policy=ConnectionPolicy(account=account, uses_endpoints=uses_endpoints),
    )
    async with anyio.create_task_group() as group:
        await server.start(group, send_much)
        host, _, port = server.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            await wait_until(lambda: account.total_bytes)
            assert account.end_unread(0) is uses_endpoints
        group.cancel_scope.cancel()


async def test_an_unread_answer_makes_room():
    """Callers that read nothing kept all others from being served."""
    async with (
        run_connections(lambda min_wait_s: end_unread()) as (
            connections,
            address,
        ),
        anyio.create_task_group() as group,
    ):
        opened = [await connections.open(address) for _ in range(LIMIT)]

        def end_unread():
            group.start_soon(opened[0].close)
            return True

        opened.append(await connections.open(address))
        assert opened[0].is_closed
        for connection in opened:
            await connection.close()


async def test_a_refused_connection_leaves_room():
    """Endpoints that accept nothing used up the limit."""
    async with run_connections() as (connections, address):
        pass
    for _ in range(2 * LIMIT):
        with pytest.raises(EndpointError):
            await connections.open(address)
    assert connections.open_count == 0


class FullGateway(FakeGateway):
    """Has no connection left after some requests."""

    def __init__(self, scripts):
        super().__init__(scripts)
        self.remaining = len(scripts)
        self.tries = 0

    async def send(self, request, dispatch):
        self.tries += 1
        if not self.remaining:
            raise ConnectionLimitError(
                ErrorKind.NO_ENDPOINT, 'in use', run=RunState.NOT_RUN
            )
        self.remaining -= 1
        return await super().send(request, dispatch)


async def test_without_a_connection_a_request_is_not_run():
    """Endpoints were blamed for what the daemon itself lacks."""
    gateway = FullGateway([])
    harness = RelayHarness(gateway=gateway)
    with pytest.raises(CapacityError) as caught:
        await harness.serve(build_request('look'))
    assert caught.value.status == 503
    assert caught.value.run is RunState.NOT_RUN
    assert gateway.tries == 1
    now = read_monotonic_clock()
    for name in harness.directory.list_names():
        state = harness.placement._get_state(harness.directory.find(name))
        assert not state.is_avoided(now)


async def test_a_retry_without_a_connection_promises_nothing():
    """A request that may have run was reported as not run."""
    gateway = FullGateway([EndpointScript(head=build_broken_error())])
    harness = RelayHarness(gateway=gateway)
    with pytest.raises(EndpointError) as caught:
        await harness.serve(build_request('look'))
    assert caught.value.status == 502
