"""Memory that requests of other daemons hold at an endpoint, by estimate."""

import math
from typing import Final

from attrs import define, frozen

# Smallest weight of a request: about the last 100 count.
_MIN_WEIGHT: Final = 0.01
# Requests of this daemon from which its own statistics count.
_MIN_SAMPLES: Final = 4
# Weight of the statistics of one other daemon, and the age at which those of
# all others count no longer.
REPORT_WEIGHT: Final = 0.05
REPORT_TTL_S: Final = 10.0
# Standard deviations by which the estimate exceeds the mean: an endpoint whose
# memory runs out crashes, while one that is left out costs little.
MARGIN_DEVIATIONS: Final = 3.0


@frozen(kw_only=True)
class TokenMoments:
    """Mean and standard deviation of the tokens that a request may hold.

    :ivar mean: mean of the tokens.
    :ivar deviation: their standard deviation.
    """

    mean: float = 0
    deviation: float = 0


@define(kw_only=True)
class TokenStatistics:
    """Tokens that requests of a class may hold, here and at other daemons.

    A daemon sees few requests, so that its own mean may be far too low; the
    larger one of its own and of the others' counts.

    :ivar mean: moving average of the tokens.
    :ivar variance: moving variance of the tokens.
    :ivar samples: requests of this daemon, up to the number that counts.
    :ivar remote: moving average over the statistics of other daemons.
    :ivar remote_at: moment of the last of these, or minus infinity.
    """

    mean: float = 0
    variance: float = 0
    samples: int = 0
    remote: TokenMoments = TokenMoments()
    remote_at: float = -math.inf

    def record(self, tokens: float) -> None:
        """Apply the tokens that a request may hold at its end.

        :param tokens: tokens of its prompt and of its longest answer.
        """
        weight = max(1 / (self.samples + 1), _MIN_WEIGHT)
        excess = tokens - self.mean
        self.mean += weight * excess
        self.variance = (1 - weight) * (
            self.variance + weight * excess * excess
        )
        self.samples = min(self.samples + 1, round(1 / _MIN_WEIGHT))

    def measure(self) -> TokenMoments:
        """Return the statistics of this daemon's requests, for other daemons.

        They are zero while there are too few requests.
        """
        if self.samples < _MIN_SAMPLES:
            return TokenMoments()
        return TokenMoments(mean=self.mean, deviation=math.sqrt(self.variance))

    def record_remote(self, moments: TokenMoments, now: float) -> None:
        """Apply the statistics of another daemon.

        :param moments: its statistics; a mean of zero is ignored.
        :param now: the current moment.
        """
        if moments.mean <= 0:
            return
        is_first = now - self.remote_at > REPORT_TTL_S
        weight = 1 if is_first else REPORT_WEIGHT
        before = self.remote
        self.remote = TokenMoments(
            mean=before.mean + (moments.mean - before.mean) * weight,
            deviation=before.deviation
            + (moments.deviation - before.deviation) * weight,
        )
        self.remote_at = now

    def estimate_total(
        self, requests: float, now: float, usual: float = 0
    ) -> float:
        """Estimate the tokens that requests hold together, on the safe side.

        :param requests: number of requests.
        :param now: the current moment.
        :param usual: tokens of a request while too little is known.
        """
        has_remote = now - self.remote_at <= REPORT_TTL_S
        moments = [
            self.measure(),
            self.remote if has_remote else TokenMoments(),
        ]
        mean = max(known.mean for known in moments)
        deviation = max(known.deviation for known in moments)
        if not mean:
            mean = max(usual, self.mean)
        margin = MARGIN_DEVIATIONS * deviation * math.sqrt(max(requests, 0))
        return mean * requests + margin
