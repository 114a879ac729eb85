"""Requests sent to an endpoint since its last report."""

from collections import deque
from typing import Final

from attrs import define, field, frozen

# Arrivals that are kept for an endpoint.  More within the lifetime of a report
# exceed the slots of most endpoints, and a newer report follows soon.
MAX_ARRIVALS: Final = 64


@frozen
class _Arrival:
    sent_at: float
    tokens: float
    is_local: bool


@define(kw_only=True)
class RecentArrivals:
    """Requests that daemons sent to one endpoint, as far as this one knows.

    A report counts those before it; these are added to it.
    """

    _arrivals: deque[_Arrival] = field(
        factory=lambda: deque(maxlen=MAX_ARRIVALS), init=False
    )

    def add(self, sent_at: float, tokens: float, *, is_local: bool) -> None:
        """Record a request.

        :param sent_at: moment of sending.
        :param tokens: tokens that it may hold at its end.
        :param is_local: whether this daemon sent it.
        """
        self._arrivals.append(_Arrival(sent_at, tokens, is_local))

    def count_local(self, since: float) -> int:
        """Count the requests of this daemon since a moment."""
        return sum(
            arrival.is_local and arrival.sent_at > since
            for arrival in self._arrivals
        )

    def count_remote(self, since: float) -> tuple[int, float]:
        """Return the requests of other daemons since a moment, and tokens."""
        tokens = [
            arrival.tokens
            for arrival in self._arrivals
            if arrival.sent_at > since and not arrival.is_local
        ]
        return len(tokens), sum(tokens)
