"""Moments of the last answers with each suspect."""

from typing import Final

from laurelwind.state.crash_reports import SuspectKey, is_request

# The most parts, and requests, that are kept; the newest answers count.
MAX_ANSWERED_KEYS: Final = 4096


class AnsweredKeys:
    """When the last answer with each part began, and that of a request ended.

    Parts and requests are bounded apart, as most requests come once.
    """

    def __init__(self) -> None:
        # The latest recorded at the end.
        self._parts: dict[SuspectKey, float] = {}
        self._requests: dict[SuspectKey, float] = {}

    def record(self, key: SuspectKey, answered_at: float) -> None:
        """Record an answer.

        :param key: a suspect.
        :param answered_at: moment of the answer.
        """
        answered = self._select(key)
        previous_at = answered.pop(key, float('-inf'))
        answered[key] = max(previous_at, answered_at)
        if len(answered) > MAX_ANSWERED_KEYS:
            answered.pop(next(iter(answered)))

    def get(self, key: SuspectKey) -> float:
        """Return the moment of the last answer, or minus infinity.

        :param key: the suspect.
        """
        return self._select(key).get(key, float('-inf'))

    def _select(self, key: SuspectKey) -> dict[SuspectKey, float]:
        return self._requests if is_request(key) else self._parts
