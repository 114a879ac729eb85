"""Records attempts, as evidence about the version that runs them."""

import contextlib
import functools
from collections.abc import Iterator
from typing import Final

from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.rollouts.evidence import AnswerOutcome
from laurelwind.coordination.rollouts.latencies import (
    Latency,
    LatencyGroup,
    OpenAnswer,
    OpenAnswers,
)
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.suspects.explanations import CrashExplanations
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.errors import EndpointSilentError
from laurelwind.state.directory import EndpointDirectory
from laurelwind.state.load import read_monotonic_clock

# Events after which the latency of a stream is recorded, whether or not it has
# ended, and the fewest by which a stream that ended is compared. The latency of
# a shorter one depends more on the other prompts of its batch.
LATENCY_EVENTS: Final = 16
MIN_LATENCY_EVENTS: Final = 8


class AttemptTimings:
    """Records the latency of each attempt once, as soon as it is known.

    An attempt that takes far longer than the version in use counts while it is
    under way: the answers of a slow version are the last to end.

    :param rollouts: tracks the latencies of versions.
    :param screen: knows the requests that crash endpoints.
    :param directory: registered endpoints.
    """

    def __init__(
        self,
        *,
        rollouts: RolloutRegistry,
        screen: SuspectScreen,
        directory: EndpointDirectory,
    ) -> None:
        self._rollouts = rollouts
        self._explanations = CrashExplanations(
            screen=screen, directory=directory
        )
        self._open = OpenAnswers(baselines=rollouts.baselines)

    @contextlib.contextmanager
    def track(self, job: Job, attempt: Attempt) -> Iterator[None]:
        """Time an attempt within the ``with`` statement.

        :param job: the request.
        :param attempt: the attempt.
        """
        record_overdue = functools.partial(self._record_overdue, job, attempt)
        answer = OpenAnswer(
            group=_get_group(job, attempt),
            sent_at=attempt.sent_at,
            record_overdue=record_overdue,
        )
        if self._rollouts.is_undecided(job.service):
            self._open.add(answer)
        try:
            yield
        except EndpointSilentError:
            record_overdue()
            raise
        finally:
            self._open.discard(answer)

    def record_events(self, job: Job, attempt: Attempt) -> None:
        """Record the latency of a stream that has enough events.

        :param job: the request.
        :param attempt: the attempt.
        """
        if attempt.events >= LATENCY_EVENTS and not attempt.is_timed:
            attempt.is_timed = True
            self._rollouts.record_latency(
                attempt.endpoint,
                _get_group(job, attempt),
                _measure(attempt),
            )

    def record_outcome(
        self, job: Job, attempt: Attempt, *, failed: bool, has_broken: bool
    ) -> None:
        """Record the end of an attempt for its version.

        :param job: the request.
        :param attempt: the attempt.
        :param failed: whether it failed.
        :param has_broken: whether its connection broke.
        """
        is_explained = None
        if has_broken:
            is_explained = functools.partial(
                self._explanations.is_explained,
                attempt.endpoint,
                read_monotonic_clock(),
            )
        self._rollouts.record_outcome(
            attempt.endpoint,
            AnswerOutcome(
                route=job.route.name,
                comparison_group=attempt.model,
                failed=failed,
                latency=self._take_latency(attempt),
                is_explained=is_explained,
            ),
        )

    def _take_latency(self, attempt: Attempt) -> Latency | None:
        if attempt.is_timed:
            return None
        attempt.is_timed = True
        return _measure(attempt)

    def _record_overdue(self, job: Job, attempt: Attempt) -> None:
        if attempt.is_timed:
            return
        attempt.is_timed = True
        self._rollouts.record_latency(
            attempt.endpoint,
            _get_group(job, attempt),
            Latency(unit_s=None, elapsed_s=attempt.elapsed_s, is_overdue=True),
        )


def _get_group(job: Job, attempt: Attempt) -> LatencyGroup:
    return job.service, job.route.name, attempt.model


def _measure(attempt: Attempt) -> Latency:
    elapsed_s = attempt.elapsed_s
    if not attempt.events:
        return Latency(unit_s=elapsed_s, elapsed_s=elapsed_s)
    unit_s = None
    if attempt.events >= MIN_LATENCY_EVENTS:
        streamed_s = attempt.last_event_at - attempt.first_byte_at
        unit_s = streamed_s / (attempt.events - 1)
    return Latency(unit_s=unit_s, elapsed_s=elapsed_s)
