"""HTTP client of plain services."""

from collections.abc import Mapping
from typing import Final

import anyio
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
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
)
from laurelwind.transport.network import HTTP_FAILURES
from laurelwind.transport.pools import EndpointPools

_CONNECT_TIMEOUT_S: Final = 0.5
# Longest answer, in bytes; it is buffered as a whole and recorded.
MAX_ANSWER_BYTES: Final = 4_194_304
_FORWARDED_HEADERS: Final = frozenset(('content-type', 'location', 'etag'))
_NOT_SENT_FAILURES: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_POSSIBLY_SENT_FAILURES: Final = (*HTTP_FAILURES, TimeoutError)


class HttpServiceClient(ServiceClient):
    """Client of plain services that are called over HTTP.

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

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Call a service once; see :class:`ServiceClient`."""
        try:
            answer, body = await self._send(call)
        except _NOT_SENT_FAILURES as error:
            raise _build_call_error(error, RunState.NOT_RUN) from error
        except _POSSIBLY_SENT_FAILURES as error:
            self._pools.retire(call.address)
            raise _build_call_error(error, RunState.UNKNOWN) from error
        headers = _decode_headers(answer)
        if headers.get('x-request-id') != call.request_id:
            # The answer to this call would be read as that to the next one.
            self._pools.retire(call.address)
            raise EndpointError(
                ErrorKind.ANSWER_BROKEN,
                'the answer belongs to another request',
                run=RunState.UNKNOWN,
            )
        return ServiceAnswer(
            status=answer.status,
            headers={
                name: text
                for name, text in headers.items()
                if name in _FORWARDED_HEADERS
            },
            body=body,
        )

    async def _send(self, call: ServiceCall) -> tuple[httpcore.Response, bytes]:
        with self._pools.borrow(call.address) as pool:
            with anyio.fail_after(call.timeout_s):
                async with pool.stream(
                    call.method,
                    f'http://{call.address}{call.path}',
                    headers=self._build_headers(call),
                    content=call.body,
                    extensions={'timeout': _build_timeouts(call)},
                ) as answer:
                    return answer, await _read_body(answer)

    async def close(self) -> None:
        """Close every connection."""
        await self._pools.close()

    def _build_headers(self, call: ServiceCall) -> list[tuple[bytes, bytes]]:
        headers = [
            (b'Host', call.address.encode()),
            (b'X-Request-Id', call.request_id.encode()),
            (b'Content-Length', str(len(call.body)).encode()),
            *call.headers,
        ]
        credential = self._credentials.get(call.credential, '')
        if credential:
            token = f'Bearer {credential}'
            headers.append((b'Authorization', token.encode()))
        if call.traceparent:
            headers.append((b'traceparent', call.traceparent.encode()))
        return headers


def _build_timeouts(call: ServiceCall) -> dict[str, float]:
    return {
        'connect': _CONNECT_TIMEOUT_S,
        'pool': call.timeout_s,
        'read': call.timeout_s,
        'write': call.timeout_s,
    }


async def _read_body(answer: httpcore.Response) -> bytes:
    body = bytearray()
    async for chunk in answer.aiter_stream():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise EndpointError(
                ErrorKind.ANSWER_BROKEN,
                f'the answer is longer than {MAX_ANSWER_BYTES} bytes',
                run=RunState.UNKNOWN,
            )
    return bytes(body)


def _decode_headers(answer: httpcore.Response) -> Mapping[str, str]:
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in answer.headers
    }


def _build_call_error(error: Exception, run: RunState) -> EndpointError:
    kind = EndpointError
    if isinstance(error, httpcore.NetworkError | httpcore.ProtocolError):
        kind = EndpointBrokenError
    elif run is RunState.UNKNOWN:
        kind = EndpointSilentError
    return kind(
        ErrorKind.ENDPOINT_FAILED,
        f'no answer from the service ({type(error).__name__})',
        run=run,
    )
