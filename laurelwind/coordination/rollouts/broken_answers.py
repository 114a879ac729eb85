"""Answers that broke off, which crashing requests may explain."""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Final

from attrs import define

from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rollouts import Tally

# Seconds for which an answer that broke off does not count yet: the reports of
# other daemons on the same crash arrive, and are reviewed, meanwhile.
WITHHOLD_S: Final = 0.5
# Seconds between two reviews.
REVIEW_PERIOD_S: Final = 0.25
# Seconds after which an answer is not reviewed any more: a request that crashes
# endpoints is blocked or has stopped coming by then.
MAX_AGE_S: Final = 60.0
# The most answers that are kept; the newest ones are reviewed.
MAX_ANSWERS: Final = 128


@define(kw_only=True, eq=False)
class BrokenAnswer:
    """An answer that broke off.

    :ivar endpoint: the endpoint that broke it off.
    :ivar route: name of its route.
    :ivar tally: what it counts.
    :ivar is_explained: returns whether a request that crashes endpoints
        explains it; the argument is whether the version is on trial.
    :ivar broke_at: moment at which it broke off, in seconds.
    :ivar is_counted: whether it counts for its version.
    """

    endpoint: EndpointRecord
    route: str
    tally: Tally
    is_explained: Callable[[bool], bool]
    broke_at: float
    is_counted: bool = False


class BrokenAnswers:
    """The newest answers that broke off and that nothing explains yet."""

    def __init__(self) -> None:
        self._answers: deque[BrokenAnswer] = deque(maxlen=MAX_ANSWERS)
        self._reviewed_at = float('-inf')

    def add(self, answer: BrokenAnswer) -> BrokenAnswer | None:
        """Add an answer; return the oldest one if it left before it counted.

        :param answer: the answer.
        """
        oldest = None
        if len(self._answers) == MAX_ANSWERS:
            oldest = self._answers.popleft()
        self._answers.append(answer)
        return None if oldest is None or oldest.is_counted else oldest

    def discard(self, service: str) -> None:
        """Discard the answers of a service.

        :param service: name of the service.
        """
        for answer in tuple(self._answers):
            if answer.endpoint.service == service:
                self._answers.remove(answer)

    def review(
        self, now: float, is_on_trial: Callable[[EndpointRecord], bool]
    ) -> Iterator[tuple[BrokenAnswer, Tally]]:
        """Iterate over the changes of counts that are due.

        An answer counts once it was withheld long enough, and no more as soon
        as a suspect explains it.

        :param now: the current moment.
        :param is_on_trial: returns whether an endpoint's version is on trial.
        """
        if not self._answers or now - self._reviewed_at < REVIEW_PERIOD_S:
            return
        self._reviewed_at = now
        for answer in tuple(self._answers):
            change = self._review_one(answer, now, is_on_trial)
            if change is not None:
                yield answer, change

    def _review_one(
        self,
        answer: BrokenAnswer,
        now: float,
        is_on_trial: Callable[[EndpointRecord], bool],
    ) -> Tally | None:
        age_s = now - answer.broke_at
        if answer.is_explained(is_on_trial(answer.endpoint)):
            self._answers.remove(answer)
            return Tally().subtract(answer.tally) if answer.is_counted else None
        if age_s > MAX_AGE_S:
            self._answers.remove(answer)
        if answer.is_counted or age_s < WITHHOLD_S:
            return None
        answer.is_counted = True
        return answer.tally
