"""HTTP client of model engines."""

import contextlib
from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import Final

import httpcore
from anyio.abc import TaskGroup

from laurelwind.errors import (
    EndpointBrokenError,
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.endpoints import (
    EngineCall,
    EngineClient,
    EngineStream,
)
from laurelwind.transport.engine_stream import (
    HttpEngineStream,
    build_answer_error,
    find_header,
)
from laurelwind.transport.network import HTTP_FAILURES
from laurelwind.transport.pools import EndpointPools

_STATUS_OK: Final = 200
_OVERLOAD_STATUSES: Final = frozenset((429, 503))
_CONNECT_TIMEOUT_S: Final = 0.5
_POOL_TIMEOUT_S: Final = 2.0
_TIMEOUTS: Final = MappingProxyType(
    {'connect': _CONNECT_TIMEOUT_S, 'pool': _POOL_TIMEOUT_S}
)


class HttpEngineClient(EngineClient):
    """Client of engines with an OpenAI-compatible chat completions API.

    :param credentials: secrets of endpoints by the credential name used in
        the configuration.
    """

    def __init__(self, *, credentials: Mapping[str, str] | None = None) -> None:
        self._credentials = dict(credentials or {})
        self._pools = EndpointPools()

    def start(self, group: TaskGroup) -> None:
        """Start the task that closes idle connections.

        :param group: task group of the daemon.
        """
        self._pools.start(group)

    @contextlib.asynccontextmanager
    async def open(self, call: EngineCall) -> AsyncIterator[EngineStream]:
        """Send a request; see :class:`EngineClient`."""
        with self._pools.borrow(call.address) as pool:
            async with contextlib.AsyncExitStack() as stack:
                answer = await self._wait_for_head(stack, pool, call)
                _check_head(answer, call)
                yield HttpEngineStream(
                    answer=answer, call=call, pools=self._pools
                )

    async def _wait_for_head(
        self,
        stack: contextlib.AsyncExitStack,
        pool: httpcore.AsyncConnectionPool,
        call: EngineCall,
    ) -> httpcore.Response:
        try:
            with call.limit_wait():
                return await stack.enter_async_context(self._send(pool, call))
        except EndpointSilentError:
            self._pools.retire(call.address)
            raise
        except HTTP_FAILURES as error:
            self._pools.retire(call.address)
            raise _build_connection_error(error) from error

    def _send(
        self, pool: httpcore.AsyncConnectionPool, call: EngineCall
    ) -> contextlib.AbstractAsyncContextManager[httpcore.Response]:
        return pool.stream(
            'POST',
            f'http://{call.address}/v1/chat/completions',
            headers=self._build_headers(call),
            content=call.body,
            extensions={'timeout': dict(_TIMEOUTS)},
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pools.close()

    def _build_headers(self, call: EngineCall) -> list[tuple[bytes, bytes]]:
        headers = [
            (b'Host', call.address.encode()),
            (b'Content-Type', b'application/json'),
            (b'Content-Length', str(len(call.body)).encode()),
            (b'X-Request-Id', call.request_id.encode()),
            (b'X-Model-Version', call.reference.encode()),
            (b'X-Priority', str(call.priority).encode()),
        ]
        if call.after_part >= 0:
            last = f'{call.request_id}/{call.after_part}'
            headers.append((b'Last-Event-ID', last.encode()))
        credential = self._credentials.get(call.credential, '')
        if credential:
            token = f'Bearer {credential}'
            headers.append((b'Authorization', token.encode()))
        if call.traceparent:
            headers.append((b'traceparent', call.traceparent.encode()))
        return headers


def _check_head(answer: httpcore.Response, call: EngineCall) -> None:
    if answer.status in _OVERLOAD_STATUSES:
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            'the endpoint is overloaded',
            run=RunState.NOT_RUN,
        )
    if answer.status != _STATUS_OK:
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            f'the endpoint answered with status {answer.status}',
        )
    if find_header(answer, b'x-request-id') != call.request_id.encode():
        raise build_answer_error('the answer belongs to another request')
    if find_header(answer, b'x-model-version') != call.reference.encode():
        raise build_answer_error('the answer belongs to another version')


def _build_connection_error(error: Exception) -> EndpointError:
    message = f'no answer from the endpoint ({type(error).__name__})'
    if isinstance(error, httpcore.ConnectError | httpcore.ConnectTimeout):
        return EndpointError(
            ErrorKind.ENDPOINT_FAILED, message, run=RunState.NOT_RUN
        )
    return EndpointBrokenError(
        ErrorKind.ENDPOINT_FAILED, message, run=RunState.UNKNOWN
    )
