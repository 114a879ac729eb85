"""Links of stand-ins, which disturb the connections that they forward."""

import socket

import anyio
import pytest
from anyio.abc import SocketAttribute

from laurelwind.transport.network import split_address
from standins.link import Link


# A link that reset its connections, one of which had just ended, ended a soak.
@pytest.mark.anyio
async def test_a_link_resets_connections_of_which_some_have_ended():
    accepted = []

    async def serve(stream):
        accepted.append(stream)
        await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    link = Link(target=f'127.0.0.1:{port}')
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        await link.start(group)
        caller = await anyio.connect_tcp(*split_address(link.address))
        link.delay_s = 60
        await caller.send(b'request')
        await anyio.sleep(0.1)
        link.delay_s = 0
        open_caller = await anyio.connect_tcp(*split_address(link.address))
        raw = caller.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
        await caller.aclose()
        for part in (b'answer', b'more'):
            await accepted[0].send(part)
            await anyio.sleep(0.1)
        link.reset()
        with pytest.raises(anyio.BrokenResourceError):
            await open_caller.receive()
        group.cancel_scope.cancel()
