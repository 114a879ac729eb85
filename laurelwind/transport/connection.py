"""One HTTP/1.1 connection to an endpoint.

The client library that the rest of the project uses takes bytes that follow
an answer for the beginning of the next one, and gives no sight of the
connection before it is used again.  Here the parser of the HTTP server's
library reads answers, and any byte that belongs to no request ends the
connection.
"""

import select
import socket
from collections import deque
from typing import Final

import anyio
import httptools
from anyio.abc import SocketAttribute, SocketStream

from laurelwind.errors import EndpointError, ErrorKind, RunState
from laurelwind.protocol.exchanges import HeaderPairs
from laurelwind.transport.network import split_address

# Longest time for the TCP handshake; several times a lost packet's first
# retransmission would take would leave callers waiting.
CONNECT_TIMEOUT_S: Final = 0.6
# Unacknowledged bytes for this long mean that the path is gone.
USER_TIMEOUT_MS: Final = 2500
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_PROBES: Final = 2
_READ_BYTES: Final = 65536
_FIRST_FINAL_STATUS: Final = 200
_KEEP_ALIVE_MARGIN_S: Final = 0.5
_BROKEN: Final = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class _Message:
    """One answer as far as it has arrived."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: deque[bytes] = deque()
        self.has_head = False
        self.is_ended = False
        self.is_framed = False

    @property
    def is_interim(self) -> bool:
        """Whether the real answer is still to come."""
        return self.status < _FIRST_FINAL_STATUS


class Connection:
    """One connection, used for one request at a time.

    :param stream: the open socket.
    """

    def __init__(self, *, stream: SocketStream) -> None:
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._messages: deque[_Message] = deque()
        self._expects_no_body = False
        self._is_tainted = False
        self._is_final = False
        self._idle_limit_s: float | None = None
        self.is_closed = False

    @classmethod
    async def open(cls, address: str) -> 'Connection':
        """Open a connection.

        :param address: ``host:port``.
        :raises EndpointError: when nothing accepts it in time.
        """
        host, port = split_address(address)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                f'no connection ({type(error).__name__})',
                run=RunState.NOT_RUN,
            ) from error
        set_liveness_options(stream.extra(SocketAttribute.raw_socket))
        return cls(stream=stream)

    @property
    def is_reusable(self) -> bool:
        """Whether the last answer left the connection clean and open."""
        if self.is_closed or self._is_tainted or self._is_final:
            return False
        return len(self._messages) == 1 and self._messages[0].is_ended

    @property
    def idle_limit_s(self) -> float | None:
        """How long the endpoint keeps the connection open unused."""
        return self._idle_limit_s

    def is_quiet(self) -> bool:
        """Tell whether nothing arrived, and nothing ended, while unused."""
        raw = self._stream.extra(SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def send(self, head: bytes, body: bytes, *, method: str) -> None:
        """Send a request whole.

        :param head: request line and headers.
        :param body: the body.
        :param method: its HTTP method.
        :raises EndpointError: when the connection broke.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._messages.clear()
        self._expects_no_body = method == 'HEAD'
        try:
            await self._stream.send(head + body)
        except _BROKEN as error:
            await self.close()
            raise _tell_broken('while the request was sent', error) from error

    async def read_head(self) -> tuple[int, HeaderPairs]:
        """Wait for status and headers of the answer.

        :raises EndpointError: when there is no valid one.
        """
        while not self._messages or not self._messages[0].has_head:
            await self._read_more()
        return self._messages[0].status, self._messages[0].headers

    async def read_chunk(self) -> bytes:
        """Wait for more of the body; empty at its end.

        :raises EndpointError: when it broke off.
        """
        message = self._messages[0]
        while not message.chunks and not message.is_ended:
            await self._read_more()
        found = b''.join(message.chunks)
        message.chunks.clear()
        return found

    async def skip_answer(self) -> None:
        """Pass over an answer that belongs to an earlier request.

        :raises EndpointError: when it broke off.
        """
        self._is_tainted = True
        while await self.read_chunk():
            """The body is not wanted."""
        self._messages.popleft()

    async def close(self) -> None:
        """Close the connection; the endpoint ends the work on it."""
        if self.is_closed:
            return
        self.is_closed = True
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()

    def on_message_begin(self) -> None:
        """Begin an answer; the parser calls this."""
        self._messages.append(_Message())

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take in one header; the parser calls this."""
        self._messages[-1].headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Take in the head; the parser calls this."""
        message = self._messages[-1]
        message.status = self._parser.get_status_code()
        if message.is_interim:
            return
        message.has_head = True
        message.is_ended = self._expects_no_body
        if not self._parser.should_keep_alive():
            self._is_final = True
        for name, text in message.headers:
            self._read_framing(name.lower(), text)

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body; the parser calls this."""
        self._messages[-1].chunks.append(body)

    def on_message_complete(self) -> None:
        """Note the end of an answer; the parser calls this."""
        if self._messages[-1].is_interim:
            self._messages.pop()
        else:
            self._messages[-1].is_ended = True

    def _read_framing(self, name: bytes, text: bytes) -> None:
        if name in {b'content-length', b'transfer-encoding'}:
            self._messages[-1].is_framed = True
        if name == b'keep-alive':
            self._idle_limit_s = _read_idle_limit(text)

    async def _read_more(self) -> None:
        if self.is_closed:
            raise _tell_broken('before the answer was whole', EOFError())
        try:
            received = await self._stream.receive(_READ_BYTES)
        except anyio.EndOfStream as error:
            await self.close()
            message = self._messages[-1] if self._messages else _Message()
            if message.has_head and not message.is_framed:
                message.is_ended = True
                return
            raise _tell_broken('before the answer was whole', error) from error
        except _BROKEN as error:
            await self.close()
            raise _tell_broken('before the answer was whole', error) from error
        self._feed(received)

    def _feed(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._is_tainted = True
            if self._messages and self._messages[0].is_ended:
                return
            raise EndpointError(
                ErrorKind.ANSWER_BROKEN,
                f'the answer is not HTTP ({type(error).__name__})',
                run=RunState.UNKNOWN,
            ) from error


def _read_idle_limit(text: bytes) -> float | None:
    for word in text.split(b','):
        name, _, seconds = word.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return max(int(seconds) - _KEEP_ALIVE_MARGIN_S, 0)
    return None


def set_liveness_options(raw: socket.socket) -> None:
    """Make the system find a silent connection, and send without delay.

    :param raw: a connected TCP socket.
    """
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, amount in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        raw.setsockopt(socket.IPPROTO_TCP, option, amount)


def _tell_broken(when: str, error: Exception) -> EndpointError:
    return EndpointError(
        ErrorKind.ENDPOINT_FAILED,
        f'the connection broke {when} ({type(error).__name__})',
        run=RunState.UNKNOWN,
    )
