"""Sources that are left out for a while after they failed."""

import random
from collections.abc import Callable, Sequence
from typing import Final

from laurelwind.coordination.topics.budgets import AgeBudget
from laurelwind.protocol.platform import ListedInstance

# Seconds for which a source that did not answer is left out.
SILENCE_S: Final = 2.0
# The time doubles with each further silence in a row, up to this many times.
_MAX_DOUBLINGS: Final = 2
# Factors of the time, so that not all readers of a source return to it at once.
_JITTER: Final = (0.75, 1.25)


class SourceSuspensions:
    """Sources of one topic that are left out for a while.

    :param budget: budget of the topic; one bound is the time for which a source
        with an old copy is left out.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self, *, budget: AgeBudget, clock: Callable[[], float]
    ) -> None:
        self._budget = budget
        self._clock = clock
        self._silences: dict[str, int] = {}
        self._silent_until: dict[str, float] = {}
        self._stale_until: dict[str, float] = {}

    def is_available(self, source: ListedInstance) -> bool:
        """Return whether a source may be asked.

        :param source: the source.
        """
        return (
            self.is_answering(source)
            and self._stale_until.get(source.name, 0) <= self._clock()
        )

    def is_answering(self, source: ListedInstance) -> bool:
        """Return whether a source is not left out for its silence.

        :param source: the source.
        """
        return self._silent_until.get(source.name, 0) <= self._clock()

    def has_been_silent(self, source: ListedInstance) -> bool:
        """Return whether a source did not answer when it was last read.

        :param source: the source.
        """
        return source.name in self._silent_until

    def has_been_stale(self, source: ListedInstance) -> bool:
        """Return whether the copy of a source was too old the last time.

        :param source: the source.
        """
        return source.name in self._stale_until

    def record_silence(self, source: ListedInstance) -> None:
        """Leave out a source that did not answer.

        :param source: the source.
        """
        doublings = self._silences.get(source.name, 0)
        self._silences[source.name] = min(doublings + 1, _MAX_DOUBLINGS)
        self._silent_until[source.name] = self._compute_end(
            SILENCE_S * (1 << doublings)
        )

    def record_stale(self, source: ListedInstance) -> None:
        """Leave out a source whose copy is too old.

        :param source: the source.
        """
        self._stale_until[source.name] = self._compute_end(self._budget.bound_s)

    def record_answer(self, source: ListedInstance) -> None:
        """Record that a source has a recent copy.

        :param source: the source.
        """
        for failures in (self._silences, self._silent_until, self._stale_until):
            failures.pop(source.name, None)

    def retain(self, members: Sequence[ListedInstance]) -> None:
        """Forget daemons that are not members.

        :param members: all daemons.
        """
        names = {member.name for member in members}
        for failures in (self._silences, self._silent_until, self._stale_until):
            for name in failures.keys() - names:
                del failures[name]

    def _compute_end(self, period_s: float) -> float:
        return self._clock() + period_s * random.uniform(*_JITTER)
