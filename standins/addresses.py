"""Addresses with free ports on this machine."""

import contextlib
import socket
from collections.abc import Sequence
from typing import Final

LOOPBACK: Final = '127.0.0.1'
_MAX_TRIES: Final = 100


def find_free_addresses(count: int, host: str = LOOPBACK) -> Sequence[str]:
    """Return different ``host:port`` whose ports are free when called.

    The ports are free for TCP and for UDP.

    :param count: number of addresses.
    :param host: an address of this machine.
    :raises OSError: if no free port is found.
    """
    with contextlib.ExitStack() as probes:
        return [_reserve_address(host, probes) for _ in range(count)]


def _reserve_address(host: str, probes: contextlib.ExitStack) -> str:
    """Keep a free port bound until the probes are closed."""
    for _ in range(_MAX_TRIES):
        stream = probes.enter_context(socket.socket(type=socket.SOCK_STREAM))
        datagram = probes.enter_context(socket.socket(type=socket.SOCK_DGRAM))
        stream.bind((host, 0))
        address = stream.getsockname()
        with contextlib.suppress(OSError):
            datagram.bind(address)
            return f'{host}:{address[1]}'
    raise OSError(f'no port of {host} is free for TCP and UDP')
