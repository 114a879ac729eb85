"""HTTP client of model engines."""

import contextlib
from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import Any, Final

import httpcore
from anyio.abc import TaskGroup
from attrs import define

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
_CONNECTED: Final = 'connection.connect_tcp.complete'

_Sending = contextlib.AbstractAsyncContextManager[httpcore.Response]


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
                connect_trace = _ConnectTrace()
                answer = await self._wait_for_head(
                    stack, self._send(pool, call, connect_trace), call
                )
                _check_owner(answer, call, is_alone=connect_trace.has_connected)
                _check_head(answer, call)
                yield HttpEngineStream(
                    answer=answer, call=call, pools=self._pools
                )

    async def _wait_for_head(
        self,
        stack: contextlib.AsyncExitStack,
        sending: _Sending,
        call: EngineCall,
    ) -> httpcore.Response:
        try:
            with call.limit_wait():
                return await stack.enter_async_context(sending)
        except EndpointSilentError:
            self._pools.retire(call.address)
            raise
        except HTTP_FAILURES as error:
            self._pools.retire(call.address)
            raise _build_connection_error(error) from error

    def _send(
        self,
        pool: httpcore.AsyncConnectionPool,
        call: EngineCall,
        connect_trace: '_ConnectTrace',
    ) -> _Sending:
        return pool.stream(
            'POST',
            f'http://{call.address}/v1/chat/completions',
            headers=self._build_headers(call),
            content=call.body,
            extensions={
                'timeout': dict(_TIMEOUTS),
                'trace': connect_trace.record,
            },
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


@define(kw_only=True)
class _ConnectTrace:
    """Records whether a request was sent on a new connection.

    :ivar has_connected: whether a connection was opened for the request.
    """

    has_connected: bool = False

    async def record(self, event: str, details: Mapping[str, Any]) -> None:
        """Record an event of the HTTP client.

        :param event: name of the event.
        :param details: what the client tells of it.
        """
        self.has_connected = self.has_connected or event == _CONNECTED


def _check_owner(
    answer: httpcore.Response, call: EngineCall, *, is_alone: bool
) -> None:
    """Check that an answer belongs to a request.

    Refusals may name no request; they count where the connection carried no
    other one.
    """
    request_id = find_header(answer, b'x-request-id')
    is_anonymous = not request_id and answer.status != _STATUS_OK
    if request_id != call.request_id.encode() and not (
        is_alone and is_anonymous
    ):
        raise build_answer_error(
            'the answer belongs to another request, or names none on a '
            'connection that carried others'
        )


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
