"""Free addresses of this machine."""

import socket
from typing import Final

LOOPBACK: Final = '127.0.0.1'


def take_address(
    host: str = LOOPBACK, *, kind: socket.SocketKind = socket.SOCK_STREAM
) -> str:
    """Find a free port of a host.

    :param host: an address of this machine.
    :param kind: for streams or for datagrams.
    """
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        port = probe.getsockname()[1]
    return f'{host}:{port}'
