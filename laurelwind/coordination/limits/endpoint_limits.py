"""The rate limits that endpoints state, and the log of their changes."""

from collections.abc import Callable, Sequence

from attrs import frozen

from laurelwind.coordination.cold.endpoints import ColdEndpoints
from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.decisions import DecisionLog
from laurelwind.state.cold_endpoints import ColdStatement
from laurelwind.state.rate_limits import (
    EndpointProcess,
    LimitChange,
    LimitStatement,
    RateLimits,
    get_process,
    parse_rate_limit,
)


@frozen(kw_only=True)
class LimitEvent:
    """A limit that is stated anew, or lifted.

    :ivar process: the endpoint.
    :ivar statement: the statement that made the change.
    :ivar lasted_s: seconds for which the limit was in force, zero if it is new.
    """

    process: EndpointProcess
    statement: LimitStatement
    lasted_s: float = 0


class EndpointLimits:
    """Applies what answers state about rate limits.

    :param log: decision log.
    :param cold: the cold endpoints, or ``None`` if there are never any.
    :ivar table: the newest statement of each endpoint.
    :ivar cold: the cold endpoints, or ``None``.
    """

    def __init__(
        self, *, log: DecisionLog, cold: ColdEndpoints | None = None
    ) -> None:
        self.table = RateLimits(cold=None if cold is None else cold.table)
        self.cold = cold
        self._log = log
        self._listeners: list[Callable[[LimitEvent], None]] = []

    def add_listener(self, listener: Callable[[LimitEvent], None]) -> None:
        """Register a callback for limits that are stated anew or lifted.

        :param listener: called with each change.
        """
        self._listeners.append(listener)

    def record_answer(self, attempt: Attempt, texts: Sequence[str]) -> None:
        """Record what an answer states.

        :param attempt: the attempt that is answered.
        :param texts: limits as sent, none if the answer states no limit.
        """
        rate = parse_rate_limit(texts)
        if texts and rate is None:
            self._log.log_warning(
                'limit_ignored', endpoint=attempt.endpoint.name, stated=texts
            )
            return
        self.apply(
            get_process(attempt.endpoint),
            LimitStatement(
                rate=rate,
                sent_at=attempt.sent_at,
                stated_at=attempt.first_byte_at,
            ),
        )

    def apply_cold(
        self, process: EndpointProcess, statement: ColdStatement | None
    ) -> None:
        """Apply what another daemon states about a cold endpoint.

        :param process: the endpoint.
        :param statement: the statement, or ``None``.
        """
        if self.cold is not None and statement is not None:
            self.cold.apply(process[0], statement)

    def apply(
        self, process: EndpointProcess, statement: LimitStatement
    ) -> None:
        """Apply a statement.

        :param process: the endpoint.
        :param statement: what its answer says.
        """
        known = self.table.find(process)
        change = self.table.apply(process, statement)
        if change is None:
            return
        self._log.log_warning(
            'endpoint_limit',
            endpoint=process[0],
            change=change,
            limit_per_s=statement.rate,
        )
        if change is LimitChange.CHANGED:
            return
        lasted_s = statement.stated_at - known.limited_at if known else 0
        event = LimitEvent(
            process=process, statement=statement, lasted_s=lasted_s
        )
        for listener in self._listeners:
            listener(event)
