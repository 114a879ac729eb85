"""What endpoints state about themselves in the heads of their answers."""

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from attrs import frozen

from laurelwind.coordination.limits.endpoint_limits import EndpointLimits
from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.decisions import DecisionLog
from laurelwind.protocol.exchanges import AnswerHead, LoadReport
from laurelwind.state.directory import EndpointDirectory, EndpointRecord

# Longest pause that an endpoint is granted, in seconds. An endpoint that asks
# for more is asked again after this time.
MAX_PAUSE_S: Final = 60.0


def _ignore_answer(attempt: Attempt) -> None:
    """Record nothing."""


@frozen(kw_only=True)
class EndpointNotices:
    """Applies the load, pauses, departures and limits that endpoints state.

    :param placement: tracks the load and the pauses.
    :param limits: tracks the rate limits.
    :param directory: tracks which endpoints are leaving.
    :param notify_leaving: notifies other daemons of the name of an endpoint
        that is about to stop, and the start time of its process.
    :param log: decision log.
    :param record_answer: called with each attempt whose answer begins.
    """

    placement: Placement
    limits: EndpointLimits
    directory: EndpointDirectory
    notify_leaving: Callable[[str, int], None]
    log: DecisionLog
    record_answer: Callable[[Attempt], None] = _ignore_answer

    def apply(self, attempt: Attempt, head: AnswerHead) -> None:
        """Apply what the head of an answer states about its endpoint.

        :param attempt: the attempt that is answered.
        :param head: head of any answer, also of a refusal.
        """
        self.record_answer(attempt)
        endpoint = attempt.endpoint
        if head.status != HTTPStatus.MISDIRECTED_REQUEST:
            # Another endpoint may have answered at this address.
            self.limits.record_answer(attempt, head.rate_limits)
            if self.limits.cold is not None:
                self.limits.cold.record_answer(endpoint, attempt.sent_at)
        if head.load is not None and _is_useful(attempt, head.load):
            self.placement.record_report(endpoint, head.load)
        if head.is_leaving:
            self._record_leaving(endpoint)
        if head.retry_after:
            self._record_pause(endpoint, head.retry_after)

    def _record_leaving(self, endpoint: EndpointRecord) -> None:
        if self.directory.record_leaving(endpoint.name, endpoint.started_ms):
            self.notify_leaving(endpoint.name, endpoint.started_ms)
            self.log.log_warning(
                'endpoint_leaving',
                endpoint=endpoint.name,
                service=endpoint.service,
                started_ms=endpoint.started_ms,
            )

    def _record_pause(self, endpoint: EndpointRecord, text: str) -> None:
        pause_s = parse_pause(text)
        self.log.log_warning(
            'endpoint_paused' if pause_s else 'pause_ignored',
            endpoint=endpoint.name,
            asked=text,
            pause_s=pause_s,
        )
        if pause_s:
            self.placement.record_pause(endpoint, pause_s)


def _is_useful(attempt: Attempt, report: LoadReport) -> bool:
    """Return whether a report says something of the next requests.

    Requests without a prompt last some milliseconds, less than their endpoint's
    pace and queue stay the same.
    """
    return report.slowdown is None or attempt.prompt_tokens > 0


def parse_pause(text: str) -> float:
    """Return the seconds of a pause, at most ``MAX_PAUSE_S``.

    :param text: number of seconds; anything else, such as a date, gives zero.
    """
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if math.isnan(seconds):
        return 0
    return min(max(seconds, 0), MAX_PAUSE_S)
