"""Usual time per event of a stream, learned from the streams of a service."""

from typing import Final

from attrs import define

# Smallest weight of a measurement: about the last 200 events count.
_MIN_WEIGHT: Final = 0.005
# The estimate stays within these multiples of the mean, as the slope is
# uncertain far from the loads that were measured.
_MIN_RATIO: Final = 0.3
_MAX_RATIO: Final = 4.0
# Smallest variance of the load from which a slope is derived.
_MIN_VARIANCE: Final = 0.5


@define(kw_only=True)
class EventTimes:
    """Seconds per event at the usual pace, as a line over running requests.

    :ivar mean_s: moving average of the seconds per event.
    :ivar mean_running: moving average of the running requests.
    :ivar variance: moving variance of the running requests.
    :ivar covariance: moving covariance of both.
    :ivar weight: weight of the next measurement.
    """

    mean_s: float = 0
    mean_running: float = 0
    variance: float = 0
    covariance: float = 0
    weight: float = 1.0

    @property
    def slope_s(self) -> float:
        """Additional seconds per event for each running request."""
        if self.variance < _MIN_VARIANCE:
            return 0
        return max(self.covariance / self.variance, 0)

    def record(self, unit_s: float, running: float) -> None:
        """Apply a measurement.

        :param unit_s: seconds per event, divided by the slowdown.
        :param running: requests that run at the endpoint.
        """
        weight = self.weight
        running_excess = running - self.mean_running
        unit_excess_s = unit_s - self.mean_s
        self.mean_s += weight * unit_excess_s
        self.mean_running += weight * running_excess
        kept = 1 - weight
        self.variance = kept * (
            self.variance + weight * running_excess * running_excess
        )
        self.covariance = kept * (
            self.covariance + weight * running_excess * unit_excess_s
        )
        self.weight = max(weight / (1 + weight), _MIN_WEIGHT)

    def estimate(self, running: float) -> float:
        """Estimate the seconds per event; zero while nothing is known.

        :param running: requests that run at the endpoint.
        """
        estimate_s = self.mean_s + self.slope_s * (running - self.mean_running)
        return min(
            max(estimate_s, self.mean_s * _MIN_RATIO), self.mean_s * _MAX_RATIO
        )
