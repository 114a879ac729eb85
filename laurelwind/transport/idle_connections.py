"""Connections to endpoints that wait for another request."""

from collections import deque
from collections.abc import Iterable, Set
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from laurelwind.state.load import read_monotonic_clock
from laurelwind.transport.connection import Connection

# Longest time that a connection stays idle before it is closed, also where the
# endpoint announces no time-out; shorter than typical idle time-outs of HTTP
# servers.
IDLE_TIMEOUT_S: Final = 8.0
# Seconds between two searches for connections that have expired, or that the
# endpoint has closed: nothing reads from them.
SWEEP_PERIOD_S: Final = 2.0
# Most idle connections to one address, and to all of them.
MAX_IDLE_PER_ADDRESS: Final = 32
MAX_IDLE: Final = 512
# Most requests of a connection whose ids are remembered: an endpoint may write
# the answer to any of them once more.
_MAX_REMEMBERED_IDS: Final = 64


@define(kw_only=True, eq=False)
class KeptConnection:
    """A connection that carries requests one after another.

    :ivar connection: the open connection.
    :ivar idle_since: monotonic seconds at which it last became idle.
    :ivar request_ids: ids of the last requests that it carried.
    """

    connection: Connection
    idle_since: float = 0
    request_ids: deque[str] = field(
        factory=lambda: deque(maxlen=_MAX_REMEMBERED_IDS)
    )

    @property
    def age_s(self) -> float:
        """Seconds since the connection was last used."""
        return read_monotonic_clock() - self.idle_since

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on the connection."""
        return not self.is_expired and self.connection.has_no_input()

    @property
    def is_reused(self) -> bool:
        """Whether the connection has carried more than one request."""
        return len(self.request_ids) > 1

    @property
    def is_expired(self) -> bool:
        """Whether the connection has been idle for too long."""
        idle_timeout_s = self.connection.idle_timeout_s
        max_idle_s = (
            IDLE_TIMEOUT_S
            if idle_timeout_s is None
            else min(idle_timeout_s, IDLE_TIMEOUT_S)
        )
        return self.age_s > max_idle_s


class IdleConnections:
    """Idle connections by address, bounded in number and in time.

    A connection is closed when it expires, when its endpoint has closed it or
    has left, or when there are too many.
    """

    def __init__(self) -> None:
        self._idle: dict[str, deque[KeptConnection]] = {}
        self._surplus: deque[KeptConnection] = deque()
        self._has_surplus = anyio.Event()
        self.count = 0

    @property
    def addresses(self) -> Set[str]:
        """Addresses to which there are idle connections."""
        return self._idle.keys()

    def start(self, group: TaskGroup) -> None:
        """Start to close connections that are of no use any more.

        :param group: task group of the daemon.
        """
        group.start_soon(self._sweep_periodically)

    def take(self, address: str) -> KeptConnection | None:
        """Remove and return the connection used last, or ``None``.

        :param address: ``host:port`` of the endpoint.
        """
        connections = self._idle.get(address)
        if not connections:
            return None
        kept = connections.pop()
        self.count -= 1
        self._drop_empty(address)
        return kept

    async def add(self, address: str, kept: KeptConnection) -> None:
        """Keep a connection for another request.

        :param address: ``host:port`` of the endpoint.
        :param kept: the connection.
        """
        kept.idle_since = read_monotonic_clock()
        connections = self._idle.setdefault(address, deque())
        connections.append(kept)
        self.count += 1
        while connections and (
            len(connections) > MAX_IDLE_PER_ADDRESS or connections[0].is_expired
        ):
            self._drop_oldest(address)
        if self.count > MAX_IDLE:
            self._drop_oldest(self._find_oldest_address())
        await self._close_surplus()

    async def close_oldest(self) -> None:
        """Close the connection that has been idle for longest, if any."""
        if self._idle:
            self._drop_oldest(self._find_oldest_address())
        await self._close_surplus()

    def retain(self, addresses: Set[str]) -> None:
        """Close the connections to endpoints that have left.

        :param addresses: addresses of the endpoints that remain.
        """
        for address in tuple(self._idle.keys() - addresses):
            self._drop_all(address)

    async def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self._drop_all(address)
        await self._close_surplus()

    async def sweep(self) -> None:
        """Close connections that have expired or that were closed."""
        for address, connections in tuple(self._idle.items()):
            unusable = [kept for kept in connections if not kept.is_usable]
            for kept in unusable:
                connections.remove(kept)
            self._discard(address, unusable)
        await self._close_surplus()

    async def _sweep_periodically(self) -> None:
        while True:
            with anyio.move_on_after(SWEEP_PERIOD_S):
                await self._has_surplus.wait()
            self._has_surplus = anyio.Event()
            await self.sweep()

    def _drop_oldest(self, address: str) -> None:
        self._discard(address, (self._idle[address].popleft(),))

    def _drop_all(self, address: str) -> None:
        connections = self._idle[address]
        dropped = tuple(connections)
        connections.clear()
        self._discard(address, dropped)

    def _discard(self, address: str, dropped: Iterable[KeptConnection]) -> None:
        for kept in dropped:
            self._surplus.append(kept)
            self.count -= 1
        if self._surplus:
            self._has_surplus.set()
        self._drop_empty(address)

    def _drop_empty(self, address: str) -> None:
        if not self._idle[address]:
            self._idle.pop(address)

    def _find_oldest_address(self) -> str:
        return min(
            self._idle, key=lambda address: self._idle[address][0].idle_since
        )

    async def _close_surplus(self) -> None:
        while self._surplus:
            await self._surplus.popleft().connection.close()
