"""Compares the latencies of a version with those of the version in use."""

import statistics
from collections import deque
from collections.abc import Callable, Sequence, Set
from typing import Final

from attrs import frozen

from laurelwind.state.load import read_monotonic_clock

# An answer is slow if its pace is this multiple of the median of the version in
# use, while both serve. Answers of the version in use are classified alike, so
# that a slowdown of both versions rejects neither.
SLOW_RATIO: Final = 2.5
# The same while the version in use does not serve, so that its latencies are of
# a time with other load.
OUTDATED_SLOW_RATIO: Final = 5.0
# Seconds after its last answer for which the version in use counts as serving.
BASELINE_TTL_S: Final = 5.0
MIN_BASELINE_S: Final = 0.02
# An answer under way is overdue after this multiple of the time in which nine
# of ten answers of the version in use got that far.
OVERDUE_RATIO: Final = 2.5
_OVERDUE_QUANTILE: Final = 0.9
_MAX_SAMPLES: Final = 64
_MIN_SAMPLES: Final = 8
# Groups that are kept; of routes that were removed the oldest are dropped.
MAX_GROUPS: Final = 512
# Seconds between two reviews of the answers under way.
REVIEW_PERIOD_S: Final = 0.25

# Service, route and group of comparable answers.
LatencyGroup = tuple[str, str, str]


@frozen(kw_only=True)
class Latency:
    """Latency of an answer, or of its first events.

    :ivar unit_s: seconds per event of a stream, or in total; ``None`` where
        there are too few events.
    :ivar elapsed_s: seconds since the request was sent.
    :ivar is_overdue: whether the answer was still under way too late.
    """

    unit_s: float | None
    elapsed_s: float = 0
    is_overdue: bool = False


class _Samples:
    """The newest latencies of a group."""

    def __init__(self) -> None:
        self.units: deque[float] = deque(maxlen=_MAX_SAMPLES)
        self.elapsed: deque[float] = deque(maxlen=_MAX_SAMPLES)
        self.recorded_at: float = 0


class LatencyBaselines:
    """Latencies of the version in use.

    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self, *, clock: Callable[[], float] = read_monotonic_clock
    ) -> None:
        self._clock = clock
        self._samples: dict[LatencyGroup, _Samples] = {}

    def record(self, group: LatencyGroup, latency: Latency) -> None:
        """Record a latency of the version in use.

        :param group: group of the answer.
        :param latency: its latency.
        """
        for name in _list_groups(group):
            samples = self._samples.pop(name, None) or _Samples()
            self._samples[name] = samples
            samples.recorded_at = self._clock()
            samples.elapsed.append(latency.elapsed_s)
            if latency.unit_s is not None:
                samples.units.append(latency.unit_s)
        while len(self._samples) > MAX_GROUPS:
            self._samples.pop(next(iter(self._samples)))

    def discard_routes(self, names: Set[str]) -> None:
        """Discard the latencies of routes that were removed.

        :param names: names of the routes.
        """
        for group in tuple(self._samples):
            if group[1] in names:
                self._samples.pop(group)

    def discard_services(self, names: Set[str]) -> None:
        """Discard the latencies of services that were removed.

        :param names: names of the services.
        """
        for group in tuple(self._samples):
            if group[0] in names:
                self._samples.pop(group)

    def is_slow(self, group: LatencyGroup, latency: Latency) -> bool | None:
        """Return whether an answer is slow, or ``None`` if that is not known.

        :param group: group of the answer.
        :param latency: its latency.
        """
        if latency.is_overdue:
            return True
        samples = self._find_samples(group)
        if samples is None:
            return None
        if latency.unit_s is None or len(samples.units) < _MIN_SAMPLES:
            return False
        baseline_s = max(statistics.median(samples.units), MIN_BASELINE_S)
        ratio = SLOW_RATIO if self._is_current(samples) else OUTDATED_SLOW_RATIO
        return latency.unit_s > baseline_s * ratio

    def get_overdue_s(self, group: LatencyGroup) -> float | None:
        """Return the seconds after which an answer under way is overdue.

        ``None`` if there is nothing current to compare with.

        :param group: group of the answer.
        """
        samples = self._find_samples(group)
        if samples is None or not self._is_current(samples):
            return None
        ranked = sorted(samples.elapsed)
        quantile_s = ranked[int(len(ranked) * _OVERDUE_QUANTILE)]
        return quantile_s * OVERDUE_RATIO

    def _find_samples(self, group: LatencyGroup) -> _Samples | None:
        """Return the closest group with enough samples, or ``None``."""
        for name in _list_groups(group):
            samples = self._samples.get(name)
            if samples is not None and len(samples.elapsed) >= _MIN_SAMPLES:
                return samples
        return None

    def _is_current(self, samples: _Samples) -> bool:
        return self._clock() - samples.recorded_at <= BASELINE_TTL_S


def _list_groups(group: LatencyGroup) -> Sequence[LatencyGroup]:
    """List a group, and a wider one with the requests of other routes.

    Only models take about as long for an event of any request.
    """
    service, _, model = group
    return (group, (service, '', model)) if model else (group,)


@frozen(kw_only=True, eq=False)
class OpenAnswer:
    """An answer under way.

    :ivar group: group of the answer.
    :ivar sent_at: moment of sending, on the monotonic clock.
    :ivar record_overdue: called once if it is overdue.
    """

    group: LatencyGroup
    sent_at: float
    record_overdue: Callable[[], None]


class OpenAnswers:
    """Answers under way whose latency is not known yet.

    :param baselines: latencies to compare with.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        baselines: LatencyBaselines,
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self._baselines = baselines
        self._clock = clock
        self._answers: set[OpenAnswer] = set()
        self._reviewed_at: float = 0

    def add(self, answer: OpenAnswer) -> None:
        """Add an answer, and review the others if that is due.

        :param answer: the answer.
        """
        if self._clock() - self._reviewed_at >= REVIEW_PERIOD_S:
            self._reviewed_at = self._clock()
            self.review()
        self._answers.add(answer)

    def discard(self, answer: OpenAnswer) -> None:
        """Discard an answer whose latency is known, or that ended.

        :param answer: the answer.
        """
        self._answers.discard(answer)

    def review(self) -> None:
        """Record the answers that are overdue."""
        now = self._clock()
        groups = {answer.group for answer in self._answers}
        limits = {
            group: self._baselines.get_overdue_s(group) for group in groups
        }
        for answer in tuple(self._answers):
            overdue_s = limits[answer.group]
            if overdue_s is not None and now - answer.sent_at > overdue_s:
                self._answers.discard(answer)
                answer.record_overdue()
