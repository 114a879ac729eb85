"""Passes requests on to endpoints over kept connections."""

import functools
from collections import deque
from typing import Final

from attrs import frozen

from laurelwind.protocol.exchanges import (
    AnswerHead,
    Dispatch,
    EndpointExchange,
    EndpointGateway,
    HeaderCodec,
    RelayRequest,
)
from laurelwind.state.load import read_clock
from laurelwind.transport.connection import Connection

# Longest time that a connection is kept unused where the endpoint does not
# say; shorter than the usual idle timeouts of HTTP servers.
IDLE_LIMIT_S: Final = 8.0
# A connection that was used so shortly ago is still open; a request that must
# not be repeated goes over no other, and over a new one instead.
SURE_S: Final = 0.5
_MAX_IDLE: Final = 32


@frozen(kw_only=True)
class _Idle:
    connection: Connection
    since: float

    @property
    def age_s(self) -> float:
        """Seconds for which it was not used."""
        return read_clock() - self.since

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on it."""
        return not self.is_expired and self.connection.is_quiet()

    @property
    def is_expired(self) -> bool:
        limit = self.connection.idle_limit_s
        allowed = IDLE_LIMIT_S if limit is None else min(limit, IDLE_LIMIT_S)
        return self.age_s > allowed


class HttpGateway(EndpointGateway):
    """Endpoints behind HTTP/1.1.

    :param codec: writes and reads headers.
    """

    def __init__(self, *, codec: HeaderCodec) -> None:
        self._codec = codec
        self._idle: dict[str, deque[_Idle]] = {}

    async def send(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> EndpointExchange:
        """Send a request whole; see :class:`EndpointGateway`."""
        head = self._write_head(request, dispatch)
        connection = await self._take(dispatch)
        try:
            await connection.send(head, request.body, method=request.method)
        except BaseException:
            await connection.close()
            raise
        return _HttpExchange(
            connection=connection,
            codec=self._codec,
            request_id=request.request_id,
            keep=functools.partial(self._keep, dispatch.address),
        )

    async def retire(self, address: str) -> None:
        """Close the unused connections to an endpoint.

        :param address: ``host:port`` of the endpoint.
        """
        for idle in self._idle.pop(address, ()):
            await idle.connection.close()

    async def close(self) -> None:
        """Close every unused connection."""
        for address in tuple(self._idle):
            await self.retire(address)

    async def _take(self, dispatch: Dispatch) -> Connection:
        kept = self._idle.get(dispatch.address)
        while kept:
            idle = kept.pop()
            is_fresh = dispatch.is_repeatable or idle.age_s < SURE_S
            if is_fresh and idle.is_usable:
                return idle.connection
            await idle.connection.close()
        return await Connection.open(dispatch.address)

    async def _keep(self, address: str, connection: Connection) -> None:
        kept = self._idle.setdefault(address, deque())
        kept.append(_Idle(connection=connection, since=read_clock()))
        while kept and (len(kept) > _MAX_IDLE or kept[0].is_expired):
            await kept.popleft().connection.close()

    def _write_head(self, request: RelayRequest, dispatch: Dispatch) -> bytes:
        lines = [b'%s %s HTTP/1.1' % (request.method.encode(), request.target)]
        lines.extend(
            b'%s: %s' % pair
            for pair in self._codec.write_request(request, dispatch)
        )
        if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
            lines.append(b'content-length: %d' % len(request.body))
        return b'\r\n'.join((*lines, b'', b''))


class _HttpExchange(EndpointExchange):
    """One request and its answer on one connection."""

    def __init__(
        self,
        *,
        connection: Connection,
        codec: HeaderCodec,
        request_id: str,
        keep: functools.partial,  # type: ignore[type-arg]
    ) -> None:
        self._connection = connection
        self._codec = codec
        self._request_id = request_id
        self._keep = keep

    async def read_head(self) -> AnswerHead:
        """Wait for the head; see :class:`EndpointExchange`."""
        while True:
            status, headers = await self._connection.read_head()
            head = self._codec.read_answer(status, headers)
            if self._belongs_here(head):
                return head
            await self._connection.skip_answer()

    async def read_chunk(self) -> bytes:
        """Wait for more of the body; see :class:`EndpointExchange`."""
        return await self._connection.read_chunk()

    async def close(self) -> None:
        """Keep a clean connection; see :class:`EndpointExchange`."""
        if self._connection.is_reusable:
            await self._keep(self._connection)
        else:
            await self._connection.close()

    def _belongs_here(self, head: AnswerHead) -> bool:
        if head.request_id:
            return head.request_id == self._request_id
        return not (head.is_success and self._request_id)
