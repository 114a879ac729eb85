"""In-memory stand-in for the platform's append-only log."""

from typing import Final

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.switches import Switches, build_switch_route

_NO_LIMIT: Final = 1 << 60
_DEFAULT_PAGE_SIZE: Final = 500


@attrs.define(kw_only=True)
class LogSwitches(Switches):
    """Faults of the log.

    :ivar append_delay_s: duration of an append, in seconds.
    :ivar retention: maximum number of records in a stream.
    """

    append_delay_s: float = 0
    retention: int = _NO_LIMIT


@attrs.define(kw_only=True)
class Stream:
    """Records of one stream.

    :ivar expired: number of records dropped by retention.
    :ivar changed: set at the next append, then replaced.
    """

    records: list[str] = attrs.field(factory=list)
    expired: int = 0
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.expired + len(self.records)

    def append(self, records: list[str], retention: int) -> int:
        """Append records, drop those beyond retention, and wake readers.

        :param records: bodies of the records.
        :param retention: maximum number of records to keep.
        :returns: offset of the first appended record.
        """
        first_offset = self.next_offset
        self.records.extend(records)
        surplus = len(self.records) - retention
        if surplus > 0:
            self.records = self.records[surplus:]
            self.expired += surplus
        self.changed.set()
        self.changed = anyio.Event()
        return first_offset


class LogStandin:
    """Serves named streams.

    :ivar append_count: number of appends served.
    :ivar read_count: number of reads served.
    """

    def __init__(self) -> None:
        self.switches = LogSwitches()
        self.append_count = 0
        self.read_count = 0
        self._streams: dict[str, Stream] = {}
        self.application = Starlette(
            routes=[
                Route('/streams/{name}', self._handle_append, methods=['POST']),
                Route('/streams/{name}', self._handle_read, methods=['GET']),
                build_switch_route(self.switches),
            ],
        )

    def get_stream(self, name: str) -> Stream:
        """Return a stream, created on first use.

        :param name: name of the stream.
        """
        return self._streams.setdefault(name, Stream())

    async def _handle_append(self, request: Request) -> Response:
        body = await request.json()
        refusal = await self.switches.apply_faults()
        if refusal is not None:
            return refusal
        await anyio.sleep(self.switches.append_delay_s)
        self.append_count += 1
        stream = self.get_stream(request.path_params['name'])
        first_offset = stream.append(body['records'], self.switches.retention)
        await self.switches.lose_answer()
        return JSONResponse({'first': first_offset})

    async def _handle_read(self, request: Request) -> Response:
        refusal = await self.switches.apply_faults()
        if refusal is not None:
            return refusal
        self.read_count += 1
        stream = self.get_stream(request.path_params['name'])
        offset = int(request.query_params['from'])
        limit = int(request.query_params.get('limit', _DEFAULT_PAGE_SIZE))
        with anyio.move_on_after(float(request.query_params.get('wait', 0))):
            while stream.next_offset <= offset:
                await stream.changed.wait()
        return JSONResponse(_build_page(stream, offset, limit))


def _build_page(stream: Stream, offset: int, limit: int) -> dict[str, object]:
    start = max(offset - stream.expired, 0)
    bodies = stream.records[start : start + limit]
    first_offset = stream.expired + start
    page_records = [
        {'offset': first_offset + index, 'body': body}
        for index, body in enumerate(bodies)
    ]
    return {
        'records': page_records,
        'earliest': stream.expired,
        'next': first_offset + len(page_records),
    }
