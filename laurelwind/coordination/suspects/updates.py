"""Notices of crashes that are to be sent to other daemons."""

from collections.abc import Iterable, Sequence
from typing import Final

import anyio

from laurelwind.protocol.crash_notices import CrashNotice, SuspectAnswer
from laurelwind.state.answered_keys import AnsweredKeys
from laurelwind.state.blocks import Block
from laurelwind.state.crash_reports import SuspectKey

# Seconds for which notices are repeated to peers.
REPEAT_S: Final = 10.0


class CrashUpdates:
    """Notices to spread, and the answers to repeat.

    :ivar has_any: set when there are notices to spread.
    """

    def __init__(self) -> None:
        self.has_any = anyio.Event()
        # In order, and each once.
        self._notices: dict[CrashNotice, None] = {}
        # Answers that contradict a report, by suspect.
        self._answers: dict[SuspectKey, SuspectAnswer] = {}

    def add(self, notice: CrashNotice) -> None:
        """Add a notice to spread.

        :param notice: the notice.
        """
        self._notices[notice] = None
        self.has_any.set()

    def add_answer(self, answer: SuspectAnswer) -> None:
        """Add an answer, unless a later one with its suspect was added.

        :param answer: the answer.
        """
        known = self._answers.get(answer.key)
        if known is None or known.began_at < answer.began_at:
            self._answers[answer.key] = answer
            self.add(answer)

    def add_known_answers(
        self, keys: Iterable[SuspectKey], answered: AnsweredKeys
    ) -> None:
        """Add the last answers with some suspects.

        :param keys: the suspects.
        :param answered: moments of the last answers.
        """
        for key in keys:
            self.add_answer(SuspectAnswer(key=key, began_at=answered.get(key)))

    def take(self) -> Sequence[CrashNotice]:
        """Return the notices to spread, blocks first, and forget them."""
        # Blocks end what reports only describe.
        notices = tuple(
            sorted(
                self._notices, key=lambda notice: not isinstance(notice, Block)
            )
        )
        self._notices.clear()
        self.has_any = anyio.Event()
        return notices

    def list_answers(self, since: float) -> Sequence[SuspectAnswer]:
        """List the answers to repeat, and forget older ones.

        :param since: earliest moment of an answer.
        """
        for key, answer in tuple(self._answers.items()):
            if answer.began_at < since:
                self._answers.pop(key)
        return tuple(self._answers.values())
