"""Observed state of an endpoint, with the lifetime of each observation."""

from typing import Final

from attrs import define, field

from laurelwind.coordination.load.arrivals import RecentArrivals
from laurelwind.coordination.load.paces import PaceEstimate
from laurelwind.protocol.exchanges import LoadReport

# Lifetime of an endpoint's load report.
REPORT_TTL_S: Final = 1.5
# Time over which an expired report of an endpoint that states its pace is
# forgotten, and after which an arrival told by another daemon is.
OVERDUE_REPORT_S: Final = 6.0
ARRIVAL_TTL_S: Final = 3.0
# Time over which the queueing delay observed from an answer decays to zero.
DELAY_TTL_S: Final = 1.5
# Lifetime of the latency per event after the last event, and the weight of each
# event in the moving average.
UNIT_LATENCY_TTL_S: Final = 2.0
UNIT_LATENCY_WEIGHT: Final = 0.1
# Weight of each outcome in the expected loss, and the time over which the loss
# decays to zero.  The loss covers endpoints that fail only some requests, which
# the backoff does not: each success ends it.
OUTCOME_WEIGHT: Final = 0.25
EXPECTED_LOSS_TTL_S: Final = 6.0
# Weight of a 5xx answer, which is often caused by the request itself.
SERVER_ERROR_WEIGHT: Final = 0.1
# Weight of a loss that another daemon reports.  Daemons report losses only, so
# their reports say less about the share that is lost.
REMOTE_LOSS_WEIGHT: Final = 0.15


