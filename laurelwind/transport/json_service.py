"""Asks a service of the platform that speaks JSON over HTTP."""

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
    """One service of the platform.

    :param name: what it is called in messages.
    :param max_connections: connections kept to it at most.
    """

    def __init__(self, *, name: str, max_connections: int = 32) -> None:
        self._name = name
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, keepalive_expiry=_KEEPALIVE_S
        )

    async def request(
        self, method: str, url: str, *, timeout_s: float, body: bytes = b''
    ) -> dict[str, Any]:
        """Send a request and read the JSON object that answers it.

        :param method: HTTP method.
        :param url: the whole URL.
        :param timeout_s: longest time for the whole exchange.
        :param body: the request's body.
        :raises PlatformError: when no good answer came in time.
        """
        with self._explain_failure(), anyio.fail_after(timeout_s):
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
    def _explain_failure(self) -> Iterator[None]:
        """Turn failures of the connection and of decoding into one error."""
        try:
            yield
        except (*HTTP_FAILURES, TimeoutError, ValueError) as error:
            raise self._build_error(type(error).__name__) from error

    def _build_error(self, reason: str) -> PlatformError:
        return PlatformError(
            ErrorKind.LOG_UNAVAILABLE, f'{self._name} did not answer ({reason})'
        )


def _build_timeouts(timeout_s: float) -> dict[str, float]:
    return {
        'connect': min(_CONNECT_TIMEOUT_S, timeout_s),
        'pool': timeout_s,
        'read': timeout_s,
        'write': timeout_s,
    }
