"""Evidence by which a version is rejected or accepted during a roll-out."""

import math
import statistics
from collections import deque
from typing import Final

from attrs import frozen

from laurelwind.state.rollouts import Tally

# Minimum number of failures, and minimum share of the answers that failed, for
# a version to be rejected. A version that fails a fifth of its requests is
# rejected after about a dozen answers.
MIN_FAILURES: Final = 3
MIN_FAILURE_SHARE: Final = 0.2
# Number of failures that suffices below that share.
SUFFICIENT_FAILURES: Final = 8
# Slow answers are weaker evidence, since load and cold caches also cause them.
MIN_SLOW_ANSWERS: Final = 6
MIN_SLOW_SHARE: Final = 0.3
# In each case the share of bad answers must exceed that of the old version by
# this factor.
MIN_BAD_RATIO: Final = 4.0
# An answer is slow when it takes more than this multiple of the old version's
# median. Answers of the old version are classified alike, so that a slowdown of
# both versions rejects neither.
SLOW_RATIO: Final = 5.0
MIN_BASELINE_S: Final = 0.02
# Probability with which a version that is bad enough to be rejected may show as
# few bad answers as one that is accepted.
MAX_FALSE_ACCEPTANCE: Final = 0.01
# Above this share of bad answers no version can be told from a worse one.
_MAX_BAD_SHARE: Final = 0.9
_MAX_BASELINE_SAMPLES: Final = 64
_MIN_BASELINE_SAMPLES: Final = 8


@frozen(kw_only=True)
class AnswerOutcome:
    """Outcome of one answer, as evidence about the version that ran.

    :ivar route: name of the route.
    :ivar comparison_group: group of comparable answers, such as a model.
    :ivar failed: whether the answer failed.
    :ivar unit_latency_s: seconds per unit of work in the group, or ``None``.
    """

    route: str
    comparison_group: str = ''
    failed: bool = False
    unit_latency_s: float | None = None


class LatencyBaselines:
    """Baseline latencies of the version in use."""

    def __init__(self) -> None:
        self._unit_latencies: dict[tuple[str, str, str], deque[float]] = {}

    def record(self, service: str, outcome: AnswerOutcome) -> None:
        """Record an answer of the version in use.

        :param service: name of the service.
        :param outcome: outcome of the answer.
        """
        if outcome.unit_latency_s is None or outcome.failed:
            return
        key = (service, outcome.route, outcome.comparison_group)
        if key not in self._unit_latencies:
            self._unit_latencies[key] = deque(maxlen=_MAX_BASELINE_SAMPLES)
        self._unit_latencies[key].append(outcome.unit_latency_s)

    def is_slow(self, service: str, outcome: AnswerOutcome) -> bool:
        """Return whether an answer took far longer than the baseline.

        :param service: name of the service.
        :param outcome: outcome of the answer.
        """
        key = (service, outcome.route, outcome.comparison_group)
        samples = self._unit_latencies.get(key, ())
        if (
            len(samples) < _MIN_BASELINE_SAMPLES
            or outcome.unit_latency_s is None
        ):
            return False
        baseline_s = max(statistics.median(samples), MIN_BASELINE_S)
        return outcome.unit_latency_s > baseline_s * SLOW_RATIO


def should_reject(tally: Tally, old_tally: Tally) -> bool:
    """Return whether the answers of a version suffice to reject it.

    :param tally: counts of the version's answers.
    :param old_tally: counts of the old version's answers in the same time.
    """
    if _exceeds_old_version(
        tally.failures, tally, old_tally.failures, old_tally
    ):
        if tally.failures >= SUFFICIENT_FAILURES:
            return True
        if tally.failures >= max(
            MIN_FAILURES, MIN_FAILURE_SHARE * tally.answers
        ):
            return True
    if not _exceeds_old_version(tally.slow, tally, old_tally.slow, old_tally):
        return False
    return tally.slow >= max(MIN_SLOW_ANSWERS, MIN_SLOW_SHARE * tally.answers)


def should_accept(tally: Tally, old_tally: Tally) -> bool:
    """Return whether the answers of a version suffice to accept it.

    They suffice if a version that is just bad enough to be rejected would show
    so few bad answers only with the probability MAX_FALSE_ACCEPTANCE.  Without
    a bad answer that takes 21 answers.

    :param tally: counts of the version's answers.
    :param old_tally: counts of the old version's answers in the same time.
    """
    if should_reject(tally, old_tally):
        return False
    return _excludes_share(
        tally.failures,
        tally.answers,
        _find_rejected_share(MIN_FAILURE_SHARE, old_tally.failures, old_tally),
    ) and _excludes_share(
        tally.slow,
        tally.answers,
        _find_rejected_share(MIN_SLOW_SHARE, old_tally.slow, old_tally),
    )


def _exceeds_old_version(
    bad: int, tally: Tally, old_bad: int, old_tally: Tally
) -> bool:
    old_share = old_bad / old_tally.answers if old_tally.answers else 0
    return bad > MIN_BAD_RATIO * old_share * tally.answers


def _find_rejected_share(
    min_share: float, old_bad: int, old_tally: Tally
) -> float:
    old_share = old_bad / old_tally.answers if old_tally.answers else 0
    return min(max(min_share, MIN_BAD_RATIO * old_share), _MAX_BAD_SHARE)


def _excludes_share(bad: int, answers: int, share: float) -> bool:
    """Return whether so few bad answers are unlikely at a share.

    Chernoff's bound on the lower tail of the binomial distribution.
    """
    if not answers:
        return False
    observed = bad / answers
    if observed >= share:
        return False
    divergence = (1 - observed) * math.log((1 - observed) / (1 - share))
    if bad:
        divergence += observed * math.log(observed / share)
    return math.exp(-answers * divergence) <= MAX_FALSE_ACCEPTANCE
