"""Smoothed pace of one endpoint, with its age."""

import math
from typing import Final

from attrs import define

# Time over which a reported slowdown replaces those before.  Endpoints change
# their pace many times a second, so one report says little of the next moment.
SMOOTHING_S: Final = 0.4
# Time over which the usual slowdown of an endpoint is learned.  Machines differ
# for good, and are slower for moments besides.
USUAL_SMOOTHING_S: Final = 15.0
# Time after which only the usual slowdown counts, exponentially.
RECENCY_S: Final = 1.0
# Weight of a report that arrives together with the one before.
_MIN_WEIGHT: Final = 0.05


@define(kw_only=True)
class PaceEstimate:
    """Slowdown of an endpoint, as a multiple of the usual time for work.

    All moments are on the monotonic clock.

    :ivar recent: slowdown smoothed over ``SMOOTHING_S``.
    :ivar usual: slowdown smoothed over ``USUAL_SMOOTHING_S``.
    :ivar reported_at: moment of the last report, or minus infinity.
    """

    recent: float = 1.0
    usual: float = 1.0
    reported_at: float = -math.inf

    @property
    def is_known(self) -> bool:
        """Whether the endpoint ever reported its pace."""
        return self.reported_at > -math.inf

    def record(self, slowdown: float, reported_at: float) -> None:
        """Apply a report; one that is older than the last is ignored.

        :param slowdown: the reported slowdown.
        :param reported_at: moment of the report.
        """
        if not self.is_known:
            self.recent = slowdown
            self.usual = slowdown
        elif reported_at < self.reported_at:
            return
        elapsed_s = reported_at - self.reported_at
        self.recent += (slowdown - self.recent) * _compute_weight(
            elapsed_s, SMOOTHING_S
        )
        self.usual += (slowdown - self.usual) * _compute_weight(
            elapsed_s, USUAL_SMOOTHING_S
        )
        self.reported_at = reported_at

    def estimate(self, now: float) -> float:
        """Estimate the slowdown; it returns to the usual one with age.

        :param now: the current moment.
        """
        if not self.is_known:
            return 1.0
        age_s = max(now - self.reported_at, 0)
        recency = math.exp(-age_s / RECENCY_S)
        return self.usual + (self.recent - self.usual) * recency


def _compute_weight(elapsed_s: float, smoothing_s: float) -> float:
    weight = 1 - math.exp(-elapsed_s / smoothing_s)
    return max(weight, _MIN_WEIGHT * SMOOTHING_S / smoothing_s)
