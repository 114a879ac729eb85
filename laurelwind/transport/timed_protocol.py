"""HTTP protocol of a server that limits how long callers take."""

import asyncio
import enum
from collections.abc import Callable
from typing import Any, Final

from attrs import field, frozen

from laurelwind.transport.limits.account import CallerAccount
from laurelwind.transport.limits.bounded_protocol import BoundedProtocol

HEADER_BYTES: Final = 65_536
HEADER_TIMEOUT_S: Final = 10.0
IDLE_TIMEOUT_S: Final = 60
_LATE_HEAD_ANSWER: Final = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'connection: close\r\n'
    b'content-length: 0\r\n\r\n'
)


class TimeoutKind(enum.StrEnum):
    """What a caller did not send in time."""

    FIRST_BYTE = 'first_byte'
    HEAD = 'head'
    IDLE = 'idle'


@frozen(kw_only=True)
class ConnectionLimits:
    """How long callers may take, and how large a request's head may be.

    :ivar header_bytes: maximum size of a head in bytes.
    :ivar header_timeout_s: seconds between the first byte of a request and the
        end of its head.
    :ivar idle_timeout_s: seconds that a connection may stay without a request.
    """

    header_bytes: int = HEADER_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


@frozen(kw_only=True)
class ConnectionPolicy:
    """Limits on the connections of callers.

    :ivar read_limits: returns the limits in force.
    :ivar record_timeout: called when a time-out closes a connection, or
        ``None``.
    :ivar account: bounds what all connections of the process take together.
    :ivar uses_endpoints: whether each request takes a connection to an
        endpoint, which an unread answer keeps.
    """

    read_limits: Callable[[], ConnectionLimits] = ConnectionLimits
    record_timeout: Callable[[TimeoutKind], None] | None = None
    account: CallerAccount = field(factory=CallerAccount)
    uses_endpoints: bool = False


def limit_head_times(
    header_timeout_s: float, account: CallerAccount
) -> ConnectionPolicy:
    """Build a policy whose limits do not change.

    :param header_timeout_s: time-out for the head of a request in seconds.
    :param account: bounds what all connections of the process take together.
    """
    limits = ConnectionLimits(header_timeout_s=header_timeout_s)
    return ConnectionPolicy(read_limits=lambda: limits, account=account)


class TimedProtocol(BoundedProtocol):
    """Limits the time of a request's head, and of a connection without one.

    A limit that is raised holds for waits that have begun already. One that is
    lowered holds for waits that begin later.
    """

    policy = ConnectionPolicy()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._timer: asyncio.TimerHandle | None = None
        self._waits_for: TimeoutKind | None = None
        self._waits_since: float = 0
        super().__init__(*args, **kwargs)

    @property
    def account(self) -> CallerAccount:
        """Account of all connections; see :class:`BoundedProtocol`."""
        return self.policy.account

    @property
    def is_unread(self) -> bool:
        """Whether an answer is unread; see :class:`HeldConnection`."""
        return self.policy.uses_endpoints and super().is_unread

    def read_head_limit(self) -> int:
        """Return the maximum size of a head; see :class:`BoundedProtocol`."""
        return self.policy.read_limits().header_bytes

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Wait for the first request."""
        super().connection_made(transport)
        self._wait_for(TimeoutKind.FIRST_BYTE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_waiting()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Wait for the rest of a request's head."""
        super().on_message_begin()
        if self.has_whole_head:
            self._stop_waiting()
        else:
            self._wait_for(TimeoutKind.HEAD)

    def on_headers_complete(self) -> None:
        """Stop waiting, as the head has arrived."""
        self._stop_waiting()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Wait for a further request."""
        super().on_response_complete()
        # The time-out below replaces that of the base class.
        self._unset_keepalive_if_required()
        if self._waits_for is None and self._is_idle:
            self._wait_for(TimeoutKind.IDLE)

    @property
    def _is_idle(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _wait_for(self, kind: TimeoutKind) -> None:
        self._stop_waiting()
        self._waits_for = kind
        self._waits_since = self.loop.time()
        self._timer = self.loop.call_later(self._read_limit(kind), self._check)

    def _stop_waiting(self) -> None:
        self._waits_for = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _read_limit(self, kind: TimeoutKind) -> float:
        limits = self.policy.read_limits()
        if kind is TimeoutKind.HEAD:
            return limits.header_timeout_s
        return limits.idle_timeout_s

    def _check(self) -> None:
        kind = self._waits_for
        if kind is None or self.transport.is_closing():
            return
        if not self._is_idle:
            # Only a pipelined request is late; it must not cut the answers
            # before it, beside which its bytes may not even be read.
            self._waits_since = self.loop.time()
        elapsed_s = self.loop.time() - self._waits_since
        remaining_s = self._read_limit(kind) - elapsed_s
        if remaining_s > 0:
            self._timer = self.loop.call_later(remaining_s, self._check)
            return
        # The event loop reads sockets before it runs timers, so that bytes that
        # arrived while it stood still have stopped this one.
        self._expire(kind)

    def _expire(self, kind: TimeoutKind) -> None:
        self._stop_waiting()
        if self.policy.record_timeout is not None:
            self.policy.record_timeout(kind)
        if kind is TimeoutKind.HEAD:
            self.transport.write(_LATE_HEAD_ANSWER)
        self.transport.close()
