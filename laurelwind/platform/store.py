"""The platform's store of logs, as keyed records and as a group."""

import base64
import struct
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final
from urllib.parse import urlencode

import anyio
import httpcore
import orjson
from attrs import frozen

from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.keyed import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    KeyedStore,
    MemberGroup,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.transport.network import NO_ANSWER

_TOPICS: Final[Mapping[Topic, str]] = {
    Topic.OPERATORS: 'keyed.op',
    Topic.ENDPOINTS: 'keyed.servers',
    Topic.STATUS: 'keyed.status',
}
# Topics of the members' group.  A member is listed once it holds a partition;
# with the platform's 24 partitions a topic, this many serve 384 members.
_MEMBER_TOPIC_COUNT: Final = 16
_MEMBER_TOPICS: Final = tuple(
    f'laurelwind.members.{part}' for part in range(_MEMBER_TOPIC_COUNT)
)
# A member's name holds its addresses for callers and peers, and its zone.
_SEPARATOR: Final = '|'
_MEMBER_WORDS: Final = 3
_GROUP: Final = 'laurelwind'
_OK: Final = 200
_GONE: Final = 410
_CONDITION_FAILED: Final = 412
# The store answers in some milliseconds; one that takes this long is asked
# again on a new connection.
CALL_TIMEOUT_S: Final = 1.0
# Seconds after its last call at which a member is taken for lost.
MEMBER_LIFE_MS: Final = 2500
_HEAD: Final = struct.Struct('>QQ')
_LENGTH: Final = struct.Struct('>I')
_CONNECTIONS: Final = 8


