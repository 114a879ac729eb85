"""Network addresses, and the exceptions of failed HTTP calls."""

from typing import Final

import httpcore

# Exceptions of the HTTP client for calls that fail in transit.
HTTP_FAILURES: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
# The same for calls within ``anyio.fail_after``; OSError covers its
# TimeoutError and the failures of sockets.
CALL_FAILURES: Final = (*HTTP_FAILURES, OSError)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    :param address: ``host:port``; brackets around the host are removed.
    """
    host, _, port = address.rpartition(':')
    return host.removeprefix('[').removesuffix(']'), int(port)
