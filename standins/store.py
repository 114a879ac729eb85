"""A stand-in for the platform's store of logs, with its faults."""

import base64
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

from standins.switches import NEVER_S

_LENGTH: Final = struct.Struct('>I')
_HEAD: Final = struct.Struct('>QQ')
_MS_PER_S: Final = 1000
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_CONDITION_FAILED: Final = 412
_TOO_MANY: Final = 429
_UNAVAILABLE: Final = 503


class StoreMode(enum.Enum):
    """What the store does with calls."""

    UP = 'up'
    DOWN = 'down'
    REFUSES = 'refuses'
    SLOW = 'slow'
    LOSES_ANSWERS = 'loses_answers'
    WRITES_LATE = 'writes_late'
    SILENT = 'silent'


@define(kw_only=True)
class _Part:
    """One partition; its first records may be gone."""

    records: list[bytes] = field(factory=list)
    first: int = 0
    grown: anyio.Event = field(factory=anyio.Event)

    def append(self, record: bytes) -> int:
        self.records.append(record)
        self.grown.set()
        self.grown = anyio.Event()
        return len(self.records) - 1

    def list_newest(self) -> dict[str, tuple[int, bytes]]:
        newest = {}
        for offset, record in enumerate(self.records):
            key, body = _split(record)
            newest[key] = (offset, body)
        return {key: found for key, found in newest.items() if found[1]}


@define(kw_only=True)
class _Group:
    """Members of one group, with the moments at which they lapse."""

    generation: int = 1
    members: dict[str, float] = field(factory=dict)

    def expire(self, now: float) -> None:
        lapsed = [name for name, at in self.members.items() if at < now]
        for name in lapsed:
            self.members.pop(name)
            self.generation += 1


class StoreStandin:
    """The store, as an ASGI application.

    :ivar mode: what it does with calls now.
    :ivar delay_s: how slow it is, and how late it writes.
    :ivar calls: how many calls came.
    """

    def __init__(self) -> None:
        self.mode = StoreMode.UP
        self.delay_s = 1.0
        self.calls = 0
        self._parts: dict[str, _Part] = {}
        self._groups: dict[str, _Group] = {}

    def put(self, topic: str, key: str, body: Mapping[str, Any] | None) -> int:
        """Write as the operator or an endpoint does.

        :param topic: the topic.
        :param key: the record's key.
        :param body: what it holds, or ``None`` to drop the key.
        :returns: the record's offset.
        """
        text = b'' if body is None else orjson.dumps(body)
        return self._find(topic).append(_join(key, text))

    def read(self, topic: str) -> dict[str, Any]:
        """Read the newest record of each key.

        :param topic: the topic.
        """
        newest = self._find(topic).list_newest()
        return {key: orjson.loads(found[1]) for key, found in newest.items()}

    def forget_history(self) -> None:
        """Delete all records but the newest of each key."""
        for part in self._parts.values():
            part.first = len(part.records)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call."""
        self.calls += 1
        request = Request(scope, receive)
        body = await request.body()
        mode = self.mode
        if mode is StoreMode.SILENT:
            await anyio.sleep(NEVER_S)
        if mode is StoreMode.SLOW:
            await anyio.sleep(self.delay_s)
        if mode is StoreMode.DOWN:
            await Response(status_code=_UNAVAILABLE)(scope, receive, send)
            return
        if mode is StoreMode.REFUSES:
            await Response(status_code=_TOO_MANY)(scope, receive, send)
            return
        if mode is StoreMode.WRITES_LATE and request.method == 'POST':
            await anyio.sleep(self.delay_s)
        answer = await self._answer(request, body)
        if mode in {StoreMode.LOSES_ANSWERS, StoreMode.WRITES_LATE}:
            await anyio.sleep(NEVER_S)
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
                return self._join(request.url.path, orjson.loads(body))
            case '/log-owners':
                return self._list_owners(query['group'])
        return Response(status_code=_NOT_FOUND)

    async def _read(self, query: Mapping[str, str]) -> Response:
        part = self._find(query['topic'])
        offset = int(query['from'])
        if offset < part.first:
            body = {'first': part.first}
            return JSONResponse(body, status_code=_GONE)
        if offset >= len(part.records):
            wait_s = int(query.get('wait_ms', 0)) / _MS_PER_S
            with anyio.move_on_after(wait_s):
                await part.grown.wait()
        rows = [
            _LENGTH.pack(len(record)) + record
            for record in part.records[offset:]
        ]
        head = _HEAD.pack(len(part.records), part.first)
        return Response(head + b''.join(rows))

    def _list_newest(self, query: Mapping[str, str]) -> Response:
        part = self._find(query['topic'])
        rows = [
            {
                'key': key,
                'value': base64.b64encode(body).decode(),
                'offset': offset,
            }
            for key, (offset, body) in part.list_newest().items()
        ]
        found = {'items': rows, 'has_more': False}
        return JSONResponse({**found, 'end_offset': len(part.records)})

    def _append(self, query: Mapping[str, str], body: bytes) -> Response:
        part = self._find(query['topic'])
        end = len(part.records)
        if 'at' in query and int(query['at']) != end:
            found = {'end_offset': end}
            return JSONResponse(found, status_code=_CONDITION_FAILED)
        part.append(body[_LENGTH.size :])
        return JSONResponse({'offset': end, 'end_offset': end + 1})

    def _join(self, path: str, call: Mapping[str, Any]) -> Response:
        group = self._groups.setdefault(call['group'], _Group())
        now = anyio.current_time()
        group.expire(now)
        known = call['member'] in group.members
        if path == '/log-leave':
            group.members.pop(call['member'], None)
            group.generation += known
            return JSONResponse({})
        group.members[call['member']] = now + call['ttl_ms'] / _MS_PER_S
        group.generation += not known
        return JSONResponse({'generation': group.generation, 'parts': []})

    def _list_owners(self, name: str) -> Response:
        group = self._groups.setdefault(name, _Group())
        group.expire(anyio.current_time())
        rows = [
            ('members', place, member, 0)
            for place, member in zip(
                itertools.count(), group.members, strict=False
            )
        ]
        return JSONResponse({'parts': rows})

    def _find(self, topic: str) -> _Part:
        return self._parts.setdefault(topic, _Part())


def _join(key: str, body: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + body


def _split(record: bytes) -> tuple[str, bytes]:
    size = record[0]
    return record[1 : size + 1].decode(), record[size + 1 :]
