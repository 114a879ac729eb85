"""Logs and counts the requests that end without a complete answer."""

import enum
from collections.abc import Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from attrs import frozen

from laurelwind.decisions import DecisionLog
from laurelwind.errors import ErrorKind, LaurelwindError
from laurelwind.protocol.exchanges import CallerAnswer, RelayRequest
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.state.load import read_monotonic_clock

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
        ErrorKind.STOPPING: CutReason.STOPPING,
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
        self,
        request: RelayRequest,
        answer: CallerAnswer,
        error: LaurelwindError,
        arrived_at: float,
    ) -> None:
        """Record an error answer, or the cut of an answer that had begun.

        :param request: the request.
        :param answer: its answer.
        :param error: why the request is refused or fails.
        :param arrived_at: moment of arrival, on the monotonic clock.
        """
        self.metrics.refusals.labels(error.kind).inc()
        if answer.has_begun:
            reason = _CUT_REASONS.get(error.kind, CutReason.ENDPOINT_FAILED)
            self.record_cut(
                request, answer, reason, arrived_at, detail=error.message
            )
            return
        is_refused = error.status in _REFUSED_STATUSES
        self.log.log_warning(
            'refused' if is_refused else 'failed',
            request=request.request_id,
            path=request.path,
            kind=error.kind,
            status=error.status,
            reason=error.message,
            run=error.run,
            retry_after_s=error.retry_after_s,
            **self._describe_progress(answer, arrived_at),
        )

    def record_cut(
        self,
        request: RelayRequest,
        answer: CallerAnswer,
        reason: CutReason,
        arrived_at: float,
        *,
        detail: str,
    ) -> None:
        """Record that this daemon ends an exchange before its answer's end.

        :param request: the request.
        :param answer: its answer.
        :param reason: why.
        :param arrived_at: moment of arrival, on the monotonic clock.
        :param detail: the cause in plain English.
        """
        self.metrics.cut_answers.labels(reason).inc()
        self.log.log_warning(
            'cut',
            request=request.request_id,
            path=request.path,
            reason=reason,
            detail=detail,
            has_begun=answer.has_begun,
            **self._describe_progress(answer, arrived_at),
        )

    def record_caller_left(
        self, request: RelayRequest, answer: CallerAnswer, arrived_at: float
    ) -> None:
        """Record that the caller closed the connection.

        :param request: the request.
        :param answer: its answer.
        :param arrived_at: moment of arrival, on the monotonic clock.
        """
        self.log.log_info(
            'caller_left',
            request=request.request_id,
            has_begun=answer.has_begun,
            **self._describe_progress(answer, arrived_at),
        )

    def _describe_progress(
        self, answer: CallerAnswer, arrived_at: float
    ) -> dict[str, Any]:
        elapsed_s = read_monotonic_clock() - arrived_at
        return {
            'endpoint': answer.endpoint,
            'events': answer.events,
            'elapsed_ms': round(elapsed_s * _MS_PER_S),
            'stopping': self.is_stopping(),
        }
