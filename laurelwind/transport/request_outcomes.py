"""Logs and counts the requests that end without a complete answer."""

import enum
from collections.abc import Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from attrs import frozen

from laurelwind.decisions import DecisionLog
from laurelwind.errors import ErrorKind, LaurelwindError
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.transport.exchange_answer import ExchangeAnswer

_MS_PER_S: Final = 1000
_REFUSED_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


class CutReason(enum.StrEnum):
    """Why this daemon ended an answer that had begun."""

    DEADLINE = 'deadline'
    ENDPOINT_FAILED = 'endpoint_failed'
    STOPPING = 'stopping'
    INTERNAL = 'internal'


_CUT_REASONS: Final[Mapping[ErrorKind, CutReason]] = MappingProxyType(
    {
        ErrorKind.DEADLINE_EXCEEDED: CutReason.DEADLINE,
        ErrorKind.INTERNAL: CutReason.INTERNAL,
    }
)


@frozen(kw_only=True)
class RequestOutcomes:
    """Records how requests ended; complete answers are logged elsewhere.

    :ivar log: decision log.
    :ivar metrics: counts error answers and cut answers.
    :ivar is_stopping: returns whether the daemon is stopping.
    """

    log: DecisionLog
    metrics: RelayMetrics
    is_stopping: Callable[[], bool]

    def record_error(
        self, answer: ExchangeAnswer, error: LaurelwindError
    ) -> None:
        """Record an error answer, or the cut of an answer that had begun.

        :param answer: answer to the request.
        :param error: why the request is refused or fails.
        """
        self.metrics.refusals.labels(error.kind).inc()
        if answer.has_begun:
            reason = _CUT_REASONS.get(error.kind, CutReason.ENDPOINT_FAILED)
            self.record_cut(answer, reason, detail=error.message)
            return
        is_refused = error.status in _REFUSED_STATUSES
        self.log.log_warning(
            'refused' if is_refused else 'failed',
            request=answer.request.request_id,
            path=answer.request.path,
            kind=error.kind,
            status=error.status,
            reason=error.message,
            run=error.run,
            retry_after_s=error.retry_after_s,
            **self._describe_progress(answer),
        )

    def record_cut(
        self, answer: ExchangeAnswer, reason: CutReason, *, detail: str
    ) -> None:
        """Record that this daemon ends an answer before it is complete.

        :param answer: the answer, which has begun.
        :param reason: why.
        :param detail: the cause in plain English.
        """
        self.metrics.cut_answers.labels(reason).inc()
        self.log.log_warning(
            'cut',
            request=answer.request.request_id,
            path=answer.request.path,
            reason=reason,
            detail=detail,
            **self._describe_progress(answer),
        )

    def record_caller_left(self, answer: ExchangeAnswer) -> None:
        """Record that the caller closed the connection.

        :param answer: answer to the request.
        """
        self.log.log_info(
            'caller_left',
            request=answer.request.request_id,
            has_begun=answer.has_begun,
            **self._describe_progress(answer),
        )

    def _describe_progress(self, answer: ExchangeAnswer) -> dict[str, Any]:
        return {
            'endpoint': answer.endpoint,
            'events': answer.events,
            'elapsed_ms': round(answer.elapsed_s * _MS_PER_S),
            'stopping': self.is_stopping(),
        }
