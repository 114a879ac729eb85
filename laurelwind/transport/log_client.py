"""HTTP client of the platform log."""

from collections.abc import Sequence
from typing import Final

import orjson

from laurelwind.protocol.platform import Log, LogPage
from laurelwind.state.records import Entry, Record, dump_record, load_record
from laurelwind.transport.json_service import JsonService

_PAGE_LIMIT: Final = 500


class HttpLog(Log):
    """Platform log that is reached over HTTP.

    :param address: ``host:port`` of the log service.
    :param timeout_s: time limit of a request, in seconds. The ``wait_s`` of a
        read is added to it.
    """

    def __init__(self, *, address: str, timeout_s: float = 2.0) -> None:
        self._base_url = f'http://{address}/streams/'
        self._timeout_s = timeout_s
        self._service = JsonService(name='the log')

    async def append(self, stream: str, records: Sequence[Record]) -> int:
        """Append records together; see :class:`Log`."""
        encoded_records = [dump_record(record).decode() for record in records]
        answer = await self._service.request(
            'POST',
            f'{self._base_url}{stream}',
            timeout_s=self._timeout_s,
            body=orjson.dumps({'records': encoded_records}),
        )
        return int(answer['first'])

    async def read(
        self, stream: str, offset: int, *, wait_s: float = 0
    ) -> LogPage:
        """Read entries starting at an offset; see :class:`Log`."""
        query = f'from={offset}&limit={_PAGE_LIMIT}&wait={wait_s}'
        answer = await self._service.request(
            'GET',
            f'{self._base_url}{stream}?{query}',
            timeout_s=self._timeout_s + wait_s,
        )
        entries = tuple(
            Entry(
                offset=int(row['offset']),
                record=load_record(row['body'].encode()),
            )
            for row in answer['records']
        )
        return LogPage(
            entries=entries,
            earliest=int(answer['earliest']),
            next_offset=int(answer['next']),
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._service.close()
