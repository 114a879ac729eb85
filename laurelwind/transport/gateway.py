"""Forwards requests to endpoints over persistent HTTP connections."""

import functools
from collections.abc import Awaitable, Callable
from typing import Final

from anyio.abc import TaskGroup

from laurelwind.errors import EndpointPausedError, ErrorKind, RunState
from laurelwind.protocol.exchanges import (
    AnswerHead,
    Dispatch,
    EndpointExchange,
    EndpointGateway,
    HeaderCodec,
    RelayRequest,
)
from laurelwind.transport.endpoint_connections import (
    EndpointConnections,
    end_nothing,
)
from laurelwind.transport.idle_connections import (
    IdleConnections,
    KeptConnection,
)
from laurelwind.transport.limits.machine import MAX_CONNECTIONS

# A connection used within this time is taken to be still open. A request that
# must not be repeated is sent only on such a connection or on a new one.
RECENT_USE_S: Final = 0.5


class HttpGateway(EndpointGateway):
    """Forwards requests to endpoints over HTTP/1.1.

    :param codec: encodes request headers and decodes answer heads.
    :param limit: most connections that are open at once.
    :param end_unread: ends an answer that its caller has not read for the given
        seconds; returns whether there was one.
    :ivar idle: the idle connections.
    :ivar connections: opens connections within the limit.
    """

    def __init__(
        self,
        *,
        codec: HeaderCodec,
        limit: int = MAX_CONNECTIONS,
        end_unread: Callable[[float], bool] = end_nothing,
    ) -> None:
        self._codec = codec
        self.idle = IdleConnections()
        self.connections = EndpointConnections(
            limit=limit, idle=self.idle, end_unread=end_unread
        )

    def start(self, group: TaskGroup) -> None:
        """Start to close idle connections that are of no use any more.

        :param group: task group of the daemon.
        """
        self.idle.start(group)

    async def send(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> EndpointExchange:
        """Send a complete request; see :class:`EndpointGateway`."""
        head = self._write_head(request, dispatch)
        kept = await self._acquire_connection(request, dispatch)
        if not dispatch.accepts_requests():
            await self._release(dispatch.address, kept)
            raise EndpointPausedError(
                ErrorKind.ENDPOINT_FAILED,
                'the endpoint stopped accepting requests before this one was '
                'sent',
                run=RunState.NOT_RUN,
            )
        kept.request_ids.append(request.request_id)
        try:
            await kept.connection.send(
                head,
                request.body,
                method=request.method,
                deadline_s=dispatch.deadline_s,
            )
        except BaseException:
            await kept.connection.close()
            raise
        return _HttpExchange(
            kept=kept,
            codec=self._codec,
            release=functools.partial(self._release, dispatch.address, kept),
        )

    async def close(self) -> None:
        """Close all idle connections."""
        await self.idle.close()

    async def _acquire_connection(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> KeptConnection:
        # Nothing tells the answer to a request without an id from an earlier
        # one.
        while request.request_id:
            idle = self.idle.take(dispatch.address)
            if idle is None:
                break
            is_safe = dispatch.is_repeatable or idle.age_s < RECENT_USE_S
            is_new = request.request_id not in idle.request_ids
            if is_safe and is_new and idle.is_usable:
                return idle
            await idle.connection.close()
        return KeptConnection(
            connection=await self.connections.open(dispatch.address)
        )

    async def _release(self, address: str, kept: KeptConnection) -> None:
        if self.connections.is_awaited:
            await kept.connection.close()
        else:
            await self.idle.add(address, kept)

    def _write_head(self, request: RelayRequest, dispatch: Dispatch) -> bytes:
        lines = [b'%s %s HTTP/1.1' % (request.method.encode(), request.target)]
        lines.extend(
            b'%s: %s' % pair
            for pair in self._codec.encode_request_headers(request, dispatch)
        )
        if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
            lines.append(b'content-length: %d' % len(request.body))
        return b'\r\n'.join((*lines, b'', b''))


class _HttpExchange(EndpointExchange):
    """A request and its answer on one connection."""

    def __init__(
        self,
        *,
        kept: KeptConnection,
        codec: HeaderCodec,
        release: Callable[[], Awaitable[None]],
    ) -> None:
        self._connection = kept.connection
        self._codec = codec
        self._request_id = kept.request_ids[-1]
        self._is_reused = kept.is_reused
        self._release = release

    async def read_head(self) -> AnswerHead:
        """Wait for the head; see :class:`EndpointExchange`."""
        while True:
            status, headers = await self._connection.read_head()
            head = self._codec.decode_answer_head(status, headers)
            if self._matches_request(head):
                return head
            await self._connection.discard_answer()

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; see :class:`EndpointExchange`."""
        return await self._connection.read_chunk()

    async def close(self) -> None:
        """Release a reusable connection; see :class:`EndpointExchange`."""
        if self._connection.is_reusable:
            await self._release()
        else:
            await self._connection.close()

    def _matches_request(self, head: AnswerHead) -> bool:
        if head.request_id:
            return head.request_id == self._request_id
        # Behind another request it may be the answer to that one, written once
        # more.
        if self._is_reused:
            return False
        return not (head.is_success and self._request_id)
