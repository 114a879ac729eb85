"""Connections between daemons."""

import anyio
import pynng
import pytest

from laurelwind.transport.peers import _Connection
from standins.addresses import find_free_addresses

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
