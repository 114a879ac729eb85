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
# The share of failures must exceed that of the old version by this factor, and
# by more than chance explains: a version as good as the old one shows as many
# with at most the probability MAX_FALSE_REJECTION.
MIN_BAD_RATIO: Final = 1.5
MAX_FALSE_REJECTION: Final = 0.015
# A version is accepted only if its share of failures is below this multiple of
# the old version's, and below MAX_ACCEPTED_SHARE: a handful of good answers
# would rule out a higher share.
ACCEPTED_BAD_RATIO: Final = 3.5
MAX_ACCEPTED_SHARE: Final = 0.5
# The share of slow answers must exceed that of the old version by this factor.
MIN_SLOW_RATIO: Final = 4.0
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
    if _is_worse(tally, failure_share):
        if tally.failures >= SUFFICIENT_FAILURES:
            return True
        if tally.failures >= max(
            MIN_FAILURES, MIN_FAILURE_SHARE * tally.answers
        ):
            return True
    slow_share = _get_share(old_tally.slow, old_tally.timed)
    if tally.slow <= MIN_SLOW_RATIO * slow_share * tally.timed:
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
        max(
            MIN_FAILURE_SHARE,
            min(ACCEPTED_BAD_RATIO * failure_share, MAX_ACCEPTED_SHARE),
        ),
    ):
        return False
    if not old_tally.timed:
        # Nothing to compare with: no answer of the old version is long enough.
        return True
    return _excludes_share(
        tally.slow,
        tally.timed,
        max(
            MIN_SLOW_SHARE,
            MIN_SLOW_RATIO * _get_share(old_tally.slow, old_tally.timed),
        ),
    )


def _get_share(bad: int, count: int) -> float:
    return bad / count if count else 0


def _is_worse(tally: Tally, old_share: float) -> bool:
    """Return whether a version fails more than the old one, beyond chance.

    Chernoff's bound on the upper tail of the binomial distribution.
    """
    if tally.failures <= MIN_BAD_RATIO * old_share * tally.answers:
        return False
    if not old_share:
        return True
    divergence = _compute_divergence(
        tally.failures / tally.answers, min(old_share, _MAX_BAD_SHARE)
    )
    return math.exp(-tally.answers * divergence) <= MAX_FALSE_REJECTION


def _excludes_share(bad: int, answers: int, share: float) -> bool:
    """Return whether so few bad answers are unlikely at a share.

    Chernoff's bound on the lower tail of the binomial distribution.
    """
    if not answers:
        return False
    observed = bad / answers
    share = min(share, _MAX_BAD_SHARE)
    if observed >= share:
        return False
    divergence = _compute_divergence(observed, share)
    return math.exp(-answers * divergence) <= MAX_FALSE_ACCEPTANCE


def _compute_divergence(observed: float, share: float) -> float:
    """Return how improbable an observed share is at another one, in nats."""
    divergence: float = 0
    for seen, expected in ((observed, share), (1 - observed, 1 - share)):
        if seen > 0:
            divergence += seen * math.log(seen / expected)
    return divergence
