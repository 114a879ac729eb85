"""What the machine grants a process: memory and file descriptors."""

import resource
from typing import Final

from attrs import frozen

from laurelwind.transport.limits.memory_size import read_memory_bytes

BYTES_PER_MB: Final = 1_048_576
# Size of the smallest instance, used where the size is unknown.
DEFAULT_MEMORY_MB: Final = 128
# Share of the memory for what callers make the process hold. The rest is for
# the process itself, about 45 MB, and for what its fleet's tables take.
HELD_SHARE: Final = 0.375
# A body of the default maximum size, as it is counted, and its connection.
MIN_HELD_BYTES: Final = 16_777_216
# Share of the descriptors for connections of callers, and the least number of
# those that remain for the store, other daemons, listeners and files. What
# neither takes is for connections to endpoints.
CONNECTION_SHARE: Final = 0.5
RESERVED_SHARE: Final = 0.125
MIN_RESERVED: Final = 32
# Bytes that a connection may take beyond what is counted: its objects, and a
# small request. 200 connections without a request took less than 1 MB.
CONNECTION_BYTES: Final = 32_768
_MIN_CONNECTIONS: Final = 16
MAX_CONNECTIONS: Final = 16_384


@frozen(kw_only=True)
class MachineLimits:
    """Limits on what all callers together take.

    :ivar held_bytes: most bytes held for callers.
    :ivar connections: most connections of callers.
    :ivar endpoint_connections: most connections to endpoints.
    """

    held_bytes: int
    connections: int
    endpoint_connections: int = MAX_CONNECTIONS


def derive_limits(memory_mb: float = 0, max_fds: int = 0) -> MachineLimits:
    """Derive the limits from the size of an instance.

    :param memory_mb: its memory in MB of 2**20 bytes; zero if unknown, and what
        the system grants the process counts.
    :param max_fds: most descriptors; zero for the process's own limit.
    """
    memory_mb = memory_mb or _read_memory_mb()
    max_fds = max_fds or _read_max_fds()
    held_bytes = max(int(memory_mb * HELD_SHARE * BYTES_PER_MB), MIN_HELD_BYTES)
    reserved = max(int(max_fds * RESERVED_SHARE), MIN_RESERVED)
    connections = min(
        int(max_fds * CONNECTION_SHARE),
        max_fds - reserved - _MIN_CONNECTIONS,
        held_bytes // CONNECTION_BYTES,
    )
    connections = min(max(connections, _MIN_CONNECTIONS), MAX_CONNECTIONS)
    endpoint_connections = int(max_fds * (1 - CONNECTION_SHARE)) - reserved
    return MachineLimits(
        held_bytes=held_bytes,
        connections=connections,
        endpoint_connections=min(
            max(endpoint_connections, _MIN_CONNECTIONS), MAX_CONNECTIONS
        ),
    )


def _read_memory_mb() -> float:
    memory_bytes = read_memory_bytes()
    if memory_bytes is None:
        return DEFAULT_MEMORY_MB
    return memory_bytes / BYTES_PER_MB


def _read_max_fds() -> int:
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY:
        return 2 * MAX_CONNECTIONS
    return limit
