"""Permits to send requests to endpoints that state a rate limit.

One daemon holds the permits of each such endpoint. The others ask it for one
permit per request, by datagram.
"""

from collections.abc import Callable
from typing import Final

from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.limits.endpoint_limits import EndpointLimits
from laurelwind.coordination.limits.limit_gossip import LimitGossip
from laurelwind.coordination.limits.permit_asks import PermitAsks
from laurelwind.coordination.limits.permit_refusals import PermitRefusals
from laurelwind.decisions import DecisionLog
from laurelwind.protocol.permits import PermitAnswer, PermitAsk
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rate_limits import EndpointProcess, get_process

# Seconds for which a permit can be used after it is due.
PERMIT_TTL_S: Final = 0.5


@frozen(kw_only=True)
class Permit:
    """Permission to send one request to an endpoint.

    :ivar process: the endpoint.
    :ivar ask: the ask that was granted, or ``None`` if the endpoint had no
        limit.
    :ivar due_at: moment from which it may be used, on the monotonic clock.
    """

    process: EndpointProcess
    ask: PermitAsk | None = None
    due_at: float = 0


class EndpointPermits:
    """Acquires permits from their holders.

    :param limits: the rate limits that endpoints state.
    :param gossip: spreads changes of the limits.
    :param asks: exchanges asks with other daemons.
    :param count: called with the outcome of each ask.
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
        log: DecisionLog,
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self.limits = limits
        self.refusals = PermitRefusals(table=limits.table, clock=clock)
        self._asks = asks
        self._gossip = gossip
        self._count = count
        self._log = log
        self._clock = clock

    def start(self, group: TaskGroup) -> None:
        """Start to spread limits, and to answer the asks of other daemons.

        :param group: task group of the daemon.
        """
        self._gossip.start(group)
        self._asks.start(group)

    async def acquire(
        self, request_id: str, endpoint: EndpointRecord, max_wait_s: float = 0
    ) -> Permit | None:
        """Return a permit, or ``None`` if there is none within a time.

        :param request_id: the request, for the log.
        :param endpoint: the endpoint.
        :param max_wait_s: longest wait until the permit is due, in seconds.
        """
        process = get_process(endpoint)
        statement = self.limits.table.find(process)
        if statement is None:
            return Permit(process=process)
        ask = PermitAsk(
            number=self._asks.draw_number(),
            asker=self._asks.local_address,
            process=process,
            zone=endpoint.zone,
            max_wait_s=max_wait_s,
            statement=statement,
        )
        with self.refusals.track_ask(ask):
            answer = await self._asks.send(ask)
        if answer is None or not answer.is_granted:
            self._record_refusal(request_id, ask, answer)
            return None
        self._count('granted')
        return Permit(
            process=process, ask=ask, due_at=self._clock() + answer.wait_s
        )

    def is_valid(self, permit: Permit) -> bool:
        """Return whether a request may be sent with a permit now.

        :param permit: the permit.
        """
        if self.limits.table.find(permit.process) is None:
            return True
        is_limited = permit.ask is not None
        return is_limited and self._clock() <= permit.due_at + PERMIT_TTL_S

    def give_back(self, permit: Permit) -> None:
        """Return a permit with which nothing was sent.

        :param permit: the permit.
        """
        if permit.ask is not None:
            self._count('returned')
            self._asks.give_back(permit.ask)

    def retain(self, names: set[str]) -> None:
        """Discard what is known of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        self.limits.table.retain(names)
        self.refusals.retain(names)
        self._asks.retain(names)

    def _record_refusal(
        self, request_id: str, ask: PermitAsk, answer: PermitAnswer | None
    ) -> None:
        self.refusals.record(ask, answer)
        self._count('unanswered' if answer is None else 'refused')
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
