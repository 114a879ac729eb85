"""Evidence by which a version is rejected or accepted during a roll-out."""

import math
from collections.abc import Callable
from typing import Final

from attrs import frozen

from laurelwind.coordination.rollouts.latencies import Latency
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
# Probability with which a version that is bad enough to be rejected may show as
# few bad answers as one that is accepted.
MAX_FALSE_ACCEPTANCE: Final = 0.01
# Above this share of bad answers no version can be told from a worse one.
_MAX_BAD_SHARE: Final = 0.9


@frozen(kw_only=True)
class AnswerOutcome:
    """Outcome of one answer, as evidence about the version that ran.

    :ivar route: name of the route.
    :ivar comparison_group: group of comparable answers, such as a model.
    :ivar failed: whether the answer failed.
    :ivar latency: its latency, or ``None`` if that was recorded before.
    :ivar is_explained: of an answer that broke off, returns whether a request
        that crashes endpoints explains it; the argument is whether the version
        is on trial.
    """

    route: str
    comparison_group: str = ''
    failed: bool = False
    latency: Latency | None = None
    is_explained: Callable[[bool], bool] | None = None


def should_reject(tally: Tally, old_tally: Tally) -> bool:
    """Return whether the answers of a version suffice to reject it.

    :param tally: counts of the version's answers.
    :param old_tally: counts of the old version's answers in the same time.
    """
    failure_share = _get_share(old_tally.failures, old_tally.answers)
    if tally.failures > MIN_BAD_RATIO * failure_share * tally.answers:
        if tally.failures >= SUFFICIENT_FAILURES:
            return True
        if tally.failures >= max(
            MIN_FAILURES, MIN_FAILURE_SHARE * tally.answers
        ):
            return True
    slow_share = _get_share(old_tally.slow, old_tally.timed)
    if tally.slow <= MIN_BAD_RATIO * slow_share * tally.timed:
        return False
    return tally.slow >= max(MIN_SLOW_ANSWERS, MIN_SLOW_SHARE * tally.timed)


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
    failure_share = _get_share(old_tally.failures, old_tally.answers)
    if not _excludes_share(
        tally.failures,
        tally.answers,
        _find_rejected_share(MIN_FAILURE_SHARE, failure_share),
    ):
        return False
    if not old_tally.timed:
        # Nothing to compare with: no answer of the old version is long enough.
        return True
    return _excludes_share(
        tally.slow,
        tally.timed,
        _find_rejected_share(
            MIN_SLOW_SHARE, _get_share(old_tally.slow, old_tally.timed)
        ),
    )


def _get_share(bad: int, count: int) -> float:
    return bad / count if count else 0


def _find_rejected_share(min_share: float, old_share: float) -> float:
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
