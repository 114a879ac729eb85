"""Permits to send requests to endpoints that state a rate limit.

One daemon holds the permits of each such endpoint. The others ask it for one
permit per request, by datagram.
"""

from collections.abc import Callable
from typing import Final

from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.cold.access import ColdAccess
from laurelwind.coordination.limits.endpoint_limits import EndpointLimits
from laurelwind.coordination.limits.limit_gossip import LimitGossip
from laurelwind.coordination.limits.permit_asks import PermitAsks
from laurelwind.coordination.limits.permit_refusals import PermitRefusals
from laurelwind.decisions import DecisionLog
from laurelwind.protocol.permits import PermitAnswer, PermitAsk
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rate_limits import (
    EndpointProcess,
    get_process,
    is_cold_key,
)

# Seconds for which a permit can be used after it is due.
PERMIT_TTL_S: Final = 0.5


@frozen(kw_only=True)
class Permit:
    """Permission to send one request to an endpoint.

    :ivar process: the endpoint.
    :ivar ask: the ask that was granted, or ``None`` if the endpoint had no
        limit.
    :ivar due_at: moment from which it may be used, on the monotonic clock.
    :ivar is_share: whether it is of this daemon's share, without a holder.
    """

    process: EndpointProcess
    ask: PermitAsk | None = None
    due_at: float = 0
    is_share: bool = False


class EndpointPermits:
    """Acquires permits from their holders.

    :param limits: the rate limits that endpoints state.
    :param gossip: spreads changes of the limits.
    :param asks: exchanges asks with other daemons.
    :param count: called with the outcome of each ask.
    :param cold: what the permits for cold endpoints need, or ``None`` if there
        are never any.
    :param log: decision log.
    :param clock: monotonic clock, in seconds.
    :ivar limits: the rate limits that endpoints state.
    :ivar refusals: refused permits; their endpoints are left out for a while.
    """

    def __init__(
        self,
        *,
        limits: EndpointLimits,
        gossip: LimitGossip,
        asks: PermitAsks,
        count: Callable[[str], None],
        cold: ColdAccess | None = None,
        log: DecisionLog,
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self.limits = limits
        self.refusals = PermitRefusals(table=limits.table, clock=clock)
        self._asks = asks
        self._gossip = gossip
        self._count = count
        self._cold = cold
        self._log = log
        self._clock = clock

    def start(self, group: TaskGroup) -> None:
        """Start to spread limits, and to answer the asks of other daemons.

        :param group: task group of the daemon.
        """
        self._gossip.start(group)
        if self._cold is not None:
            self._cold.gossip.start(group)
        self._asks.start(group)

    async def acquire(
        self, request_id: str, endpoint: EndpointRecord, max_wait_s: float = 0
    ) -> Permit | None:
        """Return a permit, or ``None`` if there is none within a time.

        :param request_id: the request, for the log.
        :param endpoint: the endpoint.
        :param max_wait_s: longest wait until the permit is due, in seconds.
        """
        table = self.limits.table
        process = table.resolve(get_process(endpoint))
        statement = table.find(process)
        if statement is None:
            return Permit(process=process)
        is_holder_lost = self.refusals.is_holder_lost(process)
        if is_holder_lost and max_wait_s and is_cold_key(process):
            return self._take_share(endpoint, process)
        cold = table.cold.find(endpoint.name)
        ask = PermitAsk(
            number=self._asks.draw_number(),
            asker=self._asks.local_address,
            process=process,
            zone=endpoint.zone,
            max_wait_s=max_wait_s,
            statement=statement,
            cold=None if cold is None or cold.is_private else cold,
        )
        with self.refusals.track_ask(ask):
            answer = await self._asks.send(ask)
        if answer is None or not answer.is_granted:
            self._record_refusal(request_id, ask, answer)
            if answer is None and max_wait_s and is_cold_key(process):
                return self._take_share(endpoint, process)
            return None
        self._count_outcome(process, 'granted')
        return Permit(
            process=process, ask=ask, due_at=self._clock() + answer.wait_s
        )

    def is_valid(self, permit: Permit) -> bool:
        """Return whether a request may be sent with a permit now.

        :param permit: the permit.
        """
        table = self.limits.table
        process = table.resolve(permit.process)
        if table.find(process) is None:
            return True
        if process != permit.process:
            # The endpoint has turned cold since.
            return False
        is_limited = permit.ask is not None or permit.is_share
        return is_limited and self._clock() <= permit.due_at + PERMIT_TTL_S

    def give_back(self, permit: Permit) -> None:
        """Return a permit with which nothing was sent.

        :param permit: the permit.
        """
        if permit.ask is not None:
            self._count_outcome(permit.process, 'returned')
            self._asks.give_back(permit.ask)

    def retain(self, names: set[str]) -> None:
        """Discard what is known of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        self.limits.table.retain(names)
        self.refusals.retain(names)
        self._asks.retain(names)
        if self.limits.cold is not None:
            self.limits.cold.retain(names)
        if self._cold is not None:
            self._cold.shares.retain(names)

    def _take_share(
        self, endpoint: EndpointRecord, process: EndpointProcess
    ) -> Permit | None:
        """Take a request of this daemon's share, as there is no holder."""
        cold = self.limits.cold
        rates = None if cold is None else cold.find_rates(endpoint.service)
        if rates is None or self._cold is None:
            return None
        wait_s = self._cold.shares.take(endpoint.name, rates.shared_per_s)
        if wait_s:
            self.refusals.record_no_share(process, wait_s)
            self._count_outcome(process, 'no_share')
            return None
        self._count_outcome(process, 'share')
        return Permit(process=process, due_at=self._clock(), is_share=True)

    def _count_outcome(self, process: EndpointProcess, outcome: str) -> None:
        if self._cold is not None and is_cold_key(process):
            self._cold.count(outcome)
        else:
            self._count(outcome)

    def _record_refusal(
        self, request_id: str, ask: PermitAsk, answer: PermitAnswer | None
    ) -> None:
        self.refusals.record(ask, answer)
        self._count_outcome(
            ask.process, 'unanswered' if answer is None else 'refused'
        )
        self._log.log_info(
            'permit_refused',
            request=request_id,
            endpoint=ask.process[0],
            limit_per_s=ask.statement.rate,
            limit_age_s=round(self._clock() - ask.statement.stated_at, 3),
            is_answered=answer is not None,
            max_wait_s=round(ask.max_wait_s, 3),
            wait_s=None if answer is None else round(answer.wait_s, 3),
            retry_s=None if answer is None else round(answer.retry_s, 3),
        )
