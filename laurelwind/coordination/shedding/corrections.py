"""Corrects forecasts by the delays that were observed.

Engines admit by priority, so a less urgent request also waits for urgent ones
that arrive after it. A forecast from the present queue does not hold these.
"""

import itertools
import math
from typing import Final

from attrs import define, field, frozen

# Weight of one observation, and the time over which the factor returns to 1.
OBSERVATION_WEIGHT: Final = 0.25
FORGET_S: Final = 5.0
# Share of the latency goal added to both delays, so that short ones do not
# give extreme factors, and the bounds of the factor.
PAD_SHARE: Final = 0.1
MIN_FACTOR: Final = 0.5
MAX_FACTOR: Final = 10.0
# Requests that may wait longer than predicted before this counts: fewer may be
# at one endpoint that is silent.
IGNORED_WAITS: Final = 2
# Requests whose wait is tracked; the oldest is dropped beyond that.
MAX_TRACKED: Final = 256


@frozen(kw_only=True)
class SentRequest:
    """A request that has no answer yet.

    :ivar sent_at: moment of sending, on the monotonic clock.
    :ivar predicted_s: predicted delay before it is run.
    :ivar own_s: predicted time from there to the first event.
    :ivar goal_s: latency goal.
    """

    sent_at: float
    predicted_s: float
    own_s: float
    goal_s: float

    def compute_factor(self, now: float) -> float:
        """Return the ratio of the delay so far to the predicted one.

        :param now: current moment on the monotonic clock.
        """
        pad_s = PAD_SHARE * self.goal_s
        observed_s = max(now - self.sent_at - self.own_s, 0)
        if pad_s <= 0:
            return 1
        ratio = (observed_s + pad_s) / (max(self.predicted_s, 0) + pad_s)
        return min(max(ratio, MIN_FACTOR), MAX_FACTOR)


@define(kw_only=True)
class DelayCorrection:
    """Ratio of observed to predicted delays of one priority of a service.

    :ivar factor: the ratio as of ``updated_at``.
    :ivar updated_at: moment of the last observation.
    """

    factor: float = 1.0
    updated_at: float = -math.inf
    _sent: dict[str, SentRequest] = field(factory=dict)

    def record_sent(self, key: str, sent: SentRequest) -> None:
        """Track a request until its first byte.

        :param key: identifier of the request.
        :param sent: the request.
        """
        self._sent.pop(key, None)
        if len(self._sent) >= MAX_TRACKED:
            self._sent.pop(next(iter(self._sent)))
        self._sent[key] = sent

    def record_answer(self, key: str, now: float) -> None:
        """Apply the delay of a request whose answer has begun.

        :param key: identifier of the request.
        :param now: current moment on the monotonic clock.
        """
        sent = self._sent.pop(key, None)
        if sent is None:
            return
        factor = self._get_decayed(now)
        ratio = sent.compute_factor(now)
        self.factor = factor + (ratio - factor) * OBSERVATION_WEIGHT
        self.updated_at = now

    def discard(self, key: str) -> None:
        """Track a request no longer that ended without an answer.

        :param key: identifier of the request.
        """
        self._sent.pop(key, None)

    def get_factor(self, now: float) -> float:
        """Return the ratio of observed to predicted delays.

        :param now: current moment on the monotonic clock.
        """
        factor = self._get_decayed(now)
        waiting = itertools.islice(self._sent.values(), IGNORED_WAITS, None)
        oldest = next(waiting, None)
        return (
            factor
            if oldest is None
            else max(factor, oldest.compute_factor(now))
        )

    def _get_decayed(self, now: float) -> float:
        decay = math.exp(-(now - self.updated_at) / FORGET_S)
        return 1 + (self.factor - 1) * decay
