"""A stand-in for the platform's log store, with fault modes."""

import base64
import bisect
import enum
import itertools
import struct
from collections.abc import Mapping
from typing import Any, Final

import anyio
import orjson
from attrs import define, field
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.types import Receive, Scope, Send

from standins.switches import HANG_S

_RECORD_LENGTH: Final = struct.Struct('>I')
_READ_HEADER: Final = struct.Struct('>QQ')
_MS_PER_S: Final = 1000
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_CONDITION_FAILED: Final = 412
_TOO_MANY_REQUESTS: Final = 429
_UNAVAILABLE: Final = 503


class StoreMode(enum.Enum):
    """How the store handles calls."""

    UP = 'up'
    DOWN = 'down'
    REFUSES = 'refuses'
    SLOW = 'slow'
    LOSES_ANSWERS = 'loses_answers'
    WRITES_LATE = 'writes_late'
    SILENT = 'silent'


_REFUSALS: Final[Mapping[StoreMode, int]] = {
    StoreMode.DOWN: _UNAVAILABLE,
    StoreMode.REFUSES: _TOO_MANY_REQUESTS,
}


@define(kw_only=True)
class _Partition:
    """One partition; records before ``first_offset`` fail to read."""

    records: list[bytes] = field(factory=list)
    appended_at: list[float] = field(factory=list)
    first_offset: int = 0
    appended: anyio.Event = field(factory=anyio.Event)

    def append(self, record: bytes) -> int:
        self.records.append(record)
        self.appended_at.append(anyio.current_time())
        self.appended.set()
        self.appended = anyio.Event()
        return len(self.records) - 1

    def rewind(self, moment: float) -> None:
        kept = bisect.bisect_right(self.appended_at, moment)
        del self.records[kept:]
        del self.appended_at[kept:]
        self.first_offset = min(self.first_offset, kept)

    def list_newest(self) -> dict[str, tuple[int, bytes]]:
        newest_records = {}
        for offset, record in enumerate(self.records):
            key, body = _decode_record(record)
            newest_records[key] = (offset, body)
        return {key: entry for key, entry in newest_records.items() if entry[1]}


@define(kw_only=True)
class _Group:
    """One membership group.

    :ivar members: expiry time of each member's lease, by member name.
    """

    generation: int = 1
    members: dict[str, float] = field(factory=dict)

    def expire(self, now: float) -> None:
        expired = [
            name for name, ends_at in self.members.items() if ends_at < now
        ]
        for name in expired:
            self.members.pop(name)
            self.generation += 1


