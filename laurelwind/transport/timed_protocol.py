"""HTTP protocol of a server that limits how long callers take."""

import asyncio
import enum
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

HEADER_TIMEOUT_S: Final = 10.0
IDLE_TIMEOUT_S: Final = 60


class TimeoutKind(enum.StrEnum):
    """What a caller did not send in time."""

    FIRST_BYTE = 'first_byte'
    HEAD = 'head'
    IDLE = 'idle'


@frozen(kw_only=True)
class ConnectionPolicy:
    """Limits on the connections of callers.

    :ivar header_timeout_s: time-out for the head of a request in seconds.
    :ivar record_timeout: called when a time-out closes a connection, or
        ``None``.
    """

    header_timeout_s: float = HEADER_TIMEOUT_S
    record_timeout: Callable[[TimeoutKind], None] | None = None


class TimedProtocol(HttpToolsProtocol):
    """Aborts a connection whose request head does not arrive in time."""

    policy = ConnectionPolicy()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._header_timer: asyncio.TimerHandle | None = None
        super().__init__(*args, **kwargs)

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timer for the head of the first request."""
        super().connection_made(transport)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Start the timer for the head of a further request."""
        super().on_message_begin()
        if self._header_timer is None:
            self._start_timer()

    def on_headers_complete(self) -> None:
        """Stop the timer, as the head has arrived."""
        self._stop_timer()
        super().on_headers_complete()

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that was idle for too long."""
        if not self.transport.is_closing():
            self._record_timeout(TimeoutKind.IDLE)
        super().timeout_keep_alive_handler()

    def _start_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            self.policy.header_timeout_s, self._abort
        )

    def _stop_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _abort(self) -> None:
        self._header_timer = None
        self._record_timeout(
            TimeoutKind.FIRST_BYTE if self.headers is None else TimeoutKind.HEAD
        )
        self.transport.abort()

    def _record_timeout(self, kind: TimeoutKind) -> None:
        if self.policy.record_timeout is not None:
            self.policy.record_timeout(kind)
