"""Grants permits for the endpoints whose permits this daemon holds."""

import random
from collections.abc import Callable
from typing import Final

from attrs import define, field

from laurelwind.protocol.permits import PermitAnswer, PermitAsk, PermitReturn
from laurelwind.state.permit_schedule import MIN_RATE, PermitSchedule
from laurelwind.state.rate_limits import (
    EndpointProcess,
    LimitStatement,
    RateLimits,
    discard_removed,
    is_cold_key,
)

# Seconds for which a new holder grants nothing. The holder before it may have
# granted as many permits in this time, and some daemons may still ask it.
TAKEOVER_S: Final = 1.0
# Seconds for which a daemon that asked counts as one that wants permits.
ASKER_TTL_S: Final = 5.0
# Asks for each permit, in the long run. Some daemons do not use their turn.
ASKS_PER_PERMIT: Final = 2.0
# Bounds of the time, in seconds, for which a refused daemon does not ask again.
MIN_RETRY_S: Final = 0.02
MAX_RETRY_S: Final = 5.0
# Share by which that time varies, so that daemons do not ask at the same time.
RETRY_JITTER: Final = 0.5
# Granted asks of an endpoint that are remembered, as they may arrive again or
# be returned.
MAX_REMEMBERED: Final = 1024


@define(kw_only=True)
class _HeldEndpoint:
    """Permits of one endpoint.

    :ivar schedule: when the permits are due.
    :ivar asked_at: moment of the last ask, by daemon.
    :ivar granted: granted asks, by number and daemon, oldest first.
    """

    schedule: PermitSchedule
    asked_at: dict[str, float] = field(factory=dict)
    granted: dict[tuple[int, str], PermitAnswer] = field(factory=dict)

    def count_askers(self, asker: str, now: float) -> int:
        self.asked_at[asker] = now
        for name, asked_at in tuple(self.asked_at.items()):
            if asked_at < now - ASKER_TTL_S:
                self.asked_at.pop(name)
        return len(self.asked_at)

    def remember(self, ask: PermitAsk, answer: PermitAnswer) -> None:
        self.granted[ask.number, ask.asker] = answer
        if len(self.granted) > MAX_REMEMBERED:
            self.granted.pop(next(iter(self.granted)))


class PermitHolder:
    """Grants the permits of endpoints, and spreads the asks of daemons.

    :param table: the limits of the endpoints.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self, *, table: RateLimits, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._clock = clock
        self._held: dict[EndpointProcess, _HeldEndpoint] = {}

    def grant(self, ask: PermitAsk) -> PermitAnswer:
        """Grant a permit, or return when the next one is due.

        :param ask: the ask; one that arrives again gets the same answer.
        """
        statement = self._table.find(ask.process)
        if statement is None:
            return self._answer(ask, is_granted=True)
        now = self._clock()
        held = self._hold(ask.process, statement, now)
        remembered = held.granted.get((ask.number, ask.asker))
        if remembered is not None:
            return remembered
        askers = held.count_askers(ask.asker, now)
        rate = max(statement.rate or 0, MIN_RATE)
        wait_s = held.schedule.reserve(rate, now, ask.max_wait_s)
        if wait_s > ask.max_wait_s:
            return self._answer(
                ask,
                wait_s=wait_s,
                retry_s=_draw_retry(wait_s - ask.max_wait_s, rate, askers),
            )
        answer = self._answer(ask, is_granted=True, wait_s=wait_s)
        held.remember(ask, answer)
        return answer

    def take_back(self, returned: PermitReturn) -> None:
        """Take back a permit that was not used.

        :param returned: the ask that it was granted for.
        """
        held = self._held.get(returned.process)
        statement = self._table.find(returned.process)
        if held is None or statement is None:
            return
        if held.granted.pop((returned.number, returned.asker), None):
            held.schedule.cancel(statement.rate or 0)

    def release(self, process: EndpointProcess) -> None:
        """Stop holding the permits of an endpoint.

        :param process: the endpoint.
        """
        self._held.pop(process, None)

    def retain(self, names: set[str]) -> None:
        """Stop holding the permits of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        discard_removed(self._held, names)

    def _hold(
        self, process: EndpointProcess, statement: LimitStatement, now: float
    ) -> _HeldEndpoint:
        held = self._held.get(process)
        if held is None:
            # No other daemon granted permits before the limit was stated.
            limited_s = max(now - statement.limited_at, 0)
            schedule = PermitSchedule(next_at=now + min(limited_s, TAKEOVER_S))
            held = _HeldEndpoint(schedule=schedule)
            self._held[process] = held
        return held

    def _answer(
        self,
        ask: PermitAsk,
        *,
        is_granted: bool = False,
        wait_s: float = 0,
        retry_s: float = 0,
    ) -> PermitAnswer:
        return PermitAnswer(
            number=ask.number,
            process=ask.process,
            is_granted=is_granted,
            wait_s=wait_s,
            retry_s=retry_s,
            statement=self._table.find_newest(ask.process),
            cold=(
                self._table.cold.find_newest(ask.process[0])
                if is_cold_key(ask.process)
                else None
            ),
        )


def _draw_retry(excess_s: float, rate: float, askers: int) -> float:
    """Draw the seconds after which a refused daemon asks again.

    :param excess_s: seconds until a permit is due soon enough.
    :param rate: permits per second.
    :param askers: number of daemons that want permits.
    """
    # The daemons that want permits share the asks.
    turn_s = (askers - 1) / (rate * ASKS_PER_PERMIT)
    jitter = random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
    retry_s = max(excess_s, turn_s) * jitter
    return min(max(retry_s, MIN_RETRY_S), MAX_RETRY_S)
