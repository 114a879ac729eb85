"""Client of platform services that speak JSON over HTTP."""

import contextlib
from collections.abc import Iterator
from typing import Any, Final

import anyio
import httpcore
import orjson

from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.transport.network import HTTP_FAILURES

_STATUS_OK: Final = 200
_CONNECT_TIMEOUT_S: Final = 1.0
_KEEPALIVE_S: Final = 30.0


class JsonService:
    """Client of one platform service.

    :param name: name of the service in error messages.
    :param max_connections: upper limit of open connections.
    """

    def __init__(self, *, name: str, max_connections: int = 32) -> None:
        self._name = name
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, keepalive_expiry=_KEEPALIVE_S
        )

    async def request(
        self, method: str, url: str, *, timeout_s: float, body: bytes = b''
    ) -> dict[str, Any]:
        """Send a request and decode the JSON object in the answer.

        :param method: HTTP method.
        :param url: absolute URL.
        :param timeout_s: time limit for the whole request, in seconds.
        :param body: body of the request.
        :raises PlatformError: on a failed connection, a time-out, a status
            other than 200 or a body that is not JSON.
        """
        with self._convert_failures(), anyio.fail_after(timeout_s):
            answer = await self._pool.request(
                method,
                url,
                content=body,
                extensions={'timeout': _build_timeouts(timeout_s)},
            )
            if answer.status != _STATUS_OK:
                raise self._build_error(f'status {answer.status}')
            return orjson.loads(answer.content)  # type: ignore[no-any-return]

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    @contextlib.contextmanager
    def _convert_failures(self) -> Iterator[None]:
        """Convert transport and decoding failures to a PlatformError."""
        try:
            yield
        except (*HTTP_FAILURES, TimeoutError, ValueError) as error:
            raise self._build_error(type(error).__name__) from error

    def _build_error(self, reason: str) -> PlatformError:
        return PlatformError(
            ErrorKind.LOG_UNAVAILABLE,
            f'request to {self._name} failed ({reason})',
        )


def _build_timeouts(timeout_s: float) -> dict[str, float]:
    return {
        'connect': min(_CONNECT_TIMEOUT_S, timeout_s),
        'pool': timeout_s,
        'read': timeout_s,
        'write': timeout_s,
    }
