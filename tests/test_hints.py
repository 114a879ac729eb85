"""Work hints between the daemons of an availability zone."""

import socket

import anyio
import pytest

from laurelwind.transport.hints import MIN_WORK_S, HintListener, WorkHints
from laurelwind.transport.peer_datagrams import PeerDatagrams
from standins.addresses import find_free_addresses
from tests.helpers import wait_until
from tests.relay_helpers import build_silent_log

pytestmark = pytest.mark.anyio


async def run_with_peers(check):
    addresses = find_free_addresses(2)
    received = []
    channels = [
        PeerDatagrams(address=address, log=build_silent_log())
        for address in addresses
    ]
    hints = [
        WorkHints(
            channel=channel,
            list_peers=lambda address=address: [
                peer for peer in addresses if peer != address
            ],
            listener=HintListener(
                record_work=lambda name, work_s: received.append(
                    (name, work_s)
                ),
                record_loss=lambda name, lost_s: received.append(
                    (name, 'lost', lost_s)
                ),
                record_leaving=lambda name, started_ms: received.append(
                    (name, 'leaving', started_ms)
                ),
            ),
        )
        for address, channel in zip(addresses, channels, strict=True)
    ]
    async with anyio.create_task_group() as group:
        for channel, work_hints in zip(channels, hints, strict=True):
            await channel.start(group)
            work_hints.start(group)
        await check(hints, received, addresses)
        for channel in channels:
            await channel.close()
        group.cancel_scope.cancel()


async def test_peers_receive_hints_only_above_the_minimum_work():
    async def check(hints, received, addresses):
        hints[0].notify_work('e1', MIN_WORK_S / 2)
        hints[0].notify_work('e1', 0.6)
        await wait_until(lambda: received)
        assert received == [('e1', 0.6)]

    await run_with_peers(check)


async def test_hints_of_one_moment_share_datagrams():
    async def check(hints, received, addresses):
        for number in range(50):
            hints[0].notify_work(f'e{number}', 1.0)
        hints[0].notify_work('e1', 0.5)
        hints[0].notify_loss('e1', 4.7)
        await wait_until(lambda: len(received) == 51)
        assert ('e1', 1.5) in received
        assert ('e1', 'lost', 4.7) in received

    await run_with_peers(check)


async def test_hints_of_the_last_release_are_understood():
    async def check(hints, received, addresses):
        host, _, port = addresses[0].partition(':')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b'["e2",0.4]', (host, int(port)))
        await wait_until(lambda: received)
        assert received == [('e2', 0.4)]

    await run_with_peers(check)


async def test_ignores_malformed_hints_and_caps_work():
    async def check(hints, received, addresses):
        host, _, port = addresses[0].partition(':')
        malformed_hints = (
            b'',
            b'{}',
            b'[1,2]',
            b'["e1","x"]',
            b'["e1",0.2,3]',
            b'[["e1",0.2],["e1",0.2,"x"],["e1",null,1],[7,1,1],["e1",0,0,"x"]]',
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for datagram in malformed_hints:
                sender.sendto(datagram, (host, int(port)))
            sender.sendto(b'["e2",1e9]', (host, int(port)))
        await wait_until(lambda: received)
        assert received == [('e2', 60.0)]

    await run_with_peers(check)


async def test_peers_learn_which_process_of_an_endpoint_leaves():
    async def check(hints, received, addresses):
        hints[0].notify_leaving('e1', 1_764_000_000_123)
        hints[0].notify_work('e2', 0.6)
        await wait_until(lambda: len(received) == 2)
        assert ('e1', 'leaving', 1_764_000_000_123) in received
        assert ('e2', 0.6) in received

    await run_with_peers(check)
