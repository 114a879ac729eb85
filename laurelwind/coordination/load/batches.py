"""What the endpoints of one class have in common, as this daemon sees it."""

from typing import Final

from attrs import define, field

from laurelwind.coordination.load.token_statistics import TokenStatistics

# Weight of each request or report in a moving average.
_WEIGHT: Final = 0.05
# Shortest time for which requests hold a slot, in seconds, so that a rate can
# be derived from it.
_MIN_HOLD_S: Final = 0.02


@define(kw_only=True)
class BatchStatistics:
    """Usual state of the endpoints that serve one class.

    :ivar tokens: tokens that requests may hold.
    :ivar requests: requests at an endpoint, by the reports.
    :ivar hold_s: seconds for which a request holds a slot, at the usual pace.
    :ivar report_age_s: age of the reports by which requests were placed.
    """

    tokens: TokenStatistics = field(factory=TokenStatistics)
    requests: float = 0
    hold_s: float = 0
    report_age_s: float = 0

    def record_report(self, requests: float) -> None:
        """Apply the requests that an endpoint reports."""
        self.requests += (requests - self.requests) * _WEIGHT

    def record_hold(self, hold_s: float) -> None:
        """Apply the seconds for which a request held a slot."""
        before_s = self.hold_s or hold_s
        self.hold_s = before_s + (hold_s - before_s) * _WEIGHT

    def record_report_age(self, age_s: float) -> None:
        """Apply the age of a report by which an endpoint was compared."""
        before_s = self.report_age_s or age_s
        self.report_age_s = before_s + (age_s - before_s) * _WEIGHT

    def estimate_arrivals(self, elapsed_s: float) -> float:
        """Estimate the requests that reach an endpoint in some time.

        In the long run as many arrive as end.

        :param elapsed_s: the time in seconds.
        """
        if not self.hold_s:
            return 0
        return self.requests / max(self.hold_s, _MIN_HOLD_S) * elapsed_s
