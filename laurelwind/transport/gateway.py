"""Forwards requests to endpoints over persistent HTTP connections."""

import functools
from collections import deque
from typing import Final

from attrs import frozen

from laurelwind.errors import EndpointPausedError, ErrorKind, RunState
from laurelwind.protocol.exchanges import (
    AnswerHead,
    Dispatch,
    EndpointExchange,
    EndpointGateway,
    HeaderCodec,
    RelayRequest,
)
from laurelwind.state.load import read_monotonic_clock
from laurelwind.transport.connection import Connection

# Longest time that a connection stays idle before it is closed, also where the
# endpoint announces no time-out; shorter than typical idle time-outs of HTTP
# servers.
IDLE_TIMEOUT_S: Final = 8.0
# A connection used within this time is taken to be still open. A request that
# must not be repeated is sent only on such a connection or on a new one.
RECENT_USE_S: Final = 0.5
_MAX_IDLE_CONNECTIONS: Final = 32


@frozen(kw_only=True)
class _IdleConnection:
    """A connection that waits for reuse.

    :ivar connection: the open connection.
    :ivar since: monotonic seconds at which it became idle.
    """

    connection: Connection
    since: float

    @property
    def age_s(self) -> float:
        """Seconds since the connection was last used."""
        return read_monotonic_clock() - self.since

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on the connection."""
        return not self.is_expired and self.connection.has_no_input()

    @property
    def is_expired(self) -> bool:
        idle_timeout_s = self.connection.idle_timeout_s
        max_idle_s = (
            IDLE_TIMEOUT_S
            if idle_timeout_s is None
            else min(idle_timeout_s, IDLE_TIMEOUT_S)
        )
        return self.age_s > max_idle_s


class HttpGateway(EndpointGateway):
    """Forwards requests to endpoints over HTTP/1.1.

    :param codec: encodes request headers and decodes answer heads.
    """

    def __init__(self, *, codec: HeaderCodec) -> None:
        self._codec = codec
        self._idle: dict[str, deque[_IdleConnection]] = {}

    async def send(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> EndpointExchange:
        """Send a complete request; see :class:`EndpointGateway`."""
        head = self._write_head(request, dispatch)
        connection = await self._acquire_connection(dispatch)
        if not dispatch.accepts_requests():
            await self._release_connection(dispatch.address, connection)
            raise EndpointPausedError(
                ErrorKind.ENDPOINT_FAILED,
                'the endpoint stopped accepting requests before this one was '
                'sent',
                run=RunState.NOT_RUN,
            )
        try:
            await connection.send(
                head,
                request.body,
                method=request.method,
                deadline_s=dispatch.deadline_s,
            )
        except BaseException:
            await connection.close()
            raise
        return _HttpExchange(
            connection=connection,
            codec=self._codec,
            request_id=request.request_id,
            release=functools.partial(
                self._release_connection, dispatch.address
            ),
        )

    async def retire(self, address: str) -> None:
        """Close the idle connections to an endpoint.

        :param address: ``host:port`` of the endpoint.
        """
        for idle in self._idle.pop(address, ()):
            await idle.connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            await self.retire(address)

    async def _acquire_connection(self, dispatch: Dispatch) -> Connection:
        idle_connections = self._idle.get(dispatch.address)
        while idle_connections:
            idle = idle_connections.pop()
            is_safe = dispatch.is_repeatable or idle.age_s < RECENT_USE_S
            if is_safe and idle.is_usable:
                return idle.connection
            await idle.connection.close()
        return await Connection.open(dispatch.address)

    async def _release_connection(
        self, address: str, connection: Connection
    ) -> None:
        idle_connections = self._idle.setdefault(address, deque())
        idle_connections.append(
            _IdleConnection(connection=connection, since=read_monotonic_clock())
        )
        while idle_connections and (
            len(idle_connections) > _MAX_IDLE_CONNECTIONS
            or idle_connections[0].is_expired
        ):
            await idle_connections.popleft().connection.close()

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
        connection: Connection,
        codec: HeaderCodec,
        request_id: str,
        release: functools.partial,  # type: ignore[type-arg]
    ) -> None:
        self._connection = connection
        self._codec = codec
        self._request_id = request_id
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
            await self._release(self._connection)
        else:
            await self._connection.close()

    def _matches_request(self, head: AnswerHead) -> bool:
        if head.request_id:
            return head.request_id == self._request_id
        return not (head.is_success and self._request_id)
