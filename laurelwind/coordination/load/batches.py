"""What the endpoints of one class have in common, as this daemon sees it."""

import math
from typing import Final

from attrs import define, field

from laurelwind.coordination.load.token_statistics import TokenStatistics

# Weight of each request or report in a moving average.
_WEIGHT: Final = 0.05
# Standard deviations by which the requests since a report exceed the mean.
SURPLUS_DEVIATIONS: Final = 3.0
# Multiple of the usual age from which a report counts as overdue, and the
# largest factor by which an overdue one raises the requests since.
OVERDUE_RATIO: Final = 1.5
MAX_OVERDUE: Final = 3.0
# Shortest usual age of a report, in seconds.
_MIN_AGE_S: Final = 0.05
# Shortest time for which requests hold a slot, in seconds, so that a rate can
# be derived from it.
_MIN_HOLD_S: Final = 0.02


@define(kw_only=True)
class BatchStatistics:
    """Usual state of the endpoints that serve one class.

    :ivar tokens: tokens that requests may hold.
    :ivar requests: requests at an endpoint, by the reports.
    :ivar surplus: requests in a new report beyond those that were estimated.
    :ivar surplus_variance: moving variance of the surplus.
    :ivar hold_s: seconds for which a request holds a slot, at the usual pace.
    :ivar report_age_s: age of the reports by which requests were placed.
    """

    tokens: TokenStatistics = field(factory=TokenStatistics)
    requests: float = 0
    surplus: float = 0
    surplus_variance: float = 0
    hold_s: float = 0
    report_age_s: float = 0

    def record_report(self, requests: float) -> None:
        """Apply the requests that an endpoint reports."""
        self.requests += (requests - self.requests) * _WEIGHT

    def record_surplus(self, surplus: float) -> None:
        """Apply the requests in a report beyond those that were estimated."""
        excess = surplus - self.surplus
        self.surplus += excess * _WEIGHT
        self.surplus_variance = (1 - _WEIGHT) * (
            self.surplus_variance + _WEIGHT * excess * excess
        )

    def record_hold(self, hold_s: float) -> None:
        """Apply the seconds for which a request held a slot."""
        before_s = self.hold_s or hold_s
        self.hold_s = before_s + (hold_s - before_s) * _WEIGHT

    def record_report_age(self, age_s: float) -> None:
        """Apply the age of a report by which an endpoint was compared."""
        before_s = self.report_age_s or age_s
        self.report_age_s = before_s + (age_s - before_s) * _WEIGHT

    def estimate_unseen(self, age_s: float) -> float:
        """Estimate the requests since a report, on the safe side.

        In the long run as many arrive as end, but under overload all daemons
        turn to the endpoints that have room.  How far the reports exceeded the
        estimates lately shows it.  An endpoint whose report is older than usual
        may have stalled, while requests for it go on.

        :param age_s: age of the report in seconds.
        """
        arrivals: float = 0
        if self.hold_s:
            arrivals = self.requests / max(self.hold_s, _MIN_HOLD_S) * age_s
        deviation = math.sqrt(self.surplus_variance)
        unseen = max(arrivals, self.surplus + SURPLUS_DEVIATIONS * deviation)
        overdue = age_s / max(self.report_age_s, _MIN_AGE_S) / OVERDUE_RATIO
        return max(unseen, 0) * min(max(overdue, 1), MAX_OVERDUE)
