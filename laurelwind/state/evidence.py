"""Evidence on versions: counts of passed and failed answers.

Each daemon counts the ratings that it receives itself and keeps the highest
counts received from every other daemon (a grow-only counter).  Merges are
therefore idempotent and independent of the order of messages, and a later
message makes up for a lost one.
"""

import math
from typing import Final

from attrs import define, field, frozen

_Z_SCORE: Final = 1.64
_PRIOR_WEIGHT: Final = 4.0


@frozen(kw_only=True)
class Counts:
    """Ratings counted by one daemon.

    :ivar passed: number of answers that passed.
    :ivar failed: number of answers that failed.
    """

    passed: int = 0
    failed: int = 0

    def merge(self, other: 'Counts') -> 'Counts':
        """Return the higher of each count.

        :param other: counts of the same daemon, older or newer.
        """
        return Counts(
            passed=max(self.passed, other.passed),
            failed=max(self.failed, other.failed),
        )


@frozen(kw_only=True)
class Subject:
    """What a rating applies to: a version in a workspace's task."""

    workspace: str
    task: str
    reference: str


@frozen(kw_only=True)
class Estimate:
    """A pass rate with its confidence bounds.

    :ivar rate: most likely share of answers that pass.
    :ivar lower: lower bound, one-sided 95%.
    :ivar upper: upper bound, one-sided 95%.
    :ivar trials: number of ratings that it is based on.
    """

    rate: float
    lower: float
    upper: float
    trials: int


@define(kw_only=True)
class EvidenceTable:
    """Counts by subject and by the daemon that counted them.

    :ivar daemon: name of the local daemon.
    """

    daemon: str
    _counts: dict[Subject, dict[str, Counts]] = field(factory=dict)

    def record(self, subject: Subject, *, passed: bool) -> None:
        """Count one rating received by the local daemon.

        :param subject: what was rated.
        :param passed: whether the answer was good enough.
        """
        sources = self._counts.setdefault(subject, {})
        previous = sources.get(self.daemon, Counts())
        sources[self.daemon] = Counts(
            passed=previous.passed + int(passed),
            failed=previous.failed + int(not passed),
        )

    def merge(self, subject: Subject, source: str, counts: Counts) -> bool:
        """Merge the counts of another daemon.

        :param subject: what was rated.
        :param source: name of the daemon that counted.
        :param counts: its counts.
        :returns: whether any count grew.
        """
        sources = self._counts.setdefault(subject, {})
        previous = sources.get(source, Counts())
        merged = previous.merge(counts)
        sources[source] = merged
        return merged != previous

    def get(self, subject: Subject, source: str) -> Counts:
        """Return the counts of one daemon.

        :param subject: what was rated.
        :param source: name of the daemon that counted.
        """
        return self._counts.get(subject, {}).get(source, Counts())

    def sum(self, subject: Subject) -> Counts:
        """Add up the counts of all daemons.

        :param subject: what was rated.
        """
        sources = self._counts.get(subject, {}).values()
        return Counts(
            passed=sum(counts.passed for counts in sources),
            failed=sum(counts.failed for counts in sources),
        )

    def sum_reference(self, reference: str) -> Counts:
        """Add up the counts of a version over all daemons and subjects.

        :param reference: ``model@version``.
        """
        sums = [
            self.sum(subject)
            for subject in self._counts
            if subject.reference == reference
        ]
        return Counts(
            passed=sum(counts.passed for counts in sums),
            failed=sum(counts.failed for counts in sums),
        )

    def estimate(self, subject: Subject, prior_rate: float) -> Estimate:
        """Estimate a pass rate from the evidence and a weak prior.

        :param subject: what was rated.
        :param prior_rate: the operators' estimate of the rate, zero to one.
        """
        counts = self.sum(subject)
        trials = counts.passed + counts.failed
        weight = trials + _PRIOR_WEIGHT
        rate = (counts.passed + prior_rate * _PRIOR_WEIGHT) / weight
        return _bound(rate, weight, trials)


def _bound(rate: float, weight: float, trials: int) -> Estimate:
    """Return the Wilson score interval around a rate."""
    z_term = _Z_SCORE * _Z_SCORE / weight
    centre = (rate + z_term / 2) / (1 + z_term)
    spread = math.sqrt(rate * (1 - rate) / weight + z_term / (4 * weight))
    margin = _Z_SCORE * spread / (1 + z_term)
    return Estimate(
        rate=rate,
        lower=max(centre - margin, 0),
        upper=min(centre + margin, 1),
        trials=trials,
    )
