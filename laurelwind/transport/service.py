"""The client of plain services."""

from collections.abc import Mapping
from typing import Final

import anyio
import httpcore
from anyio.abc import TaskGroup

from laurelwind.errors import EndpointError, ErrorKind, RunState
from laurelwind.protocol.endpoints import (
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
)
from laurelwind.transport.network import HTTP_FAILURES
from laurelwind.transport.pools import EndpointPools

_CONNECT_TIMEOUT_S: Final = 0.5
_PASSED_BACK: Final = frozenset(('content-type', 'location', 'etag'))
_NEVER_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_MAYBE_SENT: Final = (*HTTP_FAILURES, TimeoutError)


class HttpServiceClient(ServiceClient):
    """Plain services behind HTTP.

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

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Call a service once; see :class:`ServiceClient`."""
        try:
            answer = await self._send(call)
        except _NEVER_SENT as error:
            raise _explain(error, RunState.NOT_RUN) from error
        except _MAYBE_SENT as error:
            self._pools.retire(call.address)
            raise _explain(error, RunState.UNKNOWN) from error
        return _read_answer(answer, call)

    async def _send(self, call: ServiceCall) -> httpcore.Response:
        with self._pools.borrow(call.address) as pool:
            with anyio.fail_after(call.timeout_s):
                return await pool.request(
                    call.method,
                    f'http://{call.address}{call.path}',
                    headers=self._build_headers(call),
                    content=call.body,
                    extensions={'timeout': _build_timeouts(call)},
                )

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


def _read_answer(
    answer: httpcore.Response,
    call: ServiceCall,
) -> ServiceAnswer:
    headers = {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in answer.headers
    }
    if headers.get('x-request-id') != call.request_id:
        raise EndpointError(
            ErrorKind.ANSWER_BROKEN,
            'the answer belongs to another request',
            run=RunState.UNKNOWN,
        )
    passed_back = {
        name: text for name, text in headers.items() if name in _PASSED_BACK
    }
    return ServiceAnswer(
        status=answer.status,
        headers=passed_back,
        body=answer.content,
    )


def _explain(error: Exception, run: RunState) -> EndpointError:
    return EndpointError(
        ErrorKind.ENDPOINT_FAILED,
        f'the service did not answer ({type(error).__name__})',
        run=run,
    )
