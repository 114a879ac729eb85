"""HTTP protocol of a server that bounds what is parsed at once.

It feeds the parser of uvicorn's protocol piece by piece, so that parsing stops
behind a complete request until its answer has been sent.
"""

import time
from typing import Any, Final

from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT

from laurelwind.transport.limits.account import EndReason
from laurelwind.transport.limits.accounted_protocol import AccountedProtocol
from laurelwind.transport.limits.incoming_request import Phase

# Bytes that the parser gets at once where a chunk may end.
SLICE_BYTES: Final = 4096
# Most headers and pieces of a body that are parsed in one turn of the loop;
# 1,000 take about a millisecond.
MAX_PARSED_ITEMS: Final = 1000
# Bytes of empty lines that may precede a request.
MAX_BLANK_BYTES: Final = 1024
# Size of a request that is not counted if one read holds it whole, and most
# headers of it; `machine.CONNECTION_BYTES` covers it.
SMALL_BYTES: Final = 4096
SMALL_HEADERS: Final = 32
# A body that grows by less since its caller was last waited for has not
# progressed.
PROGRESS_BYTES: Final = 16_384
_HEAD_END: Final = b'\r\n\r\n'
_LINE_BYTES: Final = b'\r\n'
_BETWEEN: Final = (Phase.START, Phase.COMPLETE)


class BoundedProtocol(AccountedProtocol):
    """Bounds heads, empty lines, what frames a body, and requests ahead."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._blank_bytes = 0
        self._progress_bytes = 0
        super().__init__(*args, **kwargs)

    def read_head_limit(self) -> int:
        """Return the maximum size of a head in bytes."""
        raise NotImplementedError

    def data_received(self, received: bytes) -> None:
        """Parse bytes up to the end of a request, and hold the rest."""
        if self._is_single(received):
            self.has_whole_head = True
            self._parse_counted(received)
            incoming = self.incoming
            is_complete = incoming.phase is Phase.COMPLETE
            if is_complete and incoming.header_count <= SMALL_HEADERS:
                return
        elif self.unparsed:
            self.unparsed += received
        else:
            self._parse(received)
        self.update_held_bytes()

    def parse_slice(self, text: bytes) -> None:
        """Feed bytes to the parser.

        :param text: bytes that rarely go beyond the end of a request.
        """
        AccountedProtocol.data_received(self, text)

    def parse_more(self) -> None:
        """Parse bytes that are held; see :class:`HeldConnection`."""
        if self.transport.is_closing() or not self.unparsed:
            return
        unparsed = self.unparsed
        self.unparsed = b''
        self.parses_held_input = True
        self._parse(unparsed)
        self.parses_held_input = False
        if not self.unparsed:
            has_much_body = len(self.cycle.body) > HIGH_WATER_LIMIT
            self._gate.release(reads=self.is_answered or not has_much_body)
        self.update_held_bytes()

    def on_message_begin(self) -> None:
        """Begin to count a request (parser callback)."""
        super().on_message_begin()
        self._blank_bytes = 0
        self._progress_bytes = 0

    def on_response_complete(self) -> None:
        """Parse on behind an answered request."""
        super().on_response_complete()
        if self.unparsed:
            self.loop.call_soon(self.parse_more)

    def _is_single(self, received: bytes) -> bool:
        """Whether bytes are a small head and no part of a further one.

        They are parsed at once, which saves time for most requests.
        """
        if len(received) > SMALL_BYTES or not self.is_answered:
            return False
        if self.unparsed or self.incoming.phase not in _BETWEEN:
            return False
        end = received.find(_HEAD_END)
        return (
            end > 0
            and received[0] not in _LINE_BYTES
            and end + len(_HEAD_END) <= self.read_head_limit()
            and received.find(_HEAD_END, end + len(_HEAD_END)) < 0
        )

    def _parse(self, received: bytes) -> None:
        position = 0
        parsed_items = 0
        while position < len(received) and not self.transport.is_closing():
            is_complete = self.incoming.phase is Phase.COMPLETE
            if is_complete and not self.is_answered:
                self._hold(received[position:])
                return
            if parsed_items > MAX_PARSED_ITEMS:
                self._hold(received[position:])
                self.account.parse_later(self)
                return
            end = self._find_slice(received, position)
            if end > position:
                parsed_items += self._parse_counted(received[position:end])
                position = end
                self._check_limits()
            else:
                position = self._skip_blank_lines(received, position)

    def _hold(self, unparsed: bytes) -> None:
        self.unparsed = unparsed
        self._gate.hold()

    def _find_slice(self, received: bytes, position: int) -> int:
        """Return the end of the next slice, or its begin at empty lines."""
        incoming = self.incoming
        limit = SLICE_BYTES
        match incoming.phase:
            case Phase.LENGTH:
                remaining = incoming.declared_bytes - incoming.body_bytes
                return position + max(remaining, 1)
            case Phase.HEAD:
                # A new table may have lowered the limit below what has arrived.
                limit = max(self.read_head_limit() - incoming.head_bytes, 1)
            case Phase.START | Phase.COMPLETE:
                if received[position] in _LINE_BYTES:
                    return position
                limit = max(self.read_head_limit(), 1)
        end = received.find(_HEAD_END, position, position + limit)
        if end < 0:
            return position + limit
        return end + len(_HEAD_END)

    def _skip_blank_lines(self, received: bytes, position: int) -> int:
        rest = received[position:].lstrip(_LINE_BYTES)
        end = len(received) - len(rest)
        self._blank_bytes += end - position
        if self._blank_bytes > MAX_BLANK_BYTES:
            self.end(EndReason.BLANK_LINES)
        return end

    def _parse_counted(self, text: bytes) -> int:
        """Feed bytes to the parser, and return what it reported."""
        before = self.incoming
        phase = before.phase
        pieces = before.pieces
        self.parse_slice(text)
        incoming = self.incoming
        if incoming is before and phase is Phase.LENGTH:
            return incoming.pieces - pieces
        if incoming is before and phase is Phase.CHUNKS:
            incoming.chunk_bytes += len(text)
            trailers = len(self.headers)
            self.headers.clear()
            return incoming.pieces - pieces + trailers
        incoming.head_bytes += len(text)
        if incoming.phase is Phase.HEAD:
            incoming.header_count = len(self.headers)
        return incoming.header_count

    def _check_limits(self) -> None:
        incoming = self.incoming
        if incoming.phase is Phase.HEAD:
            if incoming.head_bytes >= self.read_head_limit():
                self.end(EndReason.HEAD)
        elif incoming.phase is Phase.CHUNKS and incoming.has_excess_framing:
            self.end(EndReason.FRAMING)
        if incoming.body_bytes - self._progress_bytes > PROGRESS_BYTES:
            self._progress_bytes = incoming.body_bytes
            if self.waits_since is not None:
                self.waits_since = time.monotonic()
