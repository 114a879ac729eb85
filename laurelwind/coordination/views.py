"""What a daemon has seen of one endpoint, and how long it believes it."""

from typing import Final

from attrs import define

from laurelwind.protocol.exchanges import EndpointReport

# How long an endpoint's report of its load is believed.
REPORT_LIFE_S: Final = 1.5
# How long the wait that an answer showed is believed, in part.
DELAY_LIFE_S: Final = 1.5
# How long an endpoint's pace is believed after its last event, and how much
# each event counts.
PACE_LIFE_S: Final = 2.0
PACE_WEIGHT: Final = 0.1
# An endpoint that fails some of its requests and serves others: how much each
# outcome counts, and how long it is remembered.
JUDGED_WEIGHT: Final = 0.25
JUDGED_LIFE_S: Final = 6.0
# The weight of an answer of 5xx, which is often the request's own fault.
ERROR_WEIGHT: Final = 0.1


@define(kw_only=True)
class EndpointView:
    """One endpoint as this daemon sees it.

    :ivar in_flight: this daemon's own requests there.
    :ivar work_s: seconds of prompts that waited there at ``work_at``.
    :ivar delay_s: wait that the last answers showed, as of ``delay_at``.
    :ivar report: what it last said of its load, at ``reported_at``.
    :ivar own_at_report: this daemon's own requests at that moment.
    :ivar pace_s: seconds that an event took, as of ``pace_at``.
    :ivar failures: failures since the last success.
    :ivar paused_until: it is avoided until then.
    :ivar failed_share: share of the last requests that failed, as of
        ``judged_at``.
    """

    in_flight: int = 0
    work_s: float = 0
    work_at: float = 0
    delay_s: float = 0
    delay_at: float = 0
    report: EndpointReport | None = None
    reported_at: float = 0
    own_at_report: int = 0
    pace_s: float = 0
    pace_at: float = 0
    failures: int = 0
    paused_until: float = 0
    failed_share: float = 0
    judged_at: float = 0

    def estimate_busy(self, now: float) -> float:
        """Estimate the requests that run or wait there."""
        if self.report is None or now - self.reported_at > REPORT_LIFE_S:
            return self.in_flight
        others = self.report.running + self.report.waiting - self.own_at_report
        return max(others, 0) + self.in_flight

    def read_failed_share(self, now: float) -> float:
        """Share of the last requests that failed, less as they grow old."""
        left = max(1 - (now - self.judged_at) / JUDGED_LIFE_S, 0)
        return self.failed_share * left

    def note_outcome(
        self, failed: float, now: float, weight: float = JUDGED_WEIGHT
    ) -> None:
        """Take in whether a request failed: one, or served: zero."""
        share = self.read_failed_share(now)
        self.failed_share = share + (failed - share) * weight
        self.judged_at = now

    def read_pace(self, now: float) -> float:
        """Seconds that an event took lately, or zero where none is known."""
        return self.pace_s if now - self.pace_at < PACE_LIFE_S else 0

    def note_pace(self, pace_s: float, now: float) -> None:
        """Take in the seconds that an event took."""
        known = self.read_pace(now) or pace_s
        self.pace_s = known + (pace_s - known) * PACE_WEIGHT
        self.pace_at = now

    def estimate_work(self, now: float) -> float:
        """Estimate the seconds of prompts that wait there to be read."""
        return max(self.work_s - (now - self.work_at), 0)

    def estimate_delay(self, now: float) -> float:
        """Estimate the wait from the last answers, less as they grow old."""
        return self.delay_s * max(1 - (now - self.delay_at) / DELAY_LIFE_S, 0)

    def estimate_behind(self, now: float) -> float:
        """Estimate the seconds until a new request would be begun."""
        return max(self.estimate_work(now), self.estimate_delay(now))

    def note_delay(self, delay_s: float, now: float) -> None:
        """Take in how long an answer waited beyond its own work."""
        self.delay_s = (self.estimate_delay(now) + delay_s) / 2
        self.delay_at = now

    def add_work(self, work_s: float, now: float) -> None:
        """Add a prompt that waits to be read."""
        self.work_s = self.estimate_work(now) + work_s
        self.work_at = now
