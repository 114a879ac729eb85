"""Answers the platform's questions: who is ready, and where to connect."""

from collections.abc import Callable, Sequence
from typing import Final
from urllib.parse import parse_qs

import orjson
from starlette.types import Receive, Scope, Send

_MOST_ADDRESSES: Final = 64
_OK: Final = 200
_UNAVAILABLE: Final = 503
_NOT_FOUND: Final = 404


class ReadinessApplication:
    """Serves ``GET /readiness``.

    :param is_ready: tells whether callers may be sent here.
    """

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        await _answer(send, _OK if self._is_ready() else _UNAVAILABLE, b'')


class RegistryApplication:
    """Serves ``GET /resolve``.

    :param list_addresses: lists the callers' addresses of the daemons.
    :param life_s: seconds for which callers keep an answer.
    """

    def __init__(
        self,
        *,
        list_addresses: Callable[[str], Sequence[str]],
        life_s: float,
    ) -> None:
        self._list_addresses = list_addresses
        self._life_s = life_s

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        if scope['path'] != '/resolve':
            await _answer(send, _NOT_FOUND, b'')
            return
        query = parse_qs(scope.get('query_string', b'').decode('latin-1'))
        zone = query.get('zone', [''])[0]
        addresses = self._list_addresses(zone)[:_MOST_ADDRESSES]
        if not addresses:
            await _answer(send, _UNAVAILABLE, b'')
            return
        body = {'addresses': addresses, 'ttl_s': self._life_s}
        await _answer(send, _OK, orjson.dumps(body))


async def _answer(send: Send, status: int, body: bytes) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', str(len(body)).encode()),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': body})
