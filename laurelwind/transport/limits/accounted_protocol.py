"""HTTP protocol of a server whose connections are taken into account."""

import asyncio
import time
from typing import Any, Final

from laurelwind.transport.limits.account import (
    CallerAccount,
    EndReason,
    HeldConnection,
)
from laurelwind.transport.limits.incoming_request import IncomingRequest, Phase
from laurelwind.transport.limits.read_gate import ReadGate
from laurelwind.transport.limits.refusals import encode_refusal
from laurelwind.transport.request_framing import FramedProtocol

# Bytes that one read takes from a socket; asyncio's default is 262,144.
READ_BYTES: Final = 65_536
# Copies of an unread answer: what the application sends, and what the
# transport keeps of it.
UNSENT_COPIES: Final = 2
# Seconds in which a caller reads nothing of an answer, after which it is cut.
UNREAD_TIMEOUT_S: Final = 60.0


class AccountedProtocol(FramedProtocol, HeldConnection):
    """Counts what a connection holds, and ends it where an account demands.

    :ivar incoming: the request that is received, or was received last.
    :ivar unparsed: bytes that were received and not parsed.
    :ivar has_whole_head: whether the head that begins has arrived already.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.held_bytes = 0
        self.waits_since = None
        self.incoming = IncomingRequest()
        self.unparsed = b''
        self.has_whole_head = False
        self._gate: ReadGate
        self._unsent_bytes = 0
        self._unread_timer: asyncio.TimerHandle | None = None
        super().__init__(*args, **kwargs)

    @property
    def account(self) -> CallerAccount:
        """Account of all connections."""
        raise NotImplementedError

    @property
    def address(self) -> str:
        """Address of the caller; see :class:`HeldConnection`."""
        if self.client is None:
            return ''
        host, port = self.client
        return f'{host}:{port}'

    @property
    def is_answered(self) -> bool:
        """Whether no request waits for its answer."""
        return self.cycle is None or self.cycle.response_complete

    @property
    def is_unread(self) -> bool:
        """Whether an answer is unread; see :class:`HeldConnection`."""
        return self._unsent_bytes > 0 and not self.is_answered

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Take the connection into the account."""
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)
        self._gate = ReadGate(transport)
        self.flow = self._gate
        self.waits_since = time.monotonic()
        self.account.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all that the connection held."""
        self.account.remove(self)
        self.unparsed = b''
        self._stop_unread_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Begin to count what a request takes (parser callback)."""
        super().on_message_begin()
        self.incoming = IncomingRequest(phase=Phase.HEAD)
        if self.is_answered:
            self.waits_since = time.monotonic()

    def on_headers_complete(self) -> None:
        """Begin to count a body (parser callback)."""
        self.has_whole_head = False
        self.incoming.begin_body(self.headers)
        super().on_headers_complete()
        # The parser reports trailers as further headers, without a bound.
        self.headers = []

    def on_body(self, body: bytes) -> None:
        """Count a piece of a body (parser callback)."""
        self.incoming.pieces += 1
        self.incoming.body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the caller waits for an answer (parser callback)."""
        if not self.skips_body:
            self.incoming.phase = Phase.COMPLETE
            self.waits_since = None
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Wait for the caller again."""
        super().on_response_complete()
        if self.waits_since is None:
            self.waits_since = time.monotonic()
        if self.held_bytes:
            self.update_held_bytes()

    def pause_writing(self) -> None:
        """Begin to wait until the caller reads."""
        super().pause_writing()
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self.waits_since = time.monotonic()
        self._start_unread_timer()
        self.update_held_bytes()

    def resume_writing(self) -> None:
        """Stop waiting, as the caller reads."""
        super().resume_writing()
        self._unsent_bytes = 0
        self._stop_unread_timer()
        if not self.is_answered and self.incoming.phase is Phase.COMPLETE:
            self.waits_since = None
        self.update_held_bytes()

    def end(self, reason: EndReason) -> None:
        """End the connection; see :class:`HeldConnection`."""
        is_closing = self.transport.is_closing()
        if not is_closing or self._unsent_bytes:
            self.account.record(reason, self)
        self.account.remove(self)
        self.unparsed = b''
        if self._may_refuse and not is_closing:
            self.transport.write(encode_refusal(reason))
        if self.cycle is not None:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()

    def count_held_bytes(self) -> int:
        """Count what is held now; see :class:`HeldConnection`."""
        held_bytes = UNSENT_COPIES * self._unsent_bytes + len(self.unparsed)
        incoming = self.incoming
        if incoming.phase is Phase.HEAD:
            return held_bytes + incoming.held_bytes
        if self.is_answered:
            return held_bytes
        if incoming.phase is not Phase.COMPLETE and self.cycle.response_started:
            # An early answer; the rest of the body is dropped as it arrives.
            return held_bytes
        return held_bytes + incoming.held_bytes

    def update_held_bytes(self) -> None:
        """State in the account what the connection holds."""
        held_bytes = self.count_held_bytes()
        if held_bytes != self.held_bytes:
            self.account.hold(self, held_bytes)

    @property
    def _may_refuse(self) -> bool:
        """Whether a request is incomplete and nothing answers it yet."""
        if self.pipeline:
            return False
        match self.incoming.phase:
            case Phase.HEAD:
                return self.is_answered
            case Phase.LENGTH | Phase.CHUNKS:
                return not self.cycle.response_started
        return False

    def _start_unread_timer(self) -> None:
        self._stop_unread_timer()
        self._unread_timer = self.loop.call_later(
            UNREAD_TIMEOUT_S, self._check_unread
        )

    def _check_unread(self) -> None:
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes >= self._unsent_bytes:
            self.end(EndReason.UNREAD)
            return
        self._unsent_bytes = unsent_bytes
        self._start_unread_timer()

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
