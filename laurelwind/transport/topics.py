"""Topics that daemons read from one another, over HTTP."""

from typing import Final
from urllib.parse import parse_qs, urlencode

import anyio
import httpcore
from starlette.types import Receive, Scope, Send

from laurelwind.coordination.copies import TopicCopies
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.copies import decode_batch, encode_batch
from laurelwind.protocol.keyed import (
    Batch,
    CopyTooOldError,
    HistoryLostError,
    PeerTopics,
    Topic,
)
from laurelwind.transport.network import NO_ANSWER

# A daemon of the same zone answers within milliseconds; one that takes this
# long beyond the wait it was asked for is busy, frozen or gone.
ANSWER_TIMEOUT_S: Final = 0.4
_PREFIX: Final = '/topics/'
_OK: Final = 200
_BAD_REQUEST: Final = 400
_GONE: Final = 410
_UNAVAILABLE: Final = 503
_MS_PER_S: Final = 1000
_MOST_WAIT_S: Final = 5.0
_CONNECTIONS: Final = 6


class TopicApplication:
    """Serves ``GET /topics/{topic}`` with ``from`` and ``wait_ms``.

    :param copies: what this daemon holds.
    """

    def __init__(self, *, copies: TopicCopies) -> None:
        self._copies = copies

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        try:
            topic, offset, wait_s = _read_question(scope)
        except ValueError:
            await _answer(send, _BAD_REQUEST, b'')
            return
        try:
            batch = await self._copies[topic].read_after(offset, wait_s=wait_s)
        except HistoryLostError:
            await _answer(send, _GONE, b'')
        except CopyTooOldError:
            await _answer(send, _UNAVAILABLE, b'')
        else:
            await _answer(send, _OK, encode_batch(batch))


class HttpPeerTopics(PeerTopics):
    """Asks other daemons for their topics."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONNECTIONS, keepalive_expiry=None
        )

    async def read_after(
        self, peer: str, topic: Topic, offset: int, *, wait_s: float
    ) -> Batch:
        """Read records from an offset on; see :class:`PeerTopics`."""
        query = urlencode(
            {'from': offset, 'wait_ms': round(wait_s * _MS_PER_S)}
        )
        target = f'http://{peer}{_PREFIX}{topic.value}?{query}'
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S + wait_s):
                found = await self._pool.request('GET', target)
        except NO_ANSWER as error:
            reason = f'no answer ({type(error).__name__})'
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, reason) from error
        if found.status == _GONE:
            raise HistoryLostError
        if found.status == _UNAVAILABLE:
            raise CopyTooOldError(
                ErrorKind.LOG_UNAVAILABLE, 'its copy is too old'
            )
        if found.status != _OK:
            reason = f'it answered {found.status}'
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, reason)
        return decode_batch(found.content)

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()


def _read_question(scope: Scope) -> tuple[Topic, int, float]:
    query = parse_qs(scope.get('query_string', b'').decode('latin-1'))
    topic = Topic(scope['path'].removeprefix(_PREFIX))
    offset = int(query.get('from', [''])[0])
    wait_s = int(query.get('wait_ms', ['0'])[0]) / _MS_PER_S
    return topic, offset, min(max(wait_s, 0), _MOST_WAIT_S)


async def _answer(send: Send, status: int, body: bytes) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [(b'content-length', str(len(body)).encode())],
        }
    )
    await send({'type': 'http.response.body', 'body': body})
