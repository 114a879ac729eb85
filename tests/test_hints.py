"""Hints of waiting work between the daemons of a zone."""

import socket

import anyio
import pytest

from laurelwind.transport.hints import LEAST_WORK_S, WorkHints
from standins.addresses import take_address
from tests.helpers import wait_until
from tests.relay_helpers import quiet_log

pytestmark = pytest.mark.anyio


async def run(check):
    addresses = [take_address(kind=socket.SOCK_DGRAM) for _ in range(2)]
    heard = []
    hints = [
        WorkHints(
            address=address,
            list_peers=lambda address=address: [
                peer for peer in addresses if peer != address
            ],
            note_work=lambda name, work_s: heard.append((name, work_s)),
            log=quiet_log(),
        )
        for address in addresses
    ]
    async with anyio.create_task_group() as group:
        for one in hints:
            await one.start(group)
        await check(hints, heard, addresses)
        for one in hints:
            await one.close()
        group.cancel_scope.cancel()


async def test_peers_hear_of_work_and_not_of_trifles():
    async def check(hints, heard, addresses):
        await hints[0].tell('e1', LEAST_WORK_S / 2)
        await hints[0].tell('e1', 0.6)
        await wait_until(lambda: heard)
        assert heard == [('e1', 0.6)]

    await run(check)


async def test_many_requests_may_tell_at_once():
    async def check(hints, heard, addresses):
        async with anyio.create_task_group() as group:
            for number in range(50):
                group.start_soon(hints[0].tell, f'e{number}', 1.0)

    await run(check)


async def test_what_is_no_hint_is_passed_over():
    async def check(hints, heard, addresses):
        host, _, port = addresses[0].partition(':')
        texts = (b'', b'{}', b'[1,2]', b'["e1","x"]', b'["e1",0.2,3]')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for text in texts:
                sender.sendto(text, (host, int(port)))
            sender.sendto(b'["e2",1e9]', (host, int(port)))
        await wait_until(lambda: heard)
        assert heard == [('e2', 60.0)]

    await run(check)
