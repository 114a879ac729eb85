"""HTTP client of model engines that validates each part of a stream.

Each event of an engine begins with ``id: <request>/<number>`` and its JSON
names the version that generated it.  Both are compared as bytes to avoid
parsing the JSON of every part; only the last part, which holds the usage, is
parsed.
"""

import contextlib
from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import Final

import httpcore
import orjson
from anyio.abc import TaskGroup

from laurelwind.errors import (
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.endpoints import (
    AnswerProgress,
    EngineCall,
    EngineClient,
    EngineStream,
    Usage,
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
_EVENT_END: Final = b'\n\n'
_USAGE_MARKER: Final = b'"usage":{'
_DONE_MARKER: Final = b'data: [DONE]'
_DATA_PREFIX: Final = b'data: '


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


class HttpEngineStream(EngineStream):
    """The answer of an engine to one call.

    :param answer: HTTP answer with an unread body.
    :param call: the attempt that every part must match.
    :param pools: connection pools; those of the endpoint are retired when the
        connection fails.
    """

    def __init__(
        self,
        *,
        answer: httpcore.Response,
        call: EngineCall,
        pools: EndpointPools,
    ) -> None:
        self._pools = pools
        self._address = call.address
        self._limit_wait = call.limit_wait
        self.progress = AnswerProgress(
            last_part=call.after_part,
            load=_read_load(answer),
        )
        self._answer = answer
        self._prefix = f'id: {call.request_id}/'.encode()
        self._model = f'"model":"{call.reference}"'.encode()

    async def iterate_parts(self) -> AsyncIterator[bytes]:
        """Yield validated events; see :class:`EngineStream`."""
        buffer = b''
        try:
            async for chunk in self._iterate_chunks():
                buffer += chunk
                batch_end = buffer.rfind(_EVENT_END) + len(_EVENT_END)
                if batch_end < len(_EVENT_END):
                    continue
                batch = buffer[:batch_end]
                buffer = buffer[batch_end:]
                checked = self._check_batch(batch)
                if checked:
                    yield checked
        except EndpointSilentError:
            self._pools.retire(self._address)
            raise
        except HTTP_FAILURES as error:
            self._pools.retire(self._address)
            raise _build_answer_error(
                'the connection failed during the answer'
            ) from error
        self._check_complete(buffer)

    async def _iterate_chunks(self) -> AsyncIterator[bytes]:
        chunks = aiter(self._answer.aiter_stream())
        while True:
            with self._limit_wait():
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk

    def _check_batch(self, batch: bytes) -> bytes:
        events = batch.split(_EVENT_END)
        for index, event in enumerate(events[:-1]):
            self._check_part_number(event)
            if self.progress.buffered_events or _USAGE_MARKER in event:
                leading = events[:index]
                self._buffer_ending(events[index:])
                return _EVENT_END.join((*leading, b'')) if leading else b''
            if self._model not in event:
                raise _build_answer_error('a part belongs to another version')
        return batch

    def _check_part_number(self, event: bytes) -> None:
        number = self.progress.last_part + 1
        expected = b'%s%d\n' % (self._prefix, number)
        if not event.startswith(expected):
            raise _build_answer_error(
                'a part is missing or belongs to another request'
            )
        self.progress.last_part = number

    def _buffer_ending(self, events: list[bytes]) -> None:
        for event in events[1:-1]:
            self._check_part_number(event)
        self.progress.buffered_events += _EVENT_END.join(events)
        if self.progress.usage is None:
            self.progress.usage = self._read_usage(events[0])

    def _read_usage(self, event: bytes) -> Usage:
        if self._model not in event:
            raise _build_answer_error(
                'the last part belongs to another version'
            )
        _, _, raw = event.partition(_DATA_PREFIX)
        try:
            usage = orjson.loads(raw)['usage']
            return Usage(
                prompt_tokens=int(usage['prompt_tokens']),
                completion_tokens=int(usage['completion_tokens']),
                parts=int(usage['parts']),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise _build_answer_error(
                'the usage in the last part is malformed'
            ) from error

    def _check_complete(self, remainder: bytes) -> None:
        usage = self.progress.usage
        if (
            remainder
            or usage is None
            or _DONE_MARKER not in self.progress.buffered_events
        ):
            raise _build_answer_error('the answer ended early')
        if self.progress.last_part + 1 != usage.parts:
            raise _build_answer_error(
                'the number of parts differs from the usage'
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
    if _find_header(answer, b'x-request-id') != call.request_id.encode():
        raise _build_answer_error('the answer belongs to another request')
    if _find_header(answer, b'x-model-version') != call.reference.encode():
        raise _build_answer_error('the answer belongs to another version')


def _find_header(answer: httpcore.Response, name: bytes) -> bytes:
    for header_name, text in answer.headers:
        if header_name.lower() == name:
            return text
    return b''


def _read_load(answer: httpcore.Response) -> int:
    text = _find_header(answer, b'x-load')
    return int(text) if text.isdigit() else -1


def _build_connection_error(error: Exception) -> EndpointError:
    never_sent = isinstance(
        error,
        httpcore.ConnectError | httpcore.ConnectTimeout,
    )
    return EndpointError(
        ErrorKind.ENDPOINT_FAILED,
        f'no answer from the endpoint ({type(error).__name__})',
        run=RunState.NOT_RUN if never_sent else RunState.UNKNOWN,
    )


def _build_answer_error(message: str) -> EndpointError:
    return EndpointError(ErrorKind.ANSWER_BROKEN, message)
