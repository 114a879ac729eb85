"""Work hints between the daemons of an availability zone."""

import socket

import anyio
import pytest

from laurelwind.transport.hints import MIN_WORK_S, WorkHints
from standins.addresses import find_free_addresses
from tests.helpers import wait_until
from tests.relay_helpers import build_silent_log

pytestmark = pytest.mark.anyio


async def run_with_peers(check):
    addresses = find_free_addresses(2)
    received = []
    hints = [
        WorkHints(
            address=address,
            list_peers=lambda address=address: [
                peer for peer in addresses if peer != address
            ],
            record_work=lambda name, work_s: received.append((name, work_s)),
            log=build_silent_log(),
        )
        for address in addresses
    ]
    async with anyio.create_task_group() as group:
        for work_hints in hints:
            await work_hints.start(group)
        await check(hints, received, addresses)
        for work_hints in hints:
            await work_hints.close()
        group.cancel_scope.cancel()


async def test_peers_receive_hints_only_above_the_minimum_work():
    async def check(hints, received, addresses):
        await hints[0].notify('e1', MIN_WORK_S / 2)
        await hints[0].notify('e1', 0.6)
        await wait_until(lambda: received)
        assert received == [('e1', 0.6)]

    await run_with_peers(check)


async def test_concurrent_requests_can_send_hints():
    async def check(hints, received, addresses):
        async with anyio.create_task_group() as group:
            for number in range(50):
                group.start_soon(hints[0].notify, f'e{number}', 1.0)

    await run_with_peers(check)


async def test_ignores_malformed_hints_and_caps_work():
    async def check(hints, received, addresses):
        host, _, port = addresses[0].partition(':')
        malformed_hints = (b'', b'{}', b'[1,2]', b'["e1","x"]', b'["e1",0.2,3]')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in malformed_hints:
                sender.sendto(datagram, (host, int(port)))
            sender.sendto(b'["e2",1e9]', (host, int(port)))
        await wait_until(lambda: received)
        assert received == [('e2', 60.0)]

    await run_with_peers(check)
