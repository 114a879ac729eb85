"""Reads the bodies of callers' requests exactly as their heads declare them."""

from collections.abc import Sequence
from typing import Any, Final

import httptools
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from laurelwind.transport.connection_reuse import MessageProgress, may_reuse

_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
_UNSUPPORTED_METHOD: Final = b'CONNECT'
_INVALID_REQUEST: Final = 'Invalid HTTP request received.'


class FramedProtocol(HttpToolsProtocol):
    """Compares what a request declares with what is read of it.

    An offer to upgrade the connection is ignored (RFC 9110, section 7.8), and
    the body is read as that of any other request.  The parser would skip it and
    take it for the next request.  ``CONNECT`` is refused, as its bytes have no
    declared end.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._reads_body = False
        self._ignores_input = False
        self._framing = b''
        # Whether the bytes that are parsed arrived before the last answer.
        self.parses_held_input = False
        # The newest request, if its caller waits for ``100 Continue``.
        self._expecting: RequestResponseCycle | None = None
        self._running: RequestResponseCycle | None = None
        super().__init__(*args, **kwargs)

    @property
    def skips_body(self) -> bool:
        """Whether the parser skips a body, as the request offers an upgrade."""
        return bool(self.parser.should_upgrade())

    def data_received(self, received: bytes) -> None:
        """Parse bytes, those behind an upgrade offer by their framing."""
        self._unset_keepalive_if_required()
        if self._ignores_input:
            return
        unread = memoryview(received)
        while unread:
            try:
                self.parser.feed_data(unread)
            except httptools.HttpParserError:
                self._refuse_input()
                return
            except httptools.HttpParserUpgrade as offer:
                unread = unread[offer.args[0] :]
                self._read_on_by_framing()
            else:
                return

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Add a header; trailers do not count as headers."""
        if not self._reads_body:
            super().on_header(name, header_value)

    def on_headers_complete(self) -> None:
        """Begin the request, and keep count of what it declares."""
        if self.parser.get_method() == _UNSUPPORTED_METHOD:
            raise ValueError(_UNSUPPORTED_METHOD)
        if self.skips_body:
            self._framing = _encode_framing(self.headers)
        super().on_headers_complete()
        self._reads_body = True
        if self.expect_100_continue and self.cycle.keep_alive:
            # Callers that get a final answer instead of 100 may send the body
            # or leave it out, so that what follows cannot be told from it.
            self._expecting = self.cycle
            self.cycle.keep_alive = self._may_reuse(is_complete=False)

    def on_message_complete(self) -> None:
        """End the request, unless the parser skipped its body."""
        if self.skips_body:
            return
        self._reads_body = False
        super().on_message_complete()
        if self._expecting is self.cycle:
            self.cycle.keep_alive = self._may_reuse(is_complete=True)
        self._expecting = None

    def shutdown(self) -> None:
        """Close the connection after the answer in progress."""
        self._expecting = None
        super().shutdown()

    def _may_reuse(self, *, is_complete: bool) -> bool:
        return may_reuse(MessageProgress(is_complete=is_complete))

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _read_on_by_framing(self) -> None:
        self.parser = httptools.HttpRequestParser(_BodyCallbacks(target=self))
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self.parser.feed_data(b'POST / HTTP/1.1\r\n%s\r\n' % self._framing)

    def _refuse_input(self) -> None:
        """Close the connection, after the answers to requests before.

        An error answer at once would be taken for the answer to one of them.
        """
        self._ignores_input = True
        if self._reads_body:
            self._drop_incomplete_request()
        last = self.cycle
        if self._reads_body and last.response_started:
            self.transport.close()
        elif self.parses_held_input and not self._reads_body:
            # The caller may have counted them to the request before, and would
            # take an error answer for that to its next request.
            self.transport.close()
        elif self._reads_body or last is None or last.response_complete:
            self.send_400_response(_INVALID_REQUEST)
        else:
            last.keep_alive = False

    def _drop_incomplete_request(self) -> None:
        if self._running is None or self._running is self.cycle:
            return
        self.pipeline.popleft()
        self._reads_body = False
        self.cycle = self.pipeline[0][0] if self.pipeline else self._running


def _encode_framing(headers: Sequence[tuple[bytes, bytes]]) -> bytes:
    return b''.join(
        b'%s: %s\r\n' % header
        for header in headers
        if header[0] in _FRAMING_HEADERS
    )


class _BodyCallbacks:
    """Passes on what a parser reads, except its first head.

    That head only states the framing of a request whose own head another parser
    has read.

    :param target: receives the callbacks.
    """

    def __init__(self, *, target: HttpToolsProtocol) -> None:
        self._target = target
        self._has_head = False

    def on_message_begin(self) -> None:
        if self._has_head:
            self._target.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if self._has_head:
            self._target.on_url(url)

    def on_header(self, name: bytes, header_value: bytes) -> None:
        if self._has_head:
            self._target.on_header(name, header_value)

    def on_headers_complete(self) -> None:
        if self._has_head:
            self._target.on_headers_complete()
        self._has_head = True

    def on_body(self, body: bytes) -> None:
        self._target.on_body(body)

    def on_message_complete(self) -> None:
        self._target.on_message_complete()
