"""Detects versions that have degraded, by a sequential test on ratings.

A cumulative sum (CUSUM) of log-likelihood ratios compares the pass rate learnt
from the first ratings of a workspace and task with a clearly lower one.  A
workspace stops using a version when the sum of that workspace crosses the
threshold.  The fleet stops when the sum over all workspaces crosses it.  The
contribution of each workspace to that sum is capped, so that one noisy
workspace or rater cannot cause a quarantine in the whole fleet.
"""

import math
from collections.abc import Iterator
from typing import Final

from attrs import define, field, frozen

from laurelwind.state.evidence import Subject

_FALSE_ALARM_RATE: Final = 1e-8
_THRESHOLD: Final = math.log(1 / _FALSE_ALARM_RATE)
_MAX_WORKSPACE_SHARE: Final = 0.6
_LEARNING_TRIALS: Final = 40
_PRIOR_WEIGHT: Final = 10.0
_BAD_RATE_RATIO: Final = 0.6
_MIN_GOOD_RATE: Final = 0.05
_MAX_GOOD_RATE: Final = 0.98
_ALL_WORKSPACES: Final = ''


@frozen(kw_only=True)
class QuarantineVerdict:
    """A version that must be quarantined.

    :ivar reference: ``model@version``.
    :ivar workspace: the workspace concerned, or an empty string for all.
    :ivar score: the sum that crossed the threshold.
    """

    reference: str
    workspace: str
    score: float


@define(kw_only=True)
class _SubjectTest:
    """Sequential test of one subject.

    :ivar passed: passes among the ratings that the rate was learnt from.
    :ivar trials: number of ratings that the rate was learnt from.
    :ivar prior: the operators' estimate of the rate.
    :ivar score: the cumulative sum.
    """

    prior: float
    passed: int = 0
    trials: int = 0
    score: float = 0

    @property
    def rate(self) -> float:
        """Rate of a good version: the learnt rate less a standard error."""
        weight = self.trials + _PRIOR_WEIGHT
        mean = (self.passed + self.prior * _PRIOR_WEIGHT) / weight
        margin = math.sqrt(mean * (1 - mean) / weight)
        return min(max(mean - margin, _MIN_GOOD_RATE), _MAX_GOOD_RATE)

    def add(self, *, passed: bool) -> float:
        """Add one rating and return its log-likelihood ratio."""
        good_rate = self.rate
        bad_rate = good_rate * _BAD_RATE_RATIO
        step = (
            math.log(bad_rate / good_rate)
            if passed
            else math.log((1 - bad_rate) / (1 - good_rate))
        )
        self.score = max(self.score + step, 0)
        if self.trials < _LEARNING_TRIALS:
            self.trials += 1
            self.passed += int(passed)
        return step


@define(kw_only=True)
class _FleetTest:
    """Sequential test of one version over all workspaces.

    :ivar score: the cumulative sum.
    :ivar contributions: sum added by each workspace since the score was zero.
    """

    score: float = 0
    contributions: dict[str, float] = field(factory=dict)

    def add(self, workspace: str, step: float) -> None:
        """Add the log-likelihood ratio of one rating."""
        contribution = self.contributions.get(workspace, 0) + step
        if contribution > _THRESHOLD * _MAX_WORKSPACE_SHARE:
            return
        self.score += step
        self.contributions[workspace] = max(contribution, 0)
        if self.score <= 0:
            self.score = 0
            self.contributions.clear()


@define(kw_only=True)
class BadVersionDetector:
    """Sequential tests of all subjects and versions."""

    _subject_tests: dict[Subject, _SubjectTest] = field(factory=dict)
    _fleet_tests: dict[str, _FleetTest] = field(factory=dict)

    def add(
        self, subject: Subject, *, passed: int, failed: int, prior: float
    ) -> QuarantineVerdict | None:
        """Add ratings of one subject, whose order is unknown.

        :param subject: workspace, task and version that were rated.
        :param passed: number of answers that passed.
        :param failed: number of answers that failed.
        :param prior: the operators' estimate of the pass rate.
        :returns: a verdict if a threshold was crossed, else ``None``.
        """
        subject_test = self._subject_tests.get(subject)
        if subject_test is None:
            subject_test = _SubjectTest(prior=prior)
            self._subject_tests[subject] = subject_test
        fleet_test = self._fleet_tests.setdefault(
            subject.reference, _FleetTest()
        )
        for has_passed in _interleave(passed, failed):
            fleet_test.add(
                subject.workspace, subject_test.add(passed=has_passed)
            )
        return _build_verdict(subject, subject_test, fleet_test)

    def reset(self, reference: str) -> None:
        """Discard the tests of a version.

        :param reference: ``model@version``.
        """
        self._fleet_tests.pop(reference, None)
        self._subject_tests = {
            subject: subject_test
            for subject, subject_test in self._subject_tests.items()
            if subject.reference != reference
        }


def _build_verdict(
    subject: Subject, subject_test: _SubjectTest, fleet_test: _FleetTest
) -> QuarantineVerdict | None:
    if fleet_test.score >= _THRESHOLD:
        return QuarantineVerdict(
            reference=subject.reference,
            workspace=_ALL_WORKSPACES,
            score=fleet_test.score,
        )
    if subject_test.score >= _THRESHOLD:
        return QuarantineVerdict(
            reference=subject.reference,
            workspace=subject.workspace,
            score=subject_test.score,
        )
    return None


def _interleave(passed: int, failed: int) -> Iterator[bool]:
    """Yield passes and failures, spread evenly as their order is unknown."""
    total = passed + failed
    for index in range(total):
        yield (index + 1) * failed // total == index * failed // total