class StoreStandin:
    """The log store as an ASGI application.

    :ivar mode: current fault mode.
    :ivar address_modes: fault modes, in place of ``mode``, of calls to some of
        the addresses that the store is reached at, by ``host:port``.
    :ivar delay_s: seconds by which the mode ``slow`` delays calls and
        ``writes_late`` delays writes.
    :ivar calls: number of calls received.
    :ivar era: number of restores from an older copy, named in every answer.
    """

    def __init__(self) -> None:
        self.mode = StoreMode.UP
        self.address_modes: dict[str, StoreMode] = {}
        self.delay_s = 1.0
        self.calls = 0
        self.era = 0
        self._partitions: dict[str, _Partition] = {}
        self._groups: dict[str, _Group] = {}

    def put(self, topic: str, key: str, body: Mapping[str, Any] | None) -> int:
        """Append a record, bypassing the fault mode.

        :param body: content of the record, or ``None`` to delete the key.
        :returns: offset of the record.
        """
        encoded = b'' if body is None else orjson.dumps(body)
        return self._get_partition(topic).append(_encode_record(key, encoded))

    def read(self, topic: str) -> dict[str, Any]:
        """Return the newest record of each key, bypassing the fault mode."""
        newest_records = self._get_partition(topic).list_newest()
        return {
            key: orjson.loads(entry[1]) for key, entry in newest_records.items()
        }

    def compact(self) -> None:
        """Make records unreadable by offset; the newest of each key remain."""
        for partition in self._partitions.values():
            partition.first_offset = len(partition.records)

    def rewind(self, seconds: float) -> None:
        """Restore the state of some seconds ago, and begin a new era.

        :param seconds: age of the copy.
        """
        self.era += 1
        for partition in self._partitions.values():
            partition.rewind(anyio.current_time() - seconds)
        for group in self._groups.values():
            group.generation = max(group.generation - 1, 1)
            group.members.clear()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one call according to the fault mode."""
        self.calls += 1
        request = Request(scope, receive)
        body = await request.body()
        mode = self.address_modes.get(request.url.netloc, self.mode)
        if mode is StoreMode.SILENT:
            await anyio.sleep(HANG_S)
        if mode is StoreMode.SLOW:
            await anyio.sleep(self.delay_s)
        refused_status = _REFUSALS.get(mode)
        if refused_status is not None:
            refusal = Response(
                status_code=refused_status,
                headers={'Store-Era': str(self.era)},
            )
            await refusal(scope, receive, send)
            return
        if mode is StoreMode.WRITES_LATE and request.method == 'POST':
            await anyio.sleep(self.delay_s)
        answer = await self._answer(request, body)
        if mode in {StoreMode.LOSES_ANSWERS, StoreMode.WRITES_LATE}:
            await anyio.sleep(HANG_S)
        answer.headers['Store-Era'] = str(self.era)
        await answer(scope, receive, send)

    async def _answer(self, request: Request, body: bytes) -> Response:
        query = request.query_params
        match request.url.path:
            case '/log-read':
                return await self._read(query)
            case '/log-newest':
                return self._list_newest(query)
            case '/log-append':
                return self._append(query, body)
            case '/log-join' | '/log-leave':
                return self._change_membership(
                    request.url.path, orjson.loads(body)
                )
            case '/log-owners':
                return self._list_owners(query['group'])
        return Response(status_code=_NOT_FOUND)

    async def _read(self, query: Mapping[str, str]) -> Response:
        partition = self._get_partition(query['topic'])
        offset = int(query['from'])
        if not partition.first_offset <= offset <= len(partition.records):
            error = {'first': partition.first_offset}
            return JSONResponse(error, status_code=_GONE)
        if offset >= len(partition.records):
            wait_s = int(query.get('wait_ms', 0)) / _MS_PER_S
            with anyio.move_on_after(wait_s):
                await partition.appended.wait()
        rows = [
            _RECORD_LENGTH.pack(len(record)) + record
            for record in partition.records[offset:]
        ]
        header = _READ_HEADER.pack(
            len(partition.records), partition.first_offset
        )
        return Response(header + b''.join(rows))

    def _list_newest(self, query: Mapping[str, str]) -> Response:
        partition = self._get_partition(query['topic'])
        rows = [
            {
                'key': key,
                'value': base64.b64encode(body).decode(),
                'offset': offset,
            }
            for key, (offset, body) in partition.list_newest().items()
        ]
        page = {'items': rows, 'has_more': False}
        return JSONResponse({**page, 'end_offset': len(partition.records)})

    def _append(self, query: Mapping[str, str], body: bytes) -> Response:
        partition = self._get_partition(query['topic'])
        end = len(partition.records)
        if 'at' in query and int(query['at']) != end:
            error = {'end_offset': end}
            return JSONResponse(error, status_code=_CONDITION_FAILED)
        partition.append(body[_RECORD_LENGTH.size :])
        return JSONResponse({'offset': end, 'end_offset': end + 1})

    def _change_membership(
        self, path: str, call: Mapping[str, Any]
    ) -> Response:
        group = self._groups.setdefault(call['group'], _Group())
        now = anyio.current_time()
        group.expire(now)
        was_member = call['member'] in group.members
        if path == '/log-leave':
            group.members.pop(call['member'], None)
            group.generation += was_member
            return JSONResponse({})
        group.members[call['member']] = now + call['ttl_ms'] / _MS_PER_S
        group.generation += not was_member
        return JSONResponse({'generation': group.generation, 'parts': []})

    def _list_owners(self, name: str) -> Response:
        group = self._groups.setdefault(name, _Group())
        group.expire(anyio.current_time())
        rows = [
            ('members', index, member, 0)
            for index, member in zip(
                itertools.count(), group.members, strict=False
            )
        ]
        return JSONResponse({'parts': rows})

    def _get_partition(self, topic: str) -> _Partition:
        return self._partitions.setdefault(topic, _Partition())


def _encode_record(key: str, body: bytes) -> bytes:
    encoded_key = key.encode()
    return bytes([len(encoded_key)]) + encoded_key + body


def _decode_record(record: bytes) -> tuple[str, bytes]:
    key_size = record[0]
    return record[1 : key_size + 1].decode(), record[key_size + 1 :]
