"""Connections between daemons."""

import socket
import struct

import anyio
import pynng
import pytest

from laurelwind.transport.network import split_address
from laurelwind.transport.peers import NngPeerNetwork, _Connection
from standins.addresses import find_free_addresses
from tests.helpers import wait_until

pytestmark = pytest.mark.anyio


# A stop that cancels the close must not leave the socket open, nor spin.
async def test_a_dropped_connection_is_closed_when_its_tasks_are_cancelled():
    connection = _Connection(address=find_free_addresses(1)[0])
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(connection.close_when_unused)
            await anyio.sleep(0.05)
            group.cancel_scope.cancel()
    with pytest.raises(pynng.Closed):
        connection._socket.send(b'', block=False)


# What a requesting socket of the library sends first.
GREETING = b'\0SP\0' + struct.pack('>HH', 0x30, 0)


def connect_peer(address):
    """Connect as a peer; return the socket, and whether it was accepted."""
    peer = socket.create_connection(split_address(address), timeout=2)
    peer.sendall(GREETING)
    peer.settimeout(0.3)
    try:
        peer.recv(len(GREETING))
        is_accepted = bool(peer.recv(1))
    except TimeoutError:
        is_accepted = True
    except ConnectionResetError:
        is_accepted = False
    return peer, is_accepted


async def test_peers_open_no_more_connections_than_the_limit():
    """Peers that only connect took every descriptor of the process."""
    network = NngPeerNetwork(
        address='127.0.0.1:0',
        signer=None,
        metrics=None,
        tracing=None,
        max_connections=2,
    )
    async with anyio.create_task_group() as group:
        network.start(group)
        peers = [connect_peer(network.address) for _ in range(4)]
        assert [accepted for _, accepted in peers] == [True, True, False, False]
        for peer, _ in peers[1:]:
            peer.close()
        await wait_until(lambda: network.inbound.count == 1)
        peers.append(connect_peer(network.address))
        assert peers[-1][1]
        for peer, _ in peers:
            peer.close()
        await wait_until(lambda: not network.inbound.count)
        await network.close()
