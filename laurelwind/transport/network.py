"""Addresses, and how calls over HTTP fail."""

from typing import Final

import httpcore

# What the HTTP client raises when a call fails on its way.
HTTP_FAILURES: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
# The same for calls with a time limit of their own, whose end is an OSError as
# failures of sockets are.
NO_ANSWER: Final = (*HTTP_FAILURES, OSError)


def split_address(address: str) -> tuple[str, int]:
    """Give the host and the port of an address.

    :param address: ``host:port``.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
