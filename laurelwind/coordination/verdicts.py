"""What answers say for or against a version."""

import statistics
from collections import deque
from typing import Final

from attrs import frozen

from laurelwind.state.rollouts import Tally

# Failures that are enough against a version, and the least part of its answers
# that they must be.  A version that fails a fifth of its requests is found by
# its first dozen or so.
FAILURES: Final = 3
BAD_SHARE: Final = 0.2
# Against a version whose failures are rarer: this many.
MANY_FAILURES: Final = 8
# Slow answers say less, since load and cold caches slow answers down as well.
SLOW_ANSWERS: Final = 6
SLOW_SHARE: Final = 0.3
# In each case bad answers must be this much oftener than the old version's.
BAD_RATIO: Final = 4.0
# An answer is slow when it takes this many times the other version's median.
# Answers of the other version are judged alike, so that what slows both down
# speaks against neither.
SLOW_RATIO: Final = 5.0
SLOW_FLOOR_S: Final = 0.02
_BASELINE_SIZE: Final = 64
_BASELINE_LEAST: Final = 8


@frozen(kw_only=True)
class Outcome:
    """What one answer says of the version that gave it.

    :ivar route: name of the route.
    :ivar scale: what answers are compared with each other, such as a model.
    :ivar failed: whether it failed.
    :ivar pace_s: how long it took by the unit of its scale, or ``None``.
    """

    route: str
    scale: str = ''
    failed: bool = False
    pace_s: float | None = None


class Baselines:
    """How long answers of the version in use usually take."""

    def __init__(self) -> None:
        self._paces: dict[tuple[str, str, str], deque[float]] = {}

    def note(self, service: str, outcome: Outcome) -> None:
        """Take in an answer of the version in use.

        :param service: name of the service.
        :param outcome: what the answer says.
        """
        if outcome.pace_s is None or outcome.failed:
            return
        key = (service, outcome.route, outcome.scale)
        if key not in self._paces:
            self._paces[key] = deque(maxlen=_BASELINE_SIZE)
        self._paces[key].append(outcome.pace_s)

    def is_slow(self, service: str, outcome: Outcome) -> bool:
        """Tell whether an answer took far longer than usual.

        :param service: name of the service.
        :param outcome: what the answer says.
        """
        key = (service, outcome.route, outcome.scale)
        kept = self._paces.get(key, ())
        if len(kept) < _BASELINE_LEAST or outcome.pace_s is None:
            return False
        usual = max(statistics.median(kept), SLOW_FLOOR_S)
        return outcome.pace_s > usual * SLOW_RATIO


def is_bad(tally: Tally, old: Tally) -> bool:
    """Tell whether answers are enough to reject a version.

    :param tally: its answers.
    :param old: the other version's answers meanwhile.
    """
    if _exceeds(tally.failures, tally, old.failures, old):
        if tally.failures >= MANY_FAILURES:
            return True
        if tally.failures >= max(FAILURES, BAD_SHARE * tally.answers):
            return True
    if not _exceeds(tally.slow, tally, old.slow, old):
        return False
    return tally.slow >= max(SLOW_ANSWERS, SLOW_SHARE * tally.answers)


def _exceeds(bad: int, tally: Tally, old_bad: int, old: Tally) -> bool:
    usual = old_bad / old.answers if old.answers else 0
    return bad > BAD_RATIO * usual * tally.answers
