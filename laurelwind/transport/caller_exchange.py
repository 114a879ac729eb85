"""An HTTP request and its answer on the ASGI interface."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

import anyio
import orjson
from starlette.types import Receive, Scope, Send

from laurelwind.errors import CallerError, ErrorKind, LaurelwindError
from laurelwind.state.conversion import dump_json

BODY_TIMEOUT_S: Final = 10.0
# Limits of the rest of a request body that is read after an early answer.
DISCARD_TIMEOUT_S: Final = 2.0
MAX_DISCARDED_BYTES: Final = 8_388_608
_BEARER: Final = 'bearer '
_STATUS_OK: Final = 200
_CLOSE: Final = (b'connection', b'close')
_JSON_CONTENT_TYPE: Final = (b'content-type', b'application/json')

HeaderPairs = Sequence[tuple[bytes, bytes]]


class CallerExchange:
    """A request and its answer.

    :param scope: ASGI scope of the request.
    :param receive: ASGI callable that returns the next message of the request.
    :param send: ASGI callable that sends a message of the answer.
    :param request_id: identifies the request in the answer and in logs.
    :ivar has_body: whether the request's body has been read completely.
    :ivar has_left: whether the caller left before that.
    :ivar has_begun: whether the head of the answer has been sent.
    :ivar closes_connection: whether the answer's head tells the caller to use
        the connection no more.
    :ivar has_length: whether that head states the length of the answer.
    :ivar is_complete: whether the whole answer has been sent.
    :ivar is_truncated: whether the answer must end before it is complete.
    """

    def __init__(
        self,
        *,
        scope: Scope,
        receive: Receive,
        send: Send,
        request_id: str,
    ) -> None:
        self.request_id = request_id
        self.has_begun = False
        self.has_length = False
        self.closes_connection = False
        self.is_complete = False
        self.is_truncated = False
        self.has_body = False
        self.has_left = False
        self.extra_headers: list[tuple[bytes, bytes]] = []
        self._scope = scope
        self._receive = receive
        self._send = send
        self._headers: dict[str, str] = {
            name.decode('latin-1'): header_value.decode('latin-1')
            for name, header_value in scope['headers']
        }

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the request, names in lower case."""
        return self._headers

    @property
    def method(self) -> str:
        """HTTP method of the request."""
        return str(self._scope['method'])

    @property
    def path_params(self) -> Mapping[str, Any]:
        """Path parameters of the route, by name."""
        path_params: Mapping[str, Any] = self._scope.get('path_params', {})
        return path_params

    @property
    def query(self) -> str:
        """The query string, without the question mark."""
        raw: bytes = self._scope.get('query_string', b'')
        return raw.decode('latin-1')

    def read_api_key(self) -> str:
        """Return the API key from the ``Authorization`` header.

        :raises CallerError: when there is no bearer token.
        """
        authorization = self._headers.get('authorization', '')
        if not authorization.lower().startswith(_BEARER):
            raise CallerError(
                ErrorKind.KEY_MISSING,
                'no API key; send one as a bearer token',
            )
        return authorization[len(_BEARER) :].strip()

    def read_seconds(self, name: str) -> float | None:
        """Return a header that holds a duration in seconds.

        :param name: name of the header in lower case.
        :returns: the seconds, or ``None`` when the header is absent.
        :raises CallerError: when it is not a finite number above zero.
        """
        header_value = self._headers.get(name)
        if header_value is None:
            return None
        try:
            seconds = float(header_value)
        except ValueError:
            seconds = 0
        if not 0 < seconds < float('inf'):
            raise CallerError(
                ErrorKind.HEADER_INVALID,
                f'{name} must be a number of seconds above zero',
            )
        return seconds

    async def read_body(self, limit: int) -> bytes:
        """Read the complete request body.

        :param limit: maximum size in bytes.
        :raises CallerError: when it exceeds the limit, does not arrive within
            ``BODY_TIMEOUT_S`` or is cut off.
        """
        declared = self._headers.get('content-length', '0')
        if declared.isdigit() and int(declared) > limit:
            raise _build_size_error(limit)
        try:
            with anyio.fail_after(BODY_TIMEOUT_S):
                return await self._collect_body(limit)
        except TimeoutError:
            raise CallerError(
                ErrorKind.BODY_TOO_SLOW,
                'the request body did not arrive in time',
            ) from None

    async def read_json(self, limit: int) -> dict[str, Any]:
        """Read the request body as a JSON object.

        :param limit: maximum size in bytes.
        :raises CallerError: when the body cannot be read or is not a JSON
            object.
        """
        try:
            document = orjson.loads(await self.read_body(limit))
        except orjson.JSONDecodeError:
            document = None
        if not isinstance(document, dict):
            raise CallerError(
                ErrorKind.BODY_MALFORMED,
                'the request body must be a JSON object',
            )
        return document

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller disconnects."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    async def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of the answer.

        :param status: HTTP status code.
        :param headers: pairs of a name in lower case and its text.
        """
        self.has_begun = True
        closing = (_CLOSE,) if self.closes_connection else ()
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    *headers,
                    (b'x-request-id', self.request_id.encode()),
                    *self.extra_headers,
                    *closing,
                ],
            }
        )

    async def send_chunk(self, chunk: bytes, *, is_last: bool = False) -> None:
        """Send a chunk of the answer's body.

        :param chunk: bytes of the body.
        :param is_last: whether the body ends with this chunk.
        """
        await self._send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': not is_last,
            }
        )
        self.is_complete = is_last

    async def send_complete(
        self,
        status: int,
        headers: HeaderPairs,
        body: bytes,
    ) -> None:
        """Send a complete answer with a ``Content-Length``.

        :param status: HTTP status code.
        :param headers: pairs of a name in lower case and its text.
        :param body: the complete body.
        """
        self.has_length = True
        length = (b'content-length', str(len(body)).encode())
        await self.begin(status, (*headers, length))
        if self.has_body or not self.closes_connection:
            await self.send_chunk(body, is_last=True)
            return
        # The server closes the connection once it has the last chunk.
        await self.send_chunk(body)
        self.is_complete = True
        await self.discard_body()
        await self.send_chunk(b'', is_last=True)

    async def send_json(
        self,
        document: Any,
        *,
        status: int = _STATUS_OK,
        headers: HeaderPairs = (),
    ) -> None:
        """Send a complete answer encoded as JSON.

        :param document: attrs object or plain types.
        :param status: HTTP status code.
        :param headers: pairs of a name in lower case and its text.
        """
        await self.send_complete(
            status, (_JSON_CONTENT_TYPE, *headers), dump_json(document)
        )

    async def discard_body(self) -> None:
        """Read the rest of the request body, within limits, and drop it.

        Closing a connection with unread input resets it, which can destroy an
        answer before the caller has read it.
        """
        discarded = 0
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            while not self.has_body and discarded < MAX_DISCARDED_BYTES:
                message = await self._receive()
                if message['type'] == 'http.disconnect':
                    return
                discarded += len(message.get('body', b''))
                self.has_body = not message.get('more_body', False)

    async def _collect_body(self, limit: int) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                self.has_left = True
                raise CallerError(
                    ErrorKind.BODY_MALFORMED, 'the request body was cut off'
                )
            chunk: bytes = message.get('body', b'')
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                raise _build_size_error(limit)
            if not message.get('more_body', False):
                self.has_body = True
                return b''.join(chunks)

    async def send_error(self, error: LaurelwindError) -> None:
        """Send an error answer, or end a begun answer with an error event.

        :param error: failure to report.
        """
        answer = {'error': error.build_answer(self.request_id)}
        if self.has_begun:
            event = b'event: error\ndata: %s\n\n' % dump_json(answer)
            await self.send_chunk(event, is_last=True)
            return
        headers = []
        if error.retry_after_s is not None:
            seconds = str(max(round(error.retry_after_s), 1))
            headers.append((b'retry-after', seconds.encode()))
        await self.send_json(answer, status=error.status, headers=headers)


def _build_size_error(limit: int) -> CallerError:
    return CallerError(
        ErrorKind.BODY_TOO_LARGE,
        f'the request body exceeds the limit of {limit} bytes',
    )