@frozen(kw_only=True)
class _Answer:
    status: int
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Read the body as a JSON object."""
        try:
            found = orjson.loads(self.body)
        except orjson.JSONDecodeError:
            found = None
        if not isinstance(found, dict):
            raise _fail('the store sent no JSON object')
        return found


class StoreClient:
    """Calls the store; one for each process.

    :param address: ``host:port`` of the store.
    :param count: counts a call's path and what came of it, or ``None``.
    """

    def __init__(
        self,
        *,
        address: str,
        count: Callable[[str, str], None] | None = None,
    ) -> None:
        self._count = count
        self._base = f'http://{address}'
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONNECTIONS, keepalive_expiry=None
        )

    async def call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, object] | None = None,
        body: bytes = b'',
        wait_s: float = 0,
        allowed: Sequence[int] = (),
    ) -> _Answer:
        """Call the store once.

        :param method: HTTP method.
        :param path: path of the call.
        :param query: the query's parameters.
        :param body: the body.
        :param wait_s: how long the store may wait before it answers.
        :param allowed: statuses besides success that are an answer.
        :raises PlatformError: when there is no such answer.
        """
        target = f'{self._base}{path}'
        if query:
            target = f'{target}?{urlencode(query)}'
        try:
            with anyio.fail_after(CALL_TIMEOUT_S + wait_s):
                found = await self._pool.request(
                    method,
                    target,
                    content=body,
                    headers={'Content-Length': str(len(body))} if body else {},
                )
        except NO_ANSWER as error:
            self._note(path, type(error).__name__)
            raise _fail(f'no answer ({type(error).__name__})') from error
        self._note(path, str(found.status))
        if found.status != _OK and found.status not in allowed:
            raise _fail(f'{path} was answered {found.status}')
        return _Answer(status=found.status, body=found.content)

    def _note(self, path: str, outcome: str) -> None:
        if self._count is not None:
            self._count(path.removeprefix('/'), outcome)

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()


class LogStore(KeyedStore):
    """Keyed topics of the platform's log.

    :param client: calls the store.
    """

    def __init__(self, *, client: StoreClient) -> None:
        self._client = client

    async def read_newest(self, topic: Topic) -> Batch:
        """Read the newest record of each key; see :class:`KeyedStore`."""
        query: dict[str, object] = {'topic': _TOPICS[topic], 'part': 0}
        records: list[KeyedRecord] = []
        next_offset: int | None = None
        while True:
            answer = await self._client.call('GET', '/log-newest', query=query)
            page = answer.read_json()
            rows = page.get('items', [])
            try:
                records.extend(_read_row(row) for row in rows)
                page_end = int(page['end_offset'])
            except (KeyError, TypeError, ValueError) as error:
                raise _fail('the store sent a page of another form') from error
            if next_offset is None:
                next_offset = page_end
            if not page.get('has_more') or not rows:
                records.sort(key=lambda record: record.offset)
                return Batch(records=records, next_offset=next_offset)
            query['after'] = rows[-1]['key']

    async def read_after(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float = 0,
        is_strict: bool = False,
    ) -> Batch:
        """Read records from an offset on; see :class:`KeyedStore`."""
        query: dict[str, object] = {
            'topic': _TOPICS[topic],
            'part': 0,
            'from': offset,
        }
        if wait_s:
            query['wait_ms'] = round(wait_s * 1000)
        answer = await self._client.call(
            'GET', '/log-read', query=query, wait_s=wait_s, allowed=(_GONE,)
        )
        if answer.status == _GONE:
            raise HistoryLostError
        records = tuple(_split_records(answer.body, offset))
        return Batch(records=records, next_offset=offset + len(records))

    async def write(
        self,
        topic: Topic,
        key: str,
        body: bytes,
        *,
        expected_end: int | None = None,
    ) -> bool:
        """Write a record; see :class:`KeyedStore`."""
        query: dict[str, object] = {'topic': _TOPICS[topic], 'part': 0}
        if expected_end is not None:
            query['at'] = expected_end
        name = key.encode()
        record = bytes([len(name)]) + name + body
        answer = await self._client.call(
            'POST',
            '/log-append',
            query=query,
            body=_LENGTH.pack(len(record)) + record,
            allowed=(_CONDITION_FAILED,),
        )
        return answer.status == _OK


class LogGroup(MemberGroup):
    """A group of the platform's log; its partitions carry nothing.

    A daemon is known by the address that callers connect to.

    :param client: calls the store.
    :param own: this daemon.
    """

    def __init__(self, *, client: StoreClient, own: ListedInstance) -> None:
        self._client = client
        self._name = _SEPARATOR.join(
            (own.caller_address, own.peer_address, own.zone)
        )
        self._generation = 0

    async def join(self) -> int:
        """Join or stay in the group; see :class:`MemberGroup`."""
        answer = await self._call(
            '/log-join',
            topics=_MEMBER_TOPICS,
            ttl_ms=MEMBER_LIFE_MS,
            generation=self._generation,
        )
        found = answer.read_json().get('generation')
        if not isinstance(found, int):
            raise _fail('the store sent no generation')
        self._generation = found
        return found

    async def list_members(self) -> Sequence[ListedInstance]:
        """List the members; see :class:`MemberGroup`."""
        answer = await self._client.call(
            'GET', '/log-owners', query={'group': _GROUP}
        )
        return _read_members(answer.read_json())

    async def leave(self) -> None:
        """Leave the group; see :class:`MemberGroup`."""
        await self._call('/log-leave')

    async def _call(self, path: str, **fields: object) -> _Answer:
        body = {'group': _GROUP, 'member': self._name, **fields}
        return await self._client.call('POST', path, body=orjson.dumps(body))


def _read_members(found: Mapping[str, Any]) -> Sequence[ListedInstance]:
    names = {str(row[2]) for row in found.get('parts') or () if row[2]}
    members = []
    for name in sorted(names):
        words = name.split(_SEPARATOR)
        if len(words) == _MEMBER_WORDS:
            members.append(
                ListedInstance(
                    name=words[0],
                    caller_address=words[0],
                    peer_address=words[1],
                    zone=words[2],
                )
            )
    return members


def _read_row(row: Mapping[str, Any]) -> KeyedRecord:
    return KeyedRecord(
        key=row['key'],
        body=base64.b64decode(row['value']),
        offset=int(row['offset']),
    )


def _split_records(body: bytes, offset: int) -> Sequence[KeyedRecord]:
    place = _HEAD.size
    records: list[KeyedRecord] = []
    while place + _LENGTH.size <= len(body):
        length = _LENGTH.unpack_from(body, place)[0]
        place += _LENGTH.size
        text = body[place : place + length]
        place += length
        records.append(_read_record(text, offset + len(records)))
    return records


def _read_record(text: bytes, offset: int) -> KeyedRecord:
    size = text[0] if text else 0
    key = text[1 : size + 1].decode('utf-8', 'replace')
    return KeyedRecord(key=key, body=text[size + 1 :] or None, offset=offset)


def _fail(message: str) -> PlatformError:
    return PlatformError(ErrorKind.LOG_UNAVAILABLE, message)