@define(kw_only=True)
class EndpointState:
    """State of one endpoint as observed by this daemon.

    All moments are on the monotonic clock.

    :ivar in_flight: this daemon's requests in flight.
    :ivar queued_prefill_s: queued prefill time in seconds, as of
        ``queued_prefill_at``.
    :ivar observed_delay_s: queueing delay in seconds seen in the last answers,
        as of ``observed_delay_at``.
    :ivar report: last reported load, as of ``reported_at``.
    :ivar in_flight_at_report: value of ``in_flight`` at ``reported_at``.
    :ivar unit_latency_s: seconds per event, as of ``unit_latency_at``.
    :ivar last_response_at: moment of the last event or complete answer, or
        minus infinity.
    :ivar failures: consecutive failures since the last success.
    :ivar failed_at: moment of the last one that counts, or minus infinity.
    :ivar backoff_until: end of the backoff.
    :ivar silent_requests: this daemon's requests that wait for the endpoint
        beyond their time-out.
    :ivar paused_until: end of the pause that the endpoint asked for.
    :ivar pause_s: length of that pause.
    :ivar expected_loss_s: moving average of the seconds that a request loses
        at the endpoint by failures, as of ``expected_loss_at``.
    :ivar service: name of its service, or empty before its first report.
    :ivar pace: smoothed pace.
    :ivar arrivals: requests sent to it lately.
    :ivar held_tokens: tokens that this daemon's requests there may hold.
    """

    in_flight: int = 0
    queued_prefill_s: float = 0
    queued_prefill_at: float = 0
    observed_delay_s: float = 0
    observed_delay_at: float = 0
    report: LoadReport | None = None
    reported_at: float = 0
    in_flight_at_report: int = 0
    unit_latency_s: float = 0
    unit_latency_at: float = 0
    last_response_at: float = float('-inf')
    failures: int = 0
    failed_at: float = float('-inf')
    backoff_until: float = 0
    silent_requests: int = 0
    paused_until: float = 0
    pause_s: float = 0
    expected_loss_s: float = 0
    expected_loss_at: float = 0
    service: str = ''
    pace: PaceEstimate = field(factory=PaceEstimate)
    arrivals: RecentArrivals = field(factory=RecentArrivals)
    held_tokens: int = 0

    def is_avoided(self, now: float) -> bool:
        """Return whether requests are sent to other endpoints if possible."""
        return bool(self.silent_requests) or self.backoff_until > now

    def estimate_load(self, now: float) -> float:
        """Estimate the number of running and queued requests."""
        if self.report is None or now - self.reported_at > REPORT_TTL_S:
            return self.in_flight
        others = (
            self.report.running + self.report.waiting - self.in_flight_at_report
        )
        return max(others, 0) + self.in_flight

    def get_report(self, now: float) -> LoadReport | None:
        """Return the last load report, unless it has expired."""
        is_expired = now - self.reported_at > REPORT_TTL_S
        return None if is_expired else self.report

    def get_remaining_share(self, now: float) -> float:
        """Return how much of the last report still counts, 0 to 1."""
        overdue_s = max(now - self.reported_at - REPORT_TTL_S, 0)
        return max(1 - overdue_s / OVERDUE_REPORT_S, 0)

    def estimate_requests(self, now: float) -> float:
        """Estimate the requests there, with those sent since the report.

        An endpoint reports when it answers, so one without a new report may be
        overloaded: the others of the last one are forgotten gradually.
        """
        if self.report is None:
            return self.in_flight
        reported = self.report.running + self.report.waiting
        others = max(reported - self.in_flight_at_report, 0)
        remaining = self.get_remaining_share(now)
        sent_since, _ = self.arrivals.count_remote(
            max(self.reported_at, now - ARRIVAL_TTL_S)
        )
        return others * remaining + sent_since + self.in_flight

    def get_expected_loss(self, now: float) -> float:
        """Return the expected loss in seconds, decayed linearly with age."""
        remaining = max(
            1 - (now - self.expected_loss_at) / EXPECTED_LOSS_TTL_S, 0
        )
        return self.expected_loss_s * remaining

    def record_failure(self, silent_since: float, now: float) -> None:
        """Count a failure, unless it is the same silence as the last one."""
        if not self.failures or silent_since >= self.failed_at:
            self.failures += 1
            self.failed_at = now

    def record_loss(
        self, lost_s: float, now: float, weight: float = OUTCOME_WEIGHT
    ) -> None:
        """Apply the seconds that a request lost: zero for a success."""
        expected_s = self.get_expected_loss(now)
        self.expected_loss_s = expected_s + (lost_s - expected_s) * weight
        self.expected_loss_at = now

    def estimate_return_share(self, now: float) -> float:
        """Return how far the endpoint has returned from its pause, 0 to 1.

        The return takes as long as the pause.
        """
        if not self.pause_s:
            return 1
        return min(max((now - self.paused_until) / self.pause_s, 0), 1)

    def get_unit_latency(self, now: float) -> float:
        """Return the seconds per event, or zero when unknown or expired."""
        return (
            self.unit_latency_s
            if now - self.unit_latency_at < UNIT_LATENCY_TTL_S
            else 0
        )

    def record_unit_latency(self, unit_latency_s: float, now: float) -> None:
        """Apply a measured latency per event."""
        previous_s = self.get_unit_latency(now) or unit_latency_s
        self.unit_latency_s = (
            previous_s + (unit_latency_s - previous_s) * UNIT_LATENCY_WEIGHT
        )
        self.unit_latency_at = now

    def estimate_queued_prefill(self, now: float) -> float:
        """Estimate the queued prefill time that remains, in seconds."""
        return max(self.queued_prefill_s - (now - self.queued_prefill_at), 0)

    def estimate_observed_delay(self, now: float) -> float:
        """Return the observed queueing delay, decayed linearly with age."""
        return self.observed_delay_s * max(
            1 - (now - self.observed_delay_at) / DELAY_TTL_S, 0
        )

    def estimate_queue_delay(self, now: float) -> float:
        """Estimate the seconds until a new request would start."""
        return max(
            self.estimate_queued_prefill(now), self.estimate_observed_delay(now)
        )

    def record_observed_delay(
        self, observed_delay_s: float, now: float
    ) -> None:
        """Apply the time to first byte in excess of the prefill time."""
        self.observed_delay_s = (
            self.estimate_observed_delay(now) + observed_delay_s
        ) / 2
        self.observed_delay_at = now

    def add_queued_prefill(self, prefill_s: float, now: float) -> None:
        """Add the prefill time of a queued prompt."""
        self.queued_prefill_s = self.estimate_queued_prefill(now) + prefill_s
        self.queued_prefill_at = now
