"""Memory that requests of other daemons hold at an endpoint, by estimate."""

import math
from typing import Final

from attrs import define

# Smallest weight of a request: about the last 100 count.
_MIN_WEIGHT: Final = 0.01
# Standard deviations by which the estimate exceeds the mean: an endpoint whose
# memory runs out crashes, while one that is left out costs little.
MARGIN_DEVIATIONS: Final = 3.0


@define(kw_only=True)
class TokenStatistics:
    """Mean and variance of the tokens that a request of a class may hold.

    :ivar mean: moving average of the tokens.
    :ivar variance: moving variance of the tokens.
    :ivar weight: weight of the next request.
    """

    mean: float = 0
    variance: float = 0
    weight: float = 1.0

    def record(self, tokens: float) -> None:
        """Apply the tokens that a request may hold at its end.

        :param tokens: tokens of its prompt and of its longest answer.
        """
        excess = tokens - self.mean
        self.mean += self.weight * excess
        self.variance = (1 - self.weight) * (
            self.variance + self.weight * excess * excess
        )
        self.weight = max(self.weight / (1 + self.weight), _MIN_WEIGHT)

    def estimate_total(self, requests: float) -> float:
        """Estimate the tokens that requests hold together, on the safe side.

        :param requests: number of requests.
        """
        deviation = math.sqrt(self.variance * max(requests, 0))
        return self.mean * requests + MARGIN_DEVIATIONS * deviation
