"""HTTP server and client for reading topics from other daemons."""

from collections.abc import Mapping, Sequence
from typing import Final
from urllib.parse import parse_qs, urlencode

import anyio
import httpcore
from attrs import frozen
from starlette.types import Receive, Scope, Send

from laurelwind.coordination.topics.copies import TopicCopies
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.batches import decode_batch, encode_batch
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    PeerTopics,
    StaleCopyError,
    Topic,
)
from laurelwind.transport.network import CALL_FAILURES

# A daemon in the same availability zone answers within milliseconds; one that
# takes this long beyond the requested wait is overloaded, frozen or down.
ANSWER_TIMEOUT_S: Final = 0.4
_PREFIX: Final = '/topics/'
_WAIT: Final = 'wait_ms'
_REFRESH_WAIT: Final = 'refresh_ms'
_OK: Final = 200
_BAD_REQUEST: Final = 400
_GONE: Final = 410
_UNAVAILABLE: Final = 503
_MS_PER_S: Final = 1000
_MAX_WAIT_S: Final = 5.0
# Each of four topics may be read from a source, and from another one while the
# first does not answer.
_MAX_CONNECTIONS: Final = 8


class TopicApplication:
    """Serves ``GET /topics/{topic}?from=OFFSET&wait_ms=N&refresh_ms=N``.

    Without ``from``, the answer has the newest record of each key.  The waits
    are for a first record, and for a copy that is too old to be refreshed.

    :param copies: topic copies of the local daemon.
    """

    def __init__(self, *, copies: TopicCopies) -> None:
        self._copies = copies

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        try:
            read = _parse_request(scope)
        except ValueError:
            await _send_answer(send, _BAD_REQUEST, b'')
            return
        try:
            batch = await self._copies[read.topic].read_after(
                read.offset,
                wait_s=read.wait_s,
                refresh_wait_s=read.refresh_wait_s,
            )
        except HistoryLostError:
            await _send_answer(send, _GONE, b'')
        except StaleCopyError:
            await _send_answer(send, _UNAVAILABLE, b'')
        else:
            await _send_answer(send, _OK, encode_batch(batch))


class HttpPeerTopics(PeerTopics):
    """Reads the topic copies of other daemons."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, keepalive_expiry=None
        )

    async def read_after(
        self,
        peer: str,
        topic: Topic,
        offset: int | None,
        *,
        wait_s: float,
        refresh_wait_s: float = 0,
    ) -> Batch:
        """Read records from an offset on; see :class:`PeerTopics`."""
        fields = {
            _WAIT: round(wait_s * _MS_PER_S),
            _REFRESH_WAIT: round(refresh_wait_s * _MS_PER_S),
        }
        if offset is not None:
            fields['from'] = offset
        query = urlencode(fields)
        target = f'http://{peer}{_PREFIX}{topic.value}?{query}'
        try:
            with anyio.fail_after(
                ANSWER_TIMEOUT_S + max(wait_s, refresh_wait_s)
            ):
                answer = await self._pool.request('GET', target)
        except CALL_FAILURES as error:
            reason = f'no answer from the peer ({type(error).__name__})'
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, reason) from error
        if answer.status == _GONE:
            raise HistoryLostError
        if answer.status == _UNAVAILABLE:
            raise StaleCopyError(
                ErrorKind.LOG_UNAVAILABLE, "the peer's copy is too old"
            )
        if answer.status != _OK:
            reason = f'the peer answered with status {answer.status}'
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, reason)
        return decode_batch(answer.content)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


@frozen(kw_only=True)
class _TopicRead:
    topic: Topic
    offset: int | None
    wait_s: float
    refresh_wait_s: float


def _parse_request(scope: Scope) -> _TopicRead:
    query = parse_qs(scope.get('query_string', b'').decode('latin-1'))
    return _TopicRead(
        topic=Topic(scope['path'].removeprefix(_PREFIX)),
        offset=int(query['from'][0]) if 'from' in query else None,
        wait_s=_parse_wait(query, _WAIT),
        refresh_wait_s=_parse_wait(query, _REFRESH_WAIT),
    )


def _parse_wait(query: Mapping[str, Sequence[str]], name: str) -> float:
    wait_s = int(query.get(name, ['0'])[0]) / _MS_PER_S
    return min(max(wait_s, 0), _MAX_WAIT_S)


async def _send_answer(send: Send, status: int, body: bytes) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [(b'content-length', str(len(body)).encode())],
        }
    )
    await send({'type': 'http.response.body', 'body': body})
