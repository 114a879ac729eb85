"""Idle connections to endpoints end, also where no further request comes."""

import contextlib

import anyio
import pytest
from anyio.abc import SocketAttribute

from laurelwind.state.load import read_monotonic_clock
from laurelwind.transport import idle_connections
from laurelwind.transport.connection import Connection
from laurelwind.transport.idle_connections import (
    IdleConnections,
    KeptConnection,
)
from tests.helpers import wait_until

pytestmark = pytest.mark.anyio


class Endpoint:
    """Accepts connections, and counts those that are open."""

    def __init__(self):
        self.streams = set()

    async def serve(self, stream):
        self.streams.add(stream)
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.ClosedResourceError
            ):
                while True:
                    await stream.receive()
        self.streams.discard(stream)


class Fixture:
    def __init__(self, endpoint, addresses):
        self.endpoint = endpoint
        self.addresses = addresses
        self.idle = IdleConnections()

    async def add(self, address, count=1):
        opened = [
            KeptConnection(connection=await Connection.open(address))
            for _ in range(count)
        ]
        for kept in opened:
            await self.idle.add(address, kept)
        return opened

    async def wait_for_open(self, count):
        await wait_until(lambda: len(self.endpoint.streams) == count)
        assert self.idle.count == count


@contextlib.asynccontextmanager
async def run_endpoint(listeners=1):
    endpoint = Endpoint()
    addresses = []
    async with anyio.create_task_group() as group:
        for _ in range(listeners):
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            group.start_soon(listener.serve, endpoint.serve)
            port = listener.extra(SocketAttribute.local_port)
            addresses.append(f'127.0.0.1:{port}')
        fixture = Fixture(endpoint, addresses)
        with anyio.fail_after(10):
            yield fixture
        await fixture.idle.close()
        group.cancel_scope.cancel()


async def test_connections_to_an_endpoint_that_left_are_closed(monkeypatch):
    """They were closed only by a further request to the same address."""
    monkeypatch.setattr(idle_connections, 'SWEEP_PERIOD_S', 60)
    async with run_endpoint(2) as fixture, anyio.create_task_group() as group:
        fixture.idle.start(group)
        first, second = fixture.addresses
        await fixture.add(first, 3)
        await fixture.add(second, 2)
        fixture.idle.retain({second})
        await fixture.wait_for_open(2)
        assert fixture.idle.addresses == {second}
        assert fixture.idle.take(first) is None
        group.cancel_scope.cancel()


async def test_expired_connections_are_closed_without_a_request(monkeypatch):
    monkeypatch.setattr(idle_connections, 'SWEEP_PERIOD_S', 0.02)
    async with run_endpoint() as fixture, anyio.create_task_group() as group:
        fixture.idle.start(group)
        kept = await fixture.add(fixture.addresses[0], 2)
        kept[0].idle_since = (
            read_monotonic_clock() - idle_connections.IDLE_TIMEOUT_S - 1
        )
        await fixture.wait_for_open(1)
        assert fixture.idle.take(fixture.addresses[0]) is kept[1]
        await kept[1].connection.close()
        group.cancel_scope.cancel()


async def test_connections_that_the_endpoint_closed_are_closed():
    """Nothing reads from an idle connection, so that its end went unnoticed."""
    async with run_endpoint() as fixture:
        await fixture.add(fixture.addresses[0], 2)
        await fixture.wait_for_open(2)
        for stream in tuple(fixture.endpoint.streams):
            await stream.aclose()
        await anyio.sleep(0.05)
        await fixture.idle.sweep()
        assert fixture.idle.count == 0
        assert not fixture.idle.addresses


async def test_idle_connections_are_bounded_by_address_and_in_all(monkeypatch):
    monkeypatch.setattr(idle_connections, 'MAX_IDLE_PER_ADDRESS', 3)
    monkeypatch.setattr(idle_connections, 'MAX_IDLE', 5)
    async with run_endpoint(3) as fixture:
        kept = {
            address: await fixture.add(address, 4)
            for address in fixture.addresses
        }
        await fixture.wait_for_open(5)
        # The oldest ones were closed.
        first, second, third = (kept[address] for address in fixture.addresses)
        open_states = [
            [not entry.connection.is_closed for entry in entries]
            for entries in (first, second, third)
        ]
        assert open_states == [
            [False, False, False, False],
            [False, False, True, True],
            [False, True, True, True],
        ]


async def test_a_connection_that_expires_at_once_is_not_kept():
    """An endpoint may announce that it closes an idle connection at once."""
    async with run_endpoint() as fixture:
        connection = await Connection.open(fixture.addresses[0])
        connection._idle_timeout_s = -1
        await fixture.idle.add(
            fixture.addresses[0], KeptConnection(connection=connection)
        )
        assert connection.is_closed
        assert fixture.idle.count == 0
