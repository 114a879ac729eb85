"""Learns from streams, and moves those that would miss their deadline."""

from typing import Final

from laurelwind.coordination.job_requirements import build_traits
from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.selection import EndpointSelector
from laurelwind.decisions import DecisionLog
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Fewest events from which the rate of a stream is derived, and the interval at
# which a stream is reviewed, first after its first event: a review forecasts a
# few endpoints, and the rate over a shorter time depends on single prompts.
MIN_EVENTS: Final = 6
REVIEW_INTERVAL_S: Final = 0.5
# Shares of the time left beyond which a stream counts as late where it is, and
# within which it must be complete elsewhere.  A move repeats the prefill, and
# lengths are estimates.
LATE_SHARE: Final = 1.1
IN_TIME_SHARE: Final = 0.8


class StreamLateError(Exception):
    """A stream is moved, as it would be incomplete at its deadline."""


class StreamProgress:
    """Follows streams, and moves some to endpoints that end them in time.

    Applies where endpoints report their pace.  A stream moves once, if it can
    be resumed, within the limits on attempts and retries.

    :param selector: selects endpoints within the limits on retries.
    :param placement: learns from streams, and forecasts them.
    :param log: decision log.
    """

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        placement: Placement,
        log: DecisionLog,
    ) -> None:
        self._selector = selector
        self._placement = placement
        self._log = log

    def record_first_event(self, attempt: Attempt) -> None:
        """Record that the first event of an attempt arrived.

        :param attempt: the attempt.
        """
        self._placement.record_first_event(
            attempt.endpoint, attempt.elapsed_s, attempt.prefill_s
        )

    def record_end(self, job: Job) -> None:
        """Record a complete stream.

        :param job: the request.
        """
        # A stream that its caller resumed is longer than what was seen of it.
        if not job.request.last_event_id:
            self._placement.record_length(job.service, build_traits(job))

    def review(self, job: Job, attempt: Attempt) -> None:
        """Review a stream after events were delivered.

        :param job: the request.
        :param attempt: the attempt that is answered.
        :raises StreamLateError: if the stream is to move; the retries for it
            are held.
        """
        if not _is_due(job, attempt):
            return
        attempt.reviewed_at = read_monotonic_clock()
        finish_s = self._predict_finish(job, attempt)
        if finish_s <= job.remaining_s * LATE_SHARE:
            return
        other = self._selector.placement.choose_untried(job, attempt.endpoint)
        other_s = None if other is None else self._forecast(job, other)
        if other_s is None or other_s > job.remaining_s * IN_TIME_SHARE:
            return
        obstacle = self._selector.reserve_move(job, attempt.endpoint)
        self._log.log_info(
            'stream_late',
            request=job.request.request_id,
            endpoint=attempt.endpoint.name,
            finish_s=round(finish_s, 3),
            elsewhere_s=round(other_s, 3),
            left_s=round(job.remaining_s, 3),
            events=job.events,
            obstacle=obstacle,
        )
        if obstacle is None:
            job.has_moved = True
            raise StreamLateError

    def _predict_finish(self, job: Job, attempt: Attempt) -> float:
        """Predict the seconds to the last event, zero if unknown."""
        lengths = self._placement.get_service_load(job.service).lengths
        expected = lengths.estimate_events(
            job.route.name, job.request.length_hint, job.events
        )
        streamed_s = attempt.last_event_at - attempt.first_event_at
        unit_s = streamed_s / (attempt.events - 1)
        return max(expected - job.events, 0) * unit_s

    def _forecast(self, job: Job, endpoint: EndpointRecord) -> float | None:
        forecast = self._placement.forecast_at(endpoint, build_traits(job))
        return None if forecast is None else forecast.finish_s


def _is_due(job: Job, attempt: Attempt) -> bool:
    """Return whether a stream can be judged and moved at all.

    A caller that reads slowly makes any endpoint look slow, and one that
    resumes a stream itself does not state how much it has.
    """
    if attempt.reservation is None or job.has_moved:
        return False
    if not job.route.is_resumable or job.request.last_event_id:
        return False
    if attempt.events < MIN_EVENTS or not attempt.is_up_to_date:
        return False
    reviewed_at = max(attempt.reviewed_at, attempt.first_event_at)
    return read_monotonic_clock() - reviewed_at >= REVIEW_INTERVAL_S
