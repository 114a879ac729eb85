"""Reports attempts whose endpoint may have crashed."""

from typing import Any

from attrs import asdict

from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.suspects.keys import (
    build_endpoint_key,
)
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.errors import (
    EndpointBrokenError,
    EndpointError,
    EndpointSilentError,
)
from laurelwind.protocol.crash_notices import limit_name
from laurelwind.state.abandoned_attempts import AbandonedAttempt
from laurelwind.state.crash_reports import CrashReport, select_requests
from laurelwind.state.endpoint_breaks import EndpointBreak
from laurelwind.state.load import read_monotonic_clock


class CrashReporter:
    """Reports attempts without a complete answer to the screen.

    :param screen: learns what crashes endpoints.
    :param placement: tracks the state of endpoints.
    """

    def __init__(self, *, screen: SuspectScreen, placement: Placement) -> None:
        self._screen = screen
        self._placement = placement

    def report_failed(
        self, job: Job, attempt: Attempt, error: EndpointError
    ) -> None:
        """Report an attempt that failed after it had reached its endpoint.

        :param job: the request.
        :param attempt: the attempt.
        :param error: its failure.
        """
        if isinstance(error, EndpointBrokenError):
            self._report_broken(job, attempt)
        elif isinstance(error, EndpointSilentError):
            self.report_abandoned(job, attempt)

    def report_abandoned(self, job: Job, attempt: Attempt) -> None:
        """Report an attempt that was given up while its endpoint worked on it.

        :param job: the request.
        :param attempt: the attempt.
        """
        self._screen.abandoned.add(
            AbandonedAttempt(
                endpoint=build_endpoint_key(attempt.endpoint),
                abandoned_at=read_monotonic_clock(),
                **_describe(job, attempt),
            )
        )

    def _report_broken(self, job: Job, attempt: Attempt) -> None:
        broken = EndpointBreak(
            endpoint=build_endpoint_key(attempt.endpoint),
            broke_at=read_monotonic_clock(),
            alive_at=self._placement.get_last_response_time(attempt.endpoint),
        )
        self._screen.record_break(broken)
        job.broken_attempts += not _has_begun(job, attempt)
        self._screen.record_crash(
            CrashReport(**asdict(broken), **_describe(job, attempt))
        )


def _describe(job: Job, attempt: Attempt) -> dict[str, Any]:
    keys = job.suspect_keys
    parts = job.request.parts
    request_id = job.request.request_id
    return {
        'attempt': limit_name(f'{job.attempts}/{request_id}'),
        'prompt': limit_name(parts[-1].name if parts else job.name),
        'keys': select_requests(keys) if _has_begun(job, attempt) else keys,
        'sent_at': attempt.sent_at,
    }


def _has_begun(job: Job, attempt: Attempt) -> bool:
    """Return whether the caller's answer has begun.

    Engines send the head of a stream before they begin to answer.
    """
    has_plain_head = attempt.first_byte_at > 0 and not job.is_stream
    return job.events > 0 or has_plain_head
