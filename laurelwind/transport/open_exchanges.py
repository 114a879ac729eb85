"""Tracks the exchanges with callers that are in progress."""

import contextlib
from collections.abc import Iterator

import anyio

from laurelwind.transport.caller_exchange import CallerExchange


class OpenExchanges:
    """Exchanges from the head of the request to the end of the answer."""

    def __init__(self) -> None:
        self._exchanges: set[CallerExchange] = set()
        self._has_none = anyio.Event()
        self._has_none.set()

    @property
    def count(self) -> int:
        """Number of exchanges in progress."""
        return len(self._exchanges)

    @contextlib.contextmanager
    def track(self, exchange: CallerExchange) -> Iterator[None]:
        """Count an exchange as in progress within the ``with`` statement.

        :param exchange: the exchange.
        """
        if not self._exchanges:
            self._has_none = anyio.Event()
        self._exchanges.add(exchange)
        try:
            yield
        finally:
            self._exchanges.discard(exchange)
            if not self._exchanges:
                self._has_none.set()

    async def wait_for_none(self) -> None:
        """Wait until no exchange is in progress."""
        await self._has_none.wait()
