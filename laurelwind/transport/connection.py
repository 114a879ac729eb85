"""One HTTP/1.1 connection to an endpoint.

The HTTP client used elsewhere in the project, httpcore, parses bytes that
follow an answer as the start of the next answer, and does not let a connection
be checked before it is reused.  This module parses answers with httptools, the
parser of the HTTP server, and never reuses a connection on which bytes
arrived that belong to no request.
"""

import select
from collections import deque
from collections.abc import Callable
from typing import Final

import anyio
import httptools
from anyio.abc import SocketAttribute, SocketStream

from laurelwind.errors import (
    EndpointBrokenError,
    EndpointError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.exchanges import HeaderPairs
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.timers import is_timer_late
from laurelwind.transport.connection_reuse import MessageProgress, may_reuse
from laurelwind.transport.incoming_answers import (
    IncomingAnswer,
    parse_idle_timeout,
)
from laurelwind.transport.liveness import (
    set_liveness_options,
    set_user_timeout,
)
from laurelwind.transport.network import split_address

# Time-out of the TCP handshake.  It is short because a handshake that waits for
# several retransmissions of a lost packet would keep callers waiting.
CONNECT_TIMEOUT_S: Final = 0.6
_READ_BYTES: Final = 65536
# Most bytes that may arrive in a row without a byte of a body or the end of an
# answer: the head with the interim answers before it, trailers, and the
# extensions of chunks.
MAX_OVERHEAD_BYTES: Final = 65536
# Most answers to earlier requests that are discarded for a request, and bytes
# of their bodies.
MAX_DISCARDED_ANSWERS: Final = 16
MAX_DISCARDED_BYTES: Final = 1_048_576
_STREAM_ERRORS: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class Connection:
    """A connection that carries one request at a time.

    :param stream: the connected socket.
    :ivar record_close: called once the connection has been closed.
    """

    def __init__(self, *, stream: SocketStream) -> None:
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._answers: deque[IncomingAnswer] = deque()
        self._expects_no_body = False
        self._is_out_of_sync = False
        self._must_close = False
        self._may_hold_input = False
        self._idle_timeout_s: float | None = None
        self._overhead_bytes = 0
        self._discarded_answers = 0
        self._discarded_bytes = 0
        self.is_closed = False
        self.record_close: Callable[[], None] = _ignore_close

    @classmethod
    async def open(cls, address: str) -> 'Connection':
        """Open a connection.

        :param address: ``host:port`` of the endpoint.
        :raises EndpointError: when it is not accepted within
            ``CONNECT_TIMEOUT_S``.
        """
        try:
            stream = await _connect(address)
        except (OSError, TimeoutError) as error:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                f'could not connect to the endpoint ({type(error).__name__})',
                run=RunState.NOT_RUN,
            ) from error
        set_liveness_options(stream.extra(SocketAttribute.raw_socket))
        return cls(stream=stream)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        if self.is_closed or not self._answers:
            return False
        return may_reuse(
            MessageProgress(
                is_complete=self._answers[0].is_ended,
                has_surplus=self._is_out_of_sync or len(self._answers) > 1,
                must_close=self._must_close,
            )
        )

    @property
    def idle_timeout_s(self) -> float | None:
        """Seconds that the endpoint keeps an idle connection open, if known."""
        return self._idle_timeout_s

    def has_no_input(self) -> bool:
        """Return whether neither bytes nor an end of stream are pending."""
        raw = self._stream.extra(SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return not (self._may_hold_input or poll.poll(0))

    async def send(
        self, head: bytes, body: bytes, *, method: str, deadline_s: float
    ) -> None:
        """Send a complete request.

        :param head: encoded request line and headers.
        :param body: the body, empty for none.
        :param method: HTTP method; an answer to ``HEAD`` has no body.
        :param deadline_s: seconds that remain for the request.
        :raises EndpointError: when the connection broke.
        """
        set_user_timeout(
            self._stream.extra(SocketAttribute.raw_socket),
            request_bytes=len(head) + len(body),
            deadline_s=deadline_s,
        )
        self._parser = httptools.HttpResponseParser(self)
        self._answers.clear()
        self._overhead_bytes = 0
        self._discarded_answers = 0
        self._discarded_bytes = 0
        self._expects_no_body = method == 'HEAD'
        try:
            await self._stream.send(head + body)
        except _STREAM_ERRORS as error:
            await self.close()
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED,
                'the connection broke while the request was being sent '
                f'({type(error).__name__})',
                run=RunState.UNKNOWN,
            ) from error

    async def read_head(self) -> tuple[int, HeaderPairs]:
        """Wait for the status and headers of the answer.

        :raises EndpointError: when the connection broke or the answer is not
            valid HTTP.
        """
        while not self._answers or not self._answers[0].has_complete_head:
            await self._read_more()
        return self._answers[0].status, self._answers[0].headers

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        :raises EndpointError: when the answer is incomplete or not valid
            HTTP.
        """
        answer = self._answers[0]
        while not answer.chunks and not answer.is_ended:
            await self._read_more()
        chunk = b''.join(answer.chunks)
        answer.chunks.clear()
        return chunk

    async def discard_answer(self) -> None:
        """Discard an answer that belongs to an earlier request.

        :raises EndpointError: when the answer is incomplete or not valid
            HTTP, or too much was discarded.
        """
        self._is_out_of_sync = True
        self._discarded_answers += 1
        while chunk := await self.read_chunk():
            self._discarded_bytes += len(chunk)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                raise _build_invalid_error(
                    'answers to earlier requests are longer than '
                    f'{MAX_DISCARDED_BYTES} bytes'
                )
        if self._discarded_answers > MAX_DISCARDED_ANSWERS:
            raise _build_invalid_error(
                f'more than {MAX_DISCARDED_ANSWERS} answers to earlier '
                'requests arrived'
            )
        self._answers.popleft()

    async def close(self) -> None:
        """Close the connection; the endpoint then cancels its request."""
        if self.is_closed:
            return
        self.is_closed = True
        try:
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()
        finally:
            self.record_close()

    def on_message_begin(self) -> None:
        """Start a new answer (parser callback)."""
        self._answers.append(IncomingAnswer())

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Add a header to the answer (parser callback)."""
        self._answers[-1].headers.append((name, header_value))

    def on_headers_complete(self) -> None:
        """Complete the head of the answer (parser callback)."""
        answer = self._answers[-1]
        answer.status = self._parser.get_status_code()
        if answer.is_interim:
            return
        answer.has_complete_head = True
        answer.is_ended = self._expects_no_body
        if not self._parser.should_keep_alive():
            self._must_close = True
        for name, header_value in answer.headers:
            if name.lower() == b'keep-alive':
                self._idle_timeout_s = parse_idle_timeout(header_value)

    def on_body(self, body: bytes) -> None:
        """Add a chunk to the body (parser callback)."""
        if self._answers[-1].is_ended:
            # The answer to HEAD has no body, although it may state a length.
            self._is_out_of_sync = True
            return
        self._answers[-1].chunks.append(body)
        self._overhead_bytes = 0

    def on_message_complete(self) -> None:
        """Mark the answer as ended, or drop a 1xx answer (parser callback)."""
        if self._answers[-1].is_interim:
            self._answers.pop()
        else:
            self._answers[-1].is_ended = True
            self._overhead_bytes = 0

    async def _read_more(self) -> None:
        if self.is_closed:
            raise _build_broken_error(EOFError())
        try:
            received = await self._stream.receive(_READ_BYTES)
        except anyio.EndOfStream as error:
            await self.close()
            answer = self._answers[-1] if self._answers else IncomingAnswer()
            if answer.has_complete_head and not answer.is_framed:
                answer.is_ended = True
                return
            raise _build_broken_error(error) from error
        except _STREAM_ERRORS as error:
            await self.close()
            raise _build_broken_error(error) from error
        # The stream keeps what exceeds a read, where no poll can see it.
        self._may_hold_input = len(received) == _READ_BYTES
        self._feed(received)

    def _feed(self, received: bytes) -> None:
        self._overhead_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # No request asks for an upgrade, so that 101 is no valid answer.
            self._is_out_of_sync = True
            if self._answers and self._answers[0].is_ended:
                return
            raise _build_invalid_error(
                f'the answer is not valid HTTP ({type(error).__name__})'
            ) from error
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._is_out_of_sync = True
            raise _build_invalid_error(
                f'{MAX_OVERHEAD_BYTES} bytes of the answer in a row are '
                'neither a head nor a body'
            )


def _ignore_close() -> None:
    """Record nothing."""


async def _connect(address: str, *, is_repeated: bool = False) -> SocketStream:
    host, port = split_address(address)
    started_at = read_monotonic_clock()
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await anyio.connect_tcp(host, port)
    except TimeoutError:
        if is_repeated or not is_timer_late(started_at, CONNECT_TIMEOUT_S):
            raise
    return await _connect(address, is_repeated=True)


def _build_invalid_error(message: str) -> EndpointError:
    return EndpointError(ErrorKind.ANSWER_BROKEN, message, run=RunState.UNKNOWN)


def _build_broken_error(error: Exception) -> EndpointBrokenError:
    return EndpointBrokenError(
        ErrorKind.ENDPOINT_FAILED,
        'the connection broke before the answer was complete '
        f'({type(error).__name__})',
        run=RunState.UNKNOWN,
    )
