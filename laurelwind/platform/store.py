"""Client of the platform's log store: keyed topics and group membership."""

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
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    KeyedStore,
    MemberGroup,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.transport.network import CALL_FAILURES

_TOPIC_NAMES: Final[Mapping[Topic, str]] = {
    Topic.OPERATORS: 'keyed.op',
    Topic.ENDPOINTS: 'keyed.servers',
    Topic.STATUS: 'keyed.status',
}
# Topics of the member group.  A member is listed once it owns a partition;
# with the platform's 24 partitions per topic, 16 topics serve 384 members.
_MEMBER_TOPIC_COUNT: Final = 16
_MEMBER_TOPICS: Final = tuple(
    f'laurelwind.members.{index}' for index in range(_MEMBER_TOPIC_COUNT)
)
# A member's name consists of its caller address, peer address and zone.
_SEPARATOR: Final = '|'
_MEMBER_FIELD_COUNT: Final = 3
_GROUP: Final = 'laurelwind'
_OK: Final = 200
_GONE: Final = 410
_CONDITION_FAILED: Final = 412
# The store answers within milliseconds; after this time a call fails, and a
# retry uses a new connection.
CALL_TIMEOUT_S: Final = 1.0
# Milliseconds after its last call at which a member counts as lost.
MEMBER_TTL_MS: Final = 3000
_READ_HEADER: Final = struct.Struct('>QQ')
_RECORD_LENGTH: Final = struct.Struct('>I')
_MAX_CONNECTIONS: Final = 8


