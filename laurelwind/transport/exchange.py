"""One HTTP request and its answer, on the ASGI interface."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

import anyio
import orjson
from starlette.types import Message, Receive, Scope, Send

from laurelwind.errors import CallerError, ErrorKind, LaurelwindError
from laurelwind.state.conversion import dump_json

BODY_TIMEOUT_S: Final = 10.0
_BEARER: Final = 'bearer '
_STATUS_OK: Final = 200
_JSON_TYPE: Final = (b'content-type', b'application/json')

HeaderPairs = Sequence[tuple[bytes, bytes]]


class Exchange:
    """One request and its answer.

    :param scope: what ASGI knows of the request.
    :param receive: gives the body.
    :param send: takes the answer.
    :param request_id: names the request.
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
        self.is_cut = False
        self.extra_headers: list[tuple[bytes, bytes]] = []
        self._scope = scope
        self._receive = receive
        self._send = send
        self._headers: dict[str, str] = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in scope['headers']
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
    def path_parts(self) -> Mapping[str, Any]:
        """Parts of the path that the route names."""
        found: Mapping[str, Any] = self._scope.get('path_params', {})
        return found

    @property
    def query(self) -> str:
        """The query string, without the question mark."""
        raw: bytes = self._scope.get('query_string', b'')
        return raw.decode('latin-1')

    def read_key(self) -> str:
        """Read the key that the caller sent.

        :raises CallerError: when there is none.
        """
        text = self._headers.get('authorization', '')
        if not text.lower().startswith(_BEARER):
            raise CallerError(
                ErrorKind.KEY_MISSING,
                'send a key as a bearer token',
            )
        return text[len(_BEARER) :].strip()

    def read_seconds(self, name: str) -> float | None:
        """Read a header that holds seconds.

        :param name: its name in lower case.
        :raises CallerError: when it is not a number above zero.
        """
        text = self._headers.get(name)
        if text is None:
            return None
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0
        if not 0 < seconds < float('inf'):
            raise CallerError(
                ErrorKind.HEADER_INVALID,
                f'{name} must be seconds above zero',
            )
        return seconds

    async def read_body(self, limit: int) -> bytes:
        """Read the whole body.

        :param limit: its largest size in bytes.
        :raises CallerError: when it is too large, too slow or cut off.
        """
        declared = self._headers.get('content-length', '0')
        if declared.isdigit() and int(declared) > limit:
            raise _refuse_size(limit)
        try:
            with anyio.fail_after(BODY_TIMEOUT_S):
                return await self._collect_body(limit)
        except TimeoutError:
            raise CallerError(
                ErrorKind.BODY_TOO_SLOW, 'the body did not arrive in time'
            ) from None

    async def read_json(self, limit: int) -> dict[str, Any]:
        """Read the body as a JSON object.

        :param limit: its largest size in bytes.
        :raises CallerError: when it is not a JSON object.
        """
        try:
            found = orjson.loads(await self.read_body(limit))
        except orjson.JSONDecodeError:
            found = None
        if not isinstance(found, dict):
            raise CallerError(
                ErrorKind.BODY_MALFORMED,
                'the body must be a JSON object',
            )
        return found

    async def wait_for_leaving(self) -> None:
        """Wait until the caller has gone away."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    async def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of the answer.

        :param status: HTTP status code.
        :param headers: names in lower case.
        """
        self.has_begun = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    *headers,
                    (b'x-request-id', self.request_id.encode()),
                    *self.extra_headers,
                ],
            }
        )

    async def send_part(self, part: bytes, *, is_last: bool = False) -> None:
        """Send a part of the answer's body.

        :param part: its bytes.
        :param is_last: whether the body ends with it.
        """
        await self._send(
            {
                'type': 'http.response.body',
                'body': part,
                'more_body': not is_last,
            }
        )

    async def send_whole(
        self,
        status: int,
        headers: HeaderPairs,
        body: bytes,
    ) -> None:
        """Send a whole answer.

        :param status: HTTP status code.
        :param headers: names in lower case.
        :param body: the body.
        """
        length = (b'content-length', str(len(body)).encode())
        await self.begin(status, (*headers, length))
        await self.send_part(body, is_last=True)

    async def send_json(
        self,
        thing: Any,
        *,
        status: int = _STATUS_OK,
        headers: HeaderPairs = (),
    ) -> None:
        """Send a whole answer of JSON.

        :param thing: an attrs object, or plain types.
        :param status: HTTP status code.
        :param headers: names in lower case.
        """
        await self.send_whole(status, (_JSON_TYPE, *headers), dump_json(thing))

    async def _collect_body(self, limit: int) -> bytes:
        body = b''
        while True:
            message = await self._receive()
            body += _read_chunk(message)
            if len(body) > limit:
                raise _refuse_size(limit)
            if not message.get('more_body', False):
                return body

    async def send_error(self, error: LaurelwindError) -> None:
        """Send the answer of an error, or cut the answer off.

        :param error: what went wrong.
        """
        answer = {'error': error.build_answer(self.request_id)}
        if self.has_begun:
            event = b'event: error\ndata: %s\n\n' % dump_json(answer)
            await self.send_part(event, is_last=True)
            return
        headers = []
        if error.retry_after_s is not None:
            seconds = str(max(round(error.retry_after_s), 1))
            headers.append((b'retry-after', seconds.encode()))
        await self.send_json(answer, status=error.status, headers=headers)


def _read_chunk(message: Message) -> bytes:
    if message['type'] == 'http.disconnect':
        raise CallerError(ErrorKind.BODY_MALFORMED, 'the body was cut off')
    chunk: bytes = message.get('body', b'')
    return chunk


def _refuse_size(limit: int) -> CallerError:
    return CallerError(
        ErrorKind.BODY_TOO_LARGE,
        f'the body may have {limit} bytes at most',
    )
