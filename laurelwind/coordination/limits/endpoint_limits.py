"""The rate limits that endpoints state, and the log of their changes."""

from collections.abc import Sequence

from laurelwind.coordination.relay_jobs import Attempt
from laurelwind.decisions import DecisionLog
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rate_limits import (
    EndpointProcess,
    LimitChange,
    LimitStatement,
    RateLimits,
    parse_rate_limit,
)


class EndpointLimits:
    """Applies what answers state about rate limits.

    :param log: decision log.
    :ivar table: the newest statement of each endpoint.
    """

    def __init__(self, *, log: DecisionLog) -> None:
        self.table = RateLimits()
        self._log = log

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

    def apply(
        self, process: EndpointProcess, statement: LimitStatement
    ) -> LimitChange | None:
        """Apply a statement; return what it changes.

        :param process: the endpoint.
        :param statement: what its answer says.
        """
        change = self.table.apply(process, statement)
        if change is not None:
            self._log.log_warning(
                'endpoint_limit',
                endpoint=process[0],
                change=change,
                limit_per_s=statement.rate,
            )
        return change


def get_process(endpoint: EndpointRecord) -> EndpointProcess:
    """Return the key of an endpoint's process.

    :param endpoint: the endpoint.
    """
    return endpoint.name, endpoint.started_ms