@frozen(kw_only=True)
class _Answer:
    status: int
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Read the body as a JSON object."""
        try:
            decoded = orjson.loads(self.body)
        except orjson.JSONDecodeError:
            decoded = None
        if not isinstance(decoded, dict):
            raise _build_error('the answer of the store is not a JSON object')
        return decoded


class StoreClient:
    """HTTP client of the store, with a connection pool; one per process.

    :param address: ``host:port`` of the store.
    :param count: called with the path and the outcome of each call, or
        ``None``.
    """

    def __init__(
        self,
        *,
        address: str,
        count: Callable[[str, str], None] | None = None,
    ) -> None:
        self._count = count
        self._base_url = f'http://{address}'
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS, keepalive_expiry=None
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
        """Send a request to the store, without retries.

        :param method: HTTP method.
        :param path: path of the call.
        :param query: query parameters.
        :param body: body of the request.
        :param wait_s: seconds that the store may hold the request (long poll);
            added to the time-out.
        :param allowed: statuses besides 200 that are returned to the caller.
        :raises PlatformError: if the store does not answer in time, or answers
            with any other status.
        """
        url = f'{self._base_url}{path}'
        if query:
            url = f'{url}?{urlencode(query)}'
        try:
            with anyio.fail_after(CALL_TIMEOUT_S + wait_s):
                answer = await self._pool.request(
                    method,
                    url,
                    content=body,
                    headers={'Content-Length': str(len(body))} if body else {},
                )
        except CALL_FAILURES as error:
            self._count_call(path, type(error).__name__)
            raise _build_error(
                f'the store did not answer ({type(error).__name__})'
            ) from error
        self._count_call(path, str(answer.status))
        if answer.status != _OK and answer.status not in allowed:
            raise _build_error(f'{path} failed with status {answer.status}')
        return _Answer(status=answer.status, body=answer.content)

    def _count_call(self, path: str, outcome: str) -> None:
        if self._count is not None:
            self._count(path.removeprefix('/'), outcome)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class LogStore(KeyedStore):
    """Keyed topics in the platform's log store.

    :param client: client of the store.
    """

    def __init__(self, *, client: StoreClient) -> None:
        self._client = client

    async def read_newest(self, topic: Topic) -> Batch:
        """Read the newest record of each key; see :class:`KeyedStore`."""
        query: dict[str, object] = {'topic': _TOPIC_NAMES[topic], 'part': 0}
        records: list[KeyedRecord] = []
        next_offset: int | None = None
        while True:
            answer = await self._client.call('GET', '/log-newest', query=query)
            page = answer.read_json()
            rows = page.get('items', [])
            try:
                records.extend(_parse_row(row) for row in rows)
                page_end = int(page['end_offset'])
            except (KeyError, TypeError, ValueError) as error:
                raise _build_error('the store sent a malformed page') from error
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
            'topic': _TOPIC_NAMES[topic],
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
        records = tuple(_parse_records(answer.body, offset))
        return Batch(records=records, next_offset=offset + len(records))

    async def write(
        self,
        topic: Topic,
        key: str,
        body: bytes,
        *,
        expected_end_offset: int | None = None,
    ) -> bool:
        """Write a record; see :class:`KeyedStore`."""
        query: dict[str, object] = {'topic': _TOPIC_NAMES[topic], 'part': 0}
        if expected_end_offset is not None:
            query['at'] = expected_end_offset
        name = key.encode()
        record = bytes([len(name)]) + name + body
        answer = await self._client.call(
            'POST',
            '/log-append',
            query=query,
            body=_RECORD_LENGTH.pack(len(record)) + record,
            allowed=(_CONDITION_FAILED,),
        )
        return answer.status == _OK


class LogGroup(MemberGroup):
    """Membership of the daemons, as a consumer group of the log store.

    The partitions of its topics are never written.  A daemon is identified by
    its caller address.

    :param client: client of the store.
    :param local_member: this daemon.
    """

    def __init__(
        self, *, client: StoreClient, local_member: ListedInstance
    ) -> None:
        self._client = client
        self._name = _SEPARATOR.join(
            (
                local_member.caller_address,
                local_member.peer_address,
                local_member.zone,
            )
        )
        self._generation = 0

    async def join(self) -> int:
        """Join or stay in the group; see :class:`MemberGroup`."""
        answer = await self._call(
            '/log-join',
            topics=_MEMBER_TOPICS,
            ttl_ms=MEMBER_TTL_MS,
            generation=self._generation,
        )
        generation = answer.read_json().get('generation')
        if not isinstance(generation, int):
            raise _build_error('the answer of the store has no generation')
        self._generation = generation
        return generation

    async def list_members(self) -> Sequence[ListedInstance]:
        """List the members; see :class:`MemberGroup`."""
        answer = await self._client.call(
            'GET', '/log-owners', query={'group': _GROUP}
        )
        return _parse_members(answer.read_json())

    async def leave(self) -> None:
        """Leave the group; see :class:`MemberGroup`."""
        await self._call('/log-leave')

    async def _call(self, path: str, **fields: object) -> _Answer:
        body = {'group': _GROUP, 'member': self._name, **fields}
        return await self._client.call('POST', path, body=orjson.dumps(body))


def _parse_members(owners: Mapping[str, Any]) -> Sequence[ListedInstance]:
    names = {str(row[2]) for row in owners.get('parts') or () if row[2]}
    members = []
    for name in sorted(names):
        fields = name.split(_SEPARATOR)
        if len(fields) == _MEMBER_FIELD_COUNT:
            members.append(
                ListedInstance(
                    name=fields[0],
                    caller_address=fields[0],
                    peer_address=fields[1],
                    zone=fields[2],
                )
            )
    return members


def _parse_row(row: Mapping[str, Any]) -> KeyedRecord:
    return KeyedRecord(
        key=row['key'],
        body=base64.b64decode(row['value']),
        offset=int(row['offset']),
    )


def _parse_records(body: bytes, offset: int) -> Sequence[KeyedRecord]:
    position = _READ_HEADER.size
    records: list[KeyedRecord] = []
    while position + _RECORD_LENGTH.size <= len(body):
        length = _RECORD_LENGTH.unpack_from(body, position)[0]
        position += _RECORD_LENGTH.size
        frame = body[position : position + length]
        position += length
        records.append(_parse_record(frame, offset + len(records)))
    return records


def _parse_record(frame: bytes, offset: int) -> KeyedRecord:
    key_length = frame[0] if frame else 0
    key = frame[1 : key_length + 1].decode('utf-8', 'replace')
    return KeyedRecord(
        key=key, body=frame[key_length + 1 :] or None, offset=offset
    )


def _build_error(message: str) -> PlatformError:
    return PlatformError(ErrorKind.LOG_UNAVAILABLE, message)
