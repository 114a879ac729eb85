"""Tells by the answers of a service whether an innocent suspect is blamed."""

from collections import deque
from typing import Final

from laurelwind.state.culprits import Culprit

# Probability with which an innocent suspect may be blamed though other prompts
# were answered meanwhile.
MAX_FALSE_BLAME: Final = 0.01
# The most services, and answers of each, that are kept; the newest count.
MAX_SERVICES: Final = 512
MAX_SERVICE_ANSWERS: Final = 256


class ServiceAnswers:
    """Moments at which answers of each service began, whatever the prompt."""

    def __init__(self) -> None:
        self._answers: dict[str, deque[float]] = {}

    def record(self, service: str, began_at: float) -> None:
        """Record an answer.

        :param service: name of the service.
        :param began_at: moment at which the answer began.
        """
        answers = self._answers.pop(service, None)
        if answers is None:
            answers = deque(maxlen=MAX_SERVICE_ANSWERS)
        answers.append(began_at)
        self._answers[service] = answers
        if len(self._answers) > MAX_SERVICES:
            self._answers.pop(next(iter(self._answers)))

    def confirm(self, culprit: Culprit, members: int) -> bool:
        """Return whether the answers of others confirm a culprit.

        If its parts were innocent, prompts with them would be among the answers
        that began meanwhile, in about the share that they have of the failures.
        A request need not come again, so that its share says nothing.

        Where answers break off now and then, some suspect is bound to be in
        several in a row.  Each attempt breaks off with the probability that the
        attempts without it show; the first failure is given, and any of the
        suspects on board may have been the one.

        The answers of the other daemons are inferred from the own ones.  A few
        say little of the others, so that they stand for no more than as many.

        :param culprit: suspects without an answer.
        :param members: number of daemons.
        """
        own_answers = sum(
            began_at > culprit.since
            for began_at in self._answers.get(culprit.service, ())
        )
        answers = own_answers * min(own_answers, members)
        is_missed = (1 - culprit.share) ** answers <= MAX_FALSE_BLAME
        if not culprit.is_request and not is_missed:
            return False
        if not culprit.unrelated:
            return True
        break_share = culprit.unrelated / (culprit.unrelated + answers)
        repeats = culprit.failures - 1
        return culprit.candidates * break_share**repeats <= MAX_FALSE_BLAME
