"""Client of the platform's log store: keyed topics and group membership."""

import base64
import struct
from collections.abc import Mapping, Sequence
from typing import Any, Final

import orjson

from laurelwind.platform.fields import parse_address
from laurelwind.platform.store_client import (
    StoreAnswer,
    StoreClient,
    build_store_error,
)
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    KeyedStore,
    MemberGroup,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.protocol.positions import (
    Position,
    decode_position,
    encode_position,
)
from laurelwind.state.fields import STRUCTURE_ERRORS

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
# Milliseconds after its last call at which a member counts as lost.
MEMBER_TTL_MS: Final = 3000
_READ_HEADER: Final = struct.Struct('>QQ')
_RECORD_LENGTH: Final = struct.Struct('>I')


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
            page_records, page_end = _parse_page(page, answer.era)
            records.extend(page_records)
            if next_offset is None:
                next_offset = page_end
            if not page.get('has_more') or not page_records:
                records.sort(key=lambda record: record.offset)
                return Batch(records=records, next_offset=next_offset)
            last_key = page_records[-1].key
            # A key that was replaced may stand before the one in the store.
            if query.get('after') == last_key:
                raise build_store_error(
                    f'two pages of the store end at the key {last_key!r}'
                )
            query['after'] = last_key

    async def read_after(
        self,
        topic: Topic,
        offset: int,
        *,
        wait_s: float = 0,
        is_strict: bool = False,
    ) -> Batch:
        """Read records from an offset on; see :class:`KeyedStore`."""
        position = decode_position(offset)
        if position.era != self._client.era:
            raise HistoryLostError
        query: dict[str, object] = {
            'topic': _TOPIC_NAMES[topic],
            'part': 0,
            'from': position.offset,
        }
        if wait_s:
            query['wait_ms'] = round(wait_s * 1000)
        records: list[KeyedRecord] = []
        while True:
            answer = await self._client.call(
                'GET', '/log-read', query=query, wait_s=wait_s, allowed=(_GONE,)
            )
            if answer.status == _GONE or answer.era != position.era:
                raise HistoryLostError
            page = _parse_records(answer.body, offset + len(records))
            records.extend(page)
            next_offset = position.offset + len(records)
            # A page ends early where the records exceed its size.
            if not page or next_offset >= _parse_end(answer.body):
                return Batch(records=records, next_offset=offset + len(records))
            query = {**query, 'from': next_offset}
            query.pop('wait_ms', None)

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
            expected_end = decode_position(expected_end_offset)
            if expected_end.era != self._client.era:
                return False
            query['at'] = expected_end.offset
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
        self._generation = Position()

    async def join(self) -> int:
        """Join or stay in the group; see :class:`MemberGroup`."""
        answer = await self._call(
            '/log-join',
            topics=_MEMBER_TOPICS,
            ttl_ms=MEMBER_TTL_MS,
            generation=self._generation.offset,
        )
        generation = answer.read_json().get('generation')
        if not isinstance(generation, int):
            raise build_store_error('the answer of the store has no generation')
        self._generation = Position(era=answer.era, offset=generation)
        return encode_position(self._generation)

    async def list_members(self) -> Sequence[ListedInstance]:
        """List the members; see :class:`MemberGroup`."""
        answer = await self._client.call(
            'GET', '/log-owners', query={'group': _GROUP}
        )
        return _parse_members(answer.read_json())

    async def leave(self) -> None:
        """Leave the group; see :class:`MemberGroup`."""
        await self._call('/log-leave')

    async def _call(self, path: str, **fields: object) -> StoreAnswer:
        body = {'group': _GROUP, 'member': self._name, **fields}
        return await self._client.call('POST', path, body=orjson.dumps(body))


def _parse_members(owners: Mapping[str, Any]) -> Sequence[ListedInstance]:
    try:
        names = {str(row[2]) for row in owners.get('parts') or () if row[2]}
    except STRUCTURE_ERRORS as error:
        raise build_store_error(
            'the store sent a malformed list of members'
        ) from error
    parsed = (_parse_member(name) for name in sorted(names))
    return [member for member in parsed if member is not None]


def _parse_member(name: str) -> ListedInstance | None:
    """Return a member, or ``None`` if the name is not that of a daemon."""
    fields = name.split(_SEPARATOR)
    if len(fields) != _MEMBER_FIELD_COUNT:
        return None
    try:
        return ListedInstance(
            name=fields[0],
            caller_address=parse_address(fields[0]),
            peer_address=parse_address(fields[1]),
            zone=fields[2],
        )
    except STRUCTURE_ERRORS:
        return None


def _encode(era: int, offset: int) -> int:
    return encode_position(Position(era=era, offset=offset))


def _parse_page(
    page: Mapping[str, Any], era: int
) -> tuple[Sequence[KeyedRecord], int]:
    """Return the records of a page, and the end offset of the topic."""
    try:
        return (
            [_parse_row(row, era) for row in page.get('items', [])],
            _encode(era, int(page['end_offset'])),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise build_store_error('the store sent a malformed page') from error


def _parse_row(row: Mapping[str, Any], era: int) -> KeyedRecord:
    if not isinstance(row['key'], str):
        raise TypeError('expected a string as the key of a record')
    return KeyedRecord(
        key=row['key'],
        body=base64.b64decode(row['value']),
        offset=_encode(era, int(row['offset'])),
    )


def _parse_end(body: bytes) -> int:
    """Return the end offset of the topic when a page was read."""
    if len(body) < _READ_HEADER.size:
        return 0
    end_offset, _ = _READ_HEADER.unpack_from(body)
    return int(end_offset)


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
