"""Reads the charges stream incrementally."""

import anyio

from laurelwind.protocol.platform import Log
from laurelwind.state.records import CHARGES_STREAM
from laurelwind.state.usage import Usage, UsageTable


class UsageReader:
    """Computes the usage of workspaces from the charges stream on demand.

    :param log: the log of the platform.
    """

    def __init__(self, *, log: Log) -> None:
        self._log = log
        self._table = UsageTable()
        self._lock = anyio.Lock()

    async def read(self) -> Usage:
        """Read to the end of the stream and return the accumulated usage.

        :raises PlatformError: when the log cannot be read.
        """
        async with self._lock:
            has_more = True
            while has_more:
                has_more = await self._read_page()
            return self._table.build()

    async def _read_page(self) -> bool:
        page = await self._log.read(CHARGES_STREAM, self._table.read_to + 1)
        self._table.record_gap(page.earliest)
        for entry in page.entries:
            self._table.apply(entry)
        return bool(page.entries)
