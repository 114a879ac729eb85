"""The client of model engines: streams checked part by part.

Each event of an engine begins with ``id: <request>/<number>`` and its JSON
names the version that generated it.  Both are compared as bytes, so that a
part costs no JSON parsing; only the last part, with the usage, is parsed.
"""

import contextlib
from collections.abc import AsyncIterator, Mapping
from typing import Final

import httpcore
import orjson
from anyio.abc import TaskGroup

from laurelwind.errors import EndpointError, ErrorKind, RunState
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
_STATUS_BUSY: Final = frozenset((429, 503))
_CONNECT_TIMEOUT_S: Final = 0.5
_POOL_TIMEOUT_S: Final = 2.0
_EVENT_END: Final = b'\n\n'
_USAGE_MARK: Final = b'"usage":{'
_DONE_MARK: Final = b'data: [DONE]'
_DATA_MARK: Final = b'data: '


class HttpEngineClient(EngineClient):
    """Engines that speak the usual chat completions interface.

    :param credentials: secrets of endpoints by the name that the
        configuration gives them.
    """

    def __init__(self, *, credentials: Mapping[str, str] | None = None) -> None:
        self._credentials = dict(credentials or {})
        self._pools = EndpointPools()

    def start(self, group: TaskGroup) -> None:
        """Begin to close connections that are not used any more.

        :param group: the daemon's tasks.
        """
        self._pools.start(group)

    @contextlib.asynccontextmanager
    async def open(self, call: EngineCall) -> AsyncIterator[EngineStream]:
        """Send a request; see :class:`EngineClient`."""
        with self._pools.borrow(call.address) as pool:
            async with contextlib.AsyncExitStack() as stack:
                try:
                    answer = await stack.enter_async_context(
                        self._send(pool, call)
                    )
                except HTTP_FAILURES as error:
                    self._pools.retire(call.address)
                    raise _explain_silence(error) from error
                _check_head(answer, call)
                yield HttpEngineStream(
                    answer=answer, call=call, pools=self._pools
                )

    def _send(
        self, pool: httpcore.AsyncConnectionPool, call: EngineCall
    ) -> contextlib.AbstractAsyncContextManager[httpcore.Response]:
        return pool.stream(
            'POST',
            f'http://{call.address}/v1/chat/completions',
            headers=self._build_headers(call),
            content=call.body,
            extensions={'timeout': _build_timeouts(call)},
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
    """One answer of an engine.

    :param answer: the answer whose body is still to be read.
    :param call: the attempt that it must belong to.
    :param pools: told when a connection turns out to be silent.
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
        self.progress = AnswerProgress(
            last_part=call.after_part,
            load=_read_load(answer),
        )
        self._answer = answer
        self._prefix = f'id: {call.request_id}/'.encode()
        self._model = f'"model":"{call.reference}"'.encode()

    async def iterate_parts(self) -> AsyncIterator[bytes]:
        """Give checked events; see :class:`EngineStream`."""
        rest = b''
        try:
            async for chunk in self._answer.aiter_stream():
                rest += chunk
                cut = rest.rfind(_EVENT_END) + len(_EVENT_END)
                if cut < len(_EVENT_END):
                    continue
                batch = rest[:cut]
                rest = rest[cut:]
                ready = self._check_batch(batch)
                if ready:
                    yield ready
        except HTTP_FAILURES as error:
            self._pools.retire(self._address)
            raise _break_answer('the answer was cut off') from error
        self._check_end(rest)

    def _check_batch(self, batch: bytes) -> bytes:
        events = batch.split(_EVENT_END)
        for index, event in enumerate(events[:-1]):
            self._check_number(event)
            if self.progress.ending or _USAGE_MARK in event:
                ready = events[:index]
                self._keep_ending(events[index:])
                return _EVENT_END.join((*ready, b'')) if ready else b''
            if self._model not in event:
                raise _break_answer('a part came from another version')
        return batch

    def _check_number(self, event: bytes) -> None:
        number = self.progress.last_part + 1
        expected = b'%s%d\n' % (self._prefix, number)
        if not event.startswith(expected):
            raise _break_answer('a part was missing or of another request')
        self.progress.last_part = number

    def _keep_ending(self, events: list[bytes]) -> None:
        for event in events[1:-1]:
            self._check_number(event)
        self.progress.ending += _EVENT_END.join(events)
        if self.progress.usage is None:
            self.progress.usage = self._read_usage(events[0])

    def _read_usage(self, event: bytes) -> Usage:
        if self._model not in event:
            raise _break_answer('the last part came from another version')
        _, _, raw = event.partition(_DATA_MARK)
        try:
            usage = orjson.loads(raw)['usage']
            return Usage(
                prompt_tokens=int(usage['prompt_tokens']),
                completion_tokens=int(usage['completion_tokens']),
                parts=int(usage['parts']),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise _break_answer('the usage was unreadable') from error

    def _check_end(self, rest: bytes) -> None:
        usage = self.progress.usage
        if rest or usage is None or _DONE_MARK not in self.progress.ending:
            raise _break_answer('the answer was cut off')
        if self.progress.last_part + 1 != usage.parts:
            raise _break_answer('the count of parts was wrong')


def _build_timeouts(call: EngineCall) -> dict[str, float]:
    return {
        'connect': _CONNECT_TIMEOUT_S,
        'pool': _POOL_TIMEOUT_S,
        'read': call.progress_timeout_s,
        'write': call.progress_timeout_s,
    }


def _check_head(answer: httpcore.Response, call: EngineCall) -> None:
    if answer.status in _STATUS_BUSY:
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            'the endpoint is busy',
            run=RunState.NOT_RUN,
        )
    if answer.status != _STATUS_OK:
        raise EndpointError(
            ErrorKind.ENDPOINT_FAILED,
            f'the endpoint answered with status {answer.status}',
        )
    if _find_header(answer, b'x-request-id') != call.request_id.encode():
        raise _break_answer('the answer belongs to another request')
    if _find_header(answer, b'x-model-version') != call.reference.encode():
        raise _break_answer('another version answered')


def _find_header(answer: httpcore.Response, name: bytes) -> bytes:
    for found, text in answer.headers:
        if found.lower() == name:
            return text
    return b''


def _read_load(answer: httpcore.Response) -> int:
    text = _find_header(answer, b'x-load')
    return int(text) if text.isdigit() else -1


def _explain_silence(error: Exception) -> EndpointError:
    never_sent = isinstance(
        error,
        httpcore.ConnectError | httpcore.ConnectTimeout,
    )
    return EndpointError(
        ErrorKind.ENDPOINT_FAILED,
        f'the endpoint did not answer ({type(error).__name__})',
        run=RunState.NOT_RUN if never_sent else RunState.UNKNOWN,
    )


def _break_answer(message: str) -> EndpointError:
    return EndpointError(ErrorKind.ANSWER_BROKEN, message)
