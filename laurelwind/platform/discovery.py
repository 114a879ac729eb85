"""Readiness probe and address registry of the platform."""

from collections.abc import Callable, Sequence
from typing import Final
from urllib.parse import parse_qs

import orjson
from starlette.types import Receive, Scope, Send

from laurelwind.transport.json_answers import send_json

_MAX_ADDRESSES: Final = 64
_OK: Final = 200
_UNAVAILABLE: Final = 503
_NOT_FOUND: Final = 404


class ReadinessApplication:
    """Serves ``GET /readiness``.

    :param is_ready: returns whether callers may connect to this daemon.
    """

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer a request."""
        await send_json(send, _OK if self._is_ready() else _UNAVAILABLE)


class RegistryApplication:
    """Serves ``GET /resolve``.

    :param list_addresses: returns the caller addresses of the daemons for a
        zone, up to a number.
    :param ttl_s: seconds for which callers may cache an answer.
    """

    def __init__(
        self,
        *,
        list_addresses: Callable[[str, int], Sequence[str]],
        ttl_s: float,
    ) -> None:
        self._list_addresses = list_addresses
        self._ttl_s = ttl_s

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer a request."""
        if scope['path'] != '/resolve':
            await send_json(send, _NOT_FOUND)
            return
        query = parse_qs(scope.get('query_string', b'').decode('latin-1'))
        zone = query.get('zone', [''])[0]
        addresses = self._list_addresses(zone, _MAX_ADDRESSES)
        if not addresses:
            await send_json(send, _UNAVAILABLE)
            return
        body = {'addresses': addresses, 'ttl_s': self._ttl_s}
        await send_json(send, _OK, orjson.dumps(body))
