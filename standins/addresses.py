"""Addresses with free ports on this machine."""

import socket
from typing import Final

LOOPBACK: Final = '127.0.0.1'


def find_free_address(
    host: str = LOOPBACK, *, kind: socket.SocketKind = socket.SOCK_STREAM
) -> str:
    """Return ``host:port`` with a port that is free at the time of the call.

    :param host: an address of this machine.
    :param kind: socket type for which the port must be free.
    """
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        port = probe.getsockname()[1]
    return f'{host}:{port}'
