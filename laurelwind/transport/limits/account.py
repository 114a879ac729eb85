"""Account of what connections of callers take, in bytes and in number."""

import abc
import asyncio
import enum
import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, Final

from laurelwind.transport.limits.machine import MachineLimits, derive_limits

# Added to each wait, so that of two new connections the one that holds more
# is ended first.
_MIN_WAIT_S: Final = 0.05


class EndReason(enum.StrEnum):
    """Limit at which a connection was ended."""

    HEAD = 'head'
    BLANK_LINES = 'blank_lines'
    FRAMING = 'framing'
    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    UNREAD = 'unread'


class HeldConnection(abc.ABC):
    """A connection of a caller.

    :ivar held_bytes: bytes that the account counts for it.
    :ivar waits_since: moment since which it has waited for its caller, on the
        monotonic clock, or ``None`` while the caller waits for an answer.
    """

    held_bytes: int = 0
    waits_since: float | None = None

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Address of the caller, or an empty string."""

    @property
    @abc.abstractmethod
    def is_unread(self) -> bool:
        """Whether its caller does not read, and so keeps an endpoint busy."""

    @abc.abstractmethod
    def count_held_bytes(self) -> int:
        """Count the bytes that the process holds for the connection now."""

    @abc.abstractmethod
    def end(self, reason: EndReason) -> None:
        """End the connection, and remove it from the account.

        :param reason: why.
        """

    @abc.abstractmethod
    def parse_more(self) -> None:
        """Parse more of the bytes that were received and not parsed."""


class CallerAccount:
    """Bounds what all connections of callers take.

    When memory or descriptors are short, the connection that has waited
    longest for its caller is ended first, for memory weighted by what it
    holds.  Connections whose caller waits for an answer stay.

    :param limits: limits on all connections together.
    :param record_end: called with the reason and details when a connection is
        ended, or ``None``.
    """

    def __init__(
        self,
        *,
        limits: MachineLimits | None = None,
        record_end: Callable[[EndReason, dict[str, Any]], None] | None = None,
    ) -> None:
        self.limits = limits or derive_limits()
        self.total_bytes = 0
        self._record_end = record_end
        self._connections: dict[HeldConnection, None] = {}
        self._pending: deque[HeldConnection] = deque()

    @property
    def connection_count(self) -> int:
        """Number of connections of callers."""
        return len(self._connections)

    def add(self, connection: HeldConnection) -> None:
        """Add a new connection, for which another one may be ended."""
        if len(self._connections) >= self.limits.connections:
            waiting = min(self._iterate_waiting(), default=None)
            if waiting is not None:
                waiting[-1].end(EndReason.CONNECTIONS)
        self._connections[connection] = None
        if len(self._connections) > self.limits.connections:
            connection.end(EndReason.CONNECTIONS)

    def remove(self, connection: HeldConnection) -> None:
        """Remove a connection and what it holds."""
        if connection in self._connections:
            self._connections.pop(connection)
            self.total_bytes -= connection.held_bytes
            connection.held_bytes = 0

    def hold(self, connection: HeldConnection, held_bytes: int) -> None:
        """Set what a connection holds, and end others if that is too much.

        :param connection: a connection, which may be ended itself.
        :param held_bytes: the bytes that it holds from now on.
        """
        if connection not in self._connections:
            return
        self.total_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        if self.total_bytes > self.limits.held_bytes:
            self._free_memory()

    def hold_answer(self, change_bytes: int) -> bool:
        """Add bytes of answers that have not begun, and end others for them.

        :param change_bytes: bytes that are held from now on; negative for ones
            that no longer are.
        :returns: whether what is held is within the limit.
        """
        self.total_bytes += change_bytes
        if change_bytes > 0 and self.total_bytes > self.limits.held_bytes:
            self._free_memory()
        return self.total_bytes <= self.limits.held_bytes

    def record(self, reason: EndReason, connection: HeldConnection) -> None:
        """Record that a connection is ended.

        :param reason: why.
        :param connection: the connection, before it is removed.
        """
        if self._record_end is None:
            return
        since = connection.waits_since
        waited_s = 0 if since is None else time.monotonic() - since
        details = {
            'caller': connection.address,
            'held_bytes': connection.count_held_bytes(),
            'waited_s': round(waited_s, 3),
            'all_held_bytes': self.total_bytes,
            'limit_bytes': self.limits.held_bytes,
            'connections': len(self._connections),
            'limit_connections': self.limits.connections,
        }
        self._record_end(reason, details)

    def end_unread(self, min_wait_s: float) -> bool:
        """End the connection whose answer has been unread for longest.

        :param min_wait_s: seconds for which an answer may be unread.
        :returns: whether there was such a connection.
        """
        latest = time.monotonic() - min_wait_s
        unread = [
            (since, number, connection)
            for since, number, connection in self._iterate_waiting()
            if connection.is_unread and since <= latest
        ]
        if not unread:
            return False
        min(unread)[-1].end(EndReason.UNREAD)
        return True

    def parse_later(self, connection: HeldConnection) -> None:
        """Let a connection parse more in a later turn of the event loop.

        One connection parses in each turn, so that any number of them leaves
        time for others.

        :param connection: connection with bytes that take long to parse.
        """
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._parse_next)
        self._pending.append(connection)

    def _parse_next(self) -> None:
        connection = self._pending.popleft()
        if self._pending:
            asyncio.get_running_loop().call_soon(self._parse_next)
        connection.parse_more()

    def _free_memory(self) -> None:
        now = time.monotonic()
        while self.total_bytes > self.limits.held_bytes:
            costs = [
                ((now - since + _MIN_WAIT_S) * connection.held_bytes, number)
                for since, number, connection in self._iterate_waiting()
                if connection.held_bytes
            ]
            if not costs:
                return
            number = max(costs)[1]
            tuple(self._connections)[number].end(EndReason.MEMORY)

    def _iterate_waiting(self) -> Iterator[tuple[float, int, HeldConnection]]:
        for number, connection in enumerate(self._connections):
            if connection.waits_since is not None:
                yield connection.waits_since, number, connection
