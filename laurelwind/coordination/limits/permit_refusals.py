"""Permits that were refused, and when a daemon may ask again."""

import contextlib
from collections.abc import Callable, Iterable, Iterator, Set
from typing import Final

from attrs import define

from laurelwind.protocol.permits import PermitAnswer, PermitAsk
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rate_limits import (
    EndpointProcess,
    LimitStatement,
    RateLimits,
    discard_removed,
    get_process,
    is_cold_key,
)

# Seconds after which a daemon asks again where the holder did not answer.
NO_ANSWER_RETRY_S: Final = 1.0


@define(kw_only=True)
class _Refusal:
    """What is known of the permits of an endpoint since one was refused.

    All moments are on the monotonic clock.

    :ivar until: moment from which the daemon may ask for a permit at once.
    :ivar queue_until: moment from which it may ask for one to wait for.
    :ivar due_at: estimated moment at which a permit is due.
    :ivar unanswered_until: moment until which the holder counts as lost.
    :ivar asking: asks for a permit at once that are under way.
    """

    until: float = 0
    queue_until: float = 0
    due_at: float = 0
    unanswered_until: float = 0
    asking: int = 0


class PermitRefusals:
    """Finds the endpoints with a limit that may have a permit.

    :param table: the limits of the endpoints.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self, *, table: RateLimits, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._clock = clock
        self._refusals: dict[EndpointProcess, _Refusal] = {}

    def find_rate_limit(
        self, endpoint: EndpointRecord
    ) -> LimitStatement | None:
        """Return the limit of an endpoint, or ``None`` if it has none.

        :param endpoint: the endpoint.
        """
        return self._table.find(self._table.resolve(get_process(endpoint)))

    def list_limited(self, endpoints: Iterable[EndpointRecord]) -> Set[str]:
        """Return the names of the endpoints that have a limit.

        :param endpoints: the endpoints.
        """
        return {endpoint.name for endpoint in self._select_limited(endpoints)}

    def list_cold(self, endpoints: Iterable[EndpointRecord]) -> Set[str]:
        """Return the names of the endpoints that are cold.

        :param endpoints: the endpoints.
        """
        names = self._table.cold.names
        if not names:
            return names
        return {
            endpoint.name for endpoint in endpoints if endpoint.name in names
        }

    def is_holder_lost(self, process: EndpointProcess) -> bool:
        """Return whether the holder of an endpoint's permits did not answer.

        :param process: the endpoint.
        """
        refusal = self._refusals.get(process)
        return refusal is not None and refusal.unanswered_until > self._clock()

    def list_refusing(self, endpoints: Iterable[EndpointRecord]) -> Set[str]:
        """Return the names of the endpoints that have no permit at once.

        :param endpoints: the endpoints.
        """
        return {
            endpoint.name
            for endpoint in self._select_limited(endpoints)
            if not self._may_ask(endpoint)
        }

    def list_without_queue(
        self, endpoints: Iterable[EndpointRecord]
    ) -> Set[str]:
        """Return the names of the endpoints without a permit to wait for.

        :param endpoints: the endpoints.
        """
        return {
            endpoint.name
            for endpoint in endpoints
            if not self._may_queue(endpoint)
        }

    def estimate_wait(self, endpoint: EndpointRecord) -> float:
        """Estimate the seconds until a permit is available.

        :param endpoint: the endpoint.
        """
        refusal = self._find(endpoint)
        if refusal is None:
            return 0
        return max(refusal.due_at - self._clock(), 0)

    @contextlib.contextmanager
    def track_ask(self, ask: PermitAsk) -> Iterator[None]:
        """Let other requests use other endpoints until an ask is answered.

        :param ask: the ask.
        """
        refusal = self._refusals.setdefault(ask.process, _Refusal())
        is_immediate = not ask.max_wait_s
        refusal.asking += is_immediate
        try:
            yield
        finally:
            refusal.asking -= is_immediate

    def record(self, ask: PermitAsk, answer: PermitAnswer | None) -> None:
        """Record that an ask was refused or not answered.

        :param ask: the ask.
        :param answer: its answer, or ``None``.
        """
        now = self._clock()
        refusal = self._refusals.setdefault(ask.process, _Refusal())
        retry_s = NO_ANSWER_RETRY_S if answer is None else answer.retry_s
        wait_s = NO_ANSWER_RETRY_S if answer is None else answer.wait_s
        refusal.until = now + retry_s
        refusal.due_at = now + wait_s
        if answer is None:
            refusal.unanswered_until = now + retry_s
        # Without its holder a cold endpoint still gets a share of requests.
        is_shared = answer is None and is_cold_key(ask.process)
        if (ask.max_wait_s or answer is None) and not is_shared:
            refusal.queue_until = now + retry_s

    def record_no_share(self, process: EndpointProcess, wait_s: float) -> None:
        """Record that no request of this daemon's share is due.

        :param process: the cold endpoint.
        :param wait_s: seconds until the next one is due.
        """
        refusal = self._refusals.setdefault(process, _Refusal())
        retry_s = min(wait_s, NO_ANSWER_RETRY_S)
        refusal.queue_until = self._clock() + retry_s
        refusal.due_at = max(refusal.due_at, self._clock() + retry_s)

    def retain(self, names: set[str]) -> None:
        """Discard the refusals of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        discard_removed(self._refusals, names)

    def _select_limited(
        self, endpoints: Iterable[EndpointRecord]
    ) -> Iterator[EndpointRecord]:
        # Most endpoints are passed over by their name alone.
        names = self._table.limited_names
        for endpoint in endpoints if names else ():
            if (
                endpoint.name in names
                and self.find_rate_limit(endpoint) is not None
            ):
                yield endpoint

    def _find(self, endpoint: EndpointRecord) -> _Refusal | None:
        if self.find_rate_limit(endpoint) is None:
            return None
        return self._refusals.get(self._table.resolve(get_process(endpoint)))

    def _may_ask(self, endpoint: EndpointRecord) -> bool:
        refusal = self._find(endpoint)
        if refusal is None:
            return True
        return not refusal.asking and refusal.until <= self._clock()

    def _may_queue(self, endpoint: EndpointRecord) -> bool:
        if self.find_rate_limit(endpoint) is None:
            return False
        refusal = self._find(endpoint)
        return refusal is None or refusal.queue_until <= self._clock()
