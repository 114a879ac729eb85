"""Small connection pools, several per endpoint under load.

httpcore scans all connections of a pool for each request, so with one large
pool the time per request grows in proportion to the open streams.  Small
pools keep it constant.
"""

import contextlib
from collections.abc import Iterator
from typing import Final

import anyio
import httpcore
from anyio.abc import TaskGroup
from attrs import define

from laurelwind.state.load import read_monotonic_clock

_POOL_SIZE: Final = 8
_KEEPALIVE_S: Final = 20.0
_CLEANUP_INTERVAL_S: Final = 10.0


@define(kw_only=True, eq=False)
class _PoolEntry:
    """A connection pool and its use.

    :ivar pool: the httpcore pool.
    :ivar in_use: number of requests that use the pool now.
    :ivar used_at: monotonic seconds at which the last request ended.
    """

    pool: httpcore.AsyncConnectionPool
    in_use: int = 0
    used_at: float = 0


class EndpointPools:
    """Connection pools of all endpoints, by address."""

    def __init__(self) -> None:
        self._pools: dict[str, list[_PoolEntry]] = {}
        self._retired: list[_PoolEntry] = []

    def start(self, group: TaskGroup) -> None:
        """Start the periodic closing of unused pools.

        :param group: task group of the daemon.
        """
        group.start_soon(self._close_unused_periodically)

    async def close(self) -> None:
        """Close all connections."""
        for address in tuple(self._pools):
            self.retire(address)
        for entry in self._retired:
            await entry.pool.aclose()

    @contextlib.contextmanager
    def borrow(self, address: str) -> Iterator[httpcore.AsyncConnectionPool]:
        """Provide a pool for one request.

        :param address: ``host:port`` of the endpoint.
        """
        entry = self._get_entry(address)
        entry.in_use += 1
        try:
            yield entry.pool
        finally:
            entry.in_use -= 1
            entry.used_at = read_monotonic_clock()

    def retire(self, address: str) -> None:
        """Stop using the open connections to an endpoint for new requests.

        Requests in progress continue; their connections close afterwards.

        :param address: ``host:port`` of the endpoint.
        """
        self._retired.extend(self._pools.pop(address, ()))

    async def close_unused(self) -> None:
        """Close pools without requests that are retired or have expired."""
        idle_since = read_monotonic_clock() - _KEEPALIVE_S
        for address, entries in tuple(self._pools.items()):
            idle = [
                entry
                for entry in entries
                if not entry.in_use and entry.used_at < idle_since
            ]
            self._retired.extend(idle)
            remaining = [entry for entry in entries if entry not in idle]
            self._pools[address] = remaining
            if not remaining:
                self._pools.pop(address)
        await self._close_retired()

    def _get_entry(self, address: str) -> _PoolEntry:
        entries = self._pools.setdefault(address, [])
        for entry in entries:
            if entry.in_use < _POOL_SIZE:
                return entry
        entries.append(_create_entry())
        return entries[-1]

    async def _close_retired(self) -> None:
        unused = [entry for entry in self._retired if not entry.in_use]
        self._retired = [entry for entry in self._retired if entry.in_use]
        for entry in unused:
            await entry.pool.aclose()

    async def _close_unused_periodically(self) -> None:
        while True:
            await anyio.sleep(_CLEANUP_INTERVAL_S)
            await self.close_unused()


def _create_entry() -> _PoolEntry:
    return _PoolEntry(
        pool=httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=_KEEPALIVE_S
        )
    )
