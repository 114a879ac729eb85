"""HTTP client of the platform's log store."""

import json
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final
from urllib.parse import urlencode

import anyio
import httpcore
import orjson
from attrs import frozen

from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.transport.network import CALL_FAILURES

_OK: Final = 200
# The store answers within milliseconds; after this time a call fails, and a
# retry uses a new connection.
CALL_TIMEOUT_S: Final = 1.0
# Number of restores of the store from an older copy; absent before the first.
_ERA_HEADER: Final = b'store-era'
_MAX_CONNECTIONS: Final = 8
_SURROGATE: Final = re.compile('[\ud800-\udfff]')


@frozen(kw_only=True)
class StoreAnswer:
    """An answer of the store.

    :ivar status: HTTP status code.
    :ivar body: the body.
    :ivar era: era of the store.
    """

    status: int
    body: bytes
    era: int = 0

    def read_json(self) -> dict[str, Any]:
        """Read the body as a JSON object."""
        try:
            decoded = _parse_json(self.body)
        except (ValueError, RecursionError):
            decoded = None
        if not isinstance(decoded, dict):
            raise build_store_error(
                'the answer of the store is not a JSON object'
            )
        return decoded


class StoreClient:
    """HTTP client of the store, with a connection pool; one per process.

    :param address: ``host:port`` of the store.
    :param count: called with the path and the outcome of each call, or
        ``None``.
    :ivar era: latest era of the store that any of its answers named.
    """

    def __init__(
        self,
        *,
        address: str,
        count: Callable[[str, str], None] | None = None,
    ) -> None:
        self.era = 0
        self._count = count
        self._base_url = f'http://{address}'
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, keepalive_expiry=None
        )

    async def call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, object] | None = None,
        body: bytes = b'',
        wait_s: float = 0,
        allowed: Sequence[int] = (),
    ) -> StoreAnswer:
        """Send a request to the store, without retries.

        :param method: HTTP method.
        :param path: path of the call.
        :param query: query parameters.
        :param body: body of the request.
        :param wait_s: seconds that the store may hold the request (long poll);
            added to the time-out.
        :param allowed: statuses besides 200 that are returned to the caller.
        :raises PlatformError: if the store does not answer in time, or answers
            with any other status.
        """
        url = f'{self._base_url}{path}'
        if query:
            url = f'{url}?{urlencode(query)}'
        try:
            with anyio.fail_after(CALL_TIMEOUT_S + wait_s):
                answer = await self._pool.request(
                    method,
                    url,
                    content=body,
                    headers={'Content-Length': str(len(body))} if body else {},
                )
        except CALL_FAILURES as error:
            self._count_call(path, type(error).__name__)
            raise build_store_error(
                f'the store did not answer ({type(error).__name__})'
            ) from error
        self._count_call(path, str(answer.status))
        era = self._read_era(answer.headers)
        if answer.status != _OK and answer.status not in allowed:
            raise build_store_error(
                f'{path} failed with status {answer.status}'
            )
        return StoreAnswer(status=answer.status, body=answer.content, era=era)

    def _read_era(self, headers: Sequence[tuple[bytes, bytes]]) -> int:
        era = 0
        for name, text in headers:
            if name.lower() == _ERA_HEADER and text.isdigit():
                era = int(text)
        if era < self.era:
            raise build_store_error(
                f'an answer of era {era} arrived in era {self.era} of the store'
            )
        self.era = era
        return era

    def _count_call(self, path: str, outcome: str) -> None:
        if self._count is not None:
            self._count(path.removeprefix('/'), outcome)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def _parse_json(body: bytes) -> Any:
    """Parse JSON; bytes and surrogates that are no text are replaced.

    Other writers choose the keys in an answer, and one that is no text would
    make the whole answer unreadable.

    :raises ValueError: if it is no JSON.
    :raises RecursionError: if it is nested too deeply.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        decoded = json.loads(body.decode(errors='replace'))
    text = json.dumps(decoded, ensure_ascii=False)
    return orjson.loads(_SURROGATE.sub('\N{REPLACEMENT CHARACTER}', text))


def build_store_error(message: str) -> PlatformError:
    """Build the error of a call that failed.

    :param message: what failed.
    """
    return PlatformError(ErrorKind.LOG_UNAVAILABLE, message)
