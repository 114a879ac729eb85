"""Tracks the exchanges with callers that are in progress."""

import contextlib
from collections.abc import Callable, Iterator

import anyio

from laurelwind.transport.caller_exchange import CallerExchange


class OpenExchanges:
    """Exchanges from the head of the request to the end of the answer."""

    def __init__(self) -> None:
        self._scopes: dict[CallerExchange, anyio.CancelScope] = {}
        self._has_none = anyio.Event()
        self._has_none.set()

    @property
    def count(self) -> int:
        """Number of exchanges in progress."""
        return len(self._scopes)

    @contextlib.contextmanager
    def track(self, exchange: CallerExchange) -> Iterator[anyio.CancelScope]:
        """Count an exchange as in progress within the ``with`` statement.

        :param exchange: the exchange.
        :returns: scope for its work, which is cancelled to end the exchange.
        """
        if not self._scopes:
            self._has_none = anyio.Event()
        scope = anyio.CancelScope()
        self._scopes[exchange] = scope
        try:
            yield scope
        finally:
            self._scopes.pop(exchange)
            if not self._scopes:
                self._has_none.set()

    async def wait_for_none(self) -> None:
        """Wait until no exchange is in progress."""
        await self._has_none.wait()

    def close_connections(self) -> None:
        """Close the connections of answers that have not begun after them."""
        for exchange in self._scopes:
            exchange.closes_connection = True

    def end_unanswered(self) -> int:
        """End the exchanges whose answers have not begun; return their number.

        Their callers get an error answer.
        """
        return self._end(lambda exchange: not exchange.has_begun)

    def end_incomplete(self) -> int:
        """Cut the answers that are not complete; return their number."""
        return self._end(lambda exchange: not exchange.is_complete)

    def _end(self, is_ended: Callable[[CallerExchange], bool]) -> int:
        scopes = [
            scope
            for exchange, scope in self._scopes.items()
            if is_ended(exchange)
        ]
        for scope in scopes:
            scope.cancel()
        return len(scopes)
