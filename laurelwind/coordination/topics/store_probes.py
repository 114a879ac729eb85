"""Limits the calls of one daemon to a store that fails it."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Final

from laurelwind.protocol.keyed_store import Topic

# Seconds after which a first failure is repeated, as it may be the only one.
FIRST_RETRY_S: Final = 0.25


class StoreProbes:
    """Limits the calls of a daemon after its own calls have failed.

    Only failed calls of this daemon count; what others say of the store does
    not. While the store fails, its topics share one probe per period. A topic
    whose reads have not failed yet is read as usual, as a part of the store may
    be down.

    :param clock: returns the current time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._next_at = clock()
        self._failed: set[Topic] = set()
        self._open_calls = 0

    @property
    def is_healthy(self) -> bool:
        """Whether the last call succeeded."""
        return not self._failed

    @property
    def due_in_s(self) -> float:
        """Seconds until the next probe."""
        return max(self._next_at - self._clock(), 0)

    def is_allowed(self, topic: Topic) -> bool:
        """Return whether a topic may be read from the store now.

        :param topic: the topic.
        """
        if topic not in self._failed:
            return True
        return not self.due_in_s and not self._open_calls

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Let no other topic probe the store while a call of it is open."""
        self._open_calls += 1
        try:
            yield
        finally:
            self._open_calls -= 1

    def record_failure(self, topic: Topic, period_s: float) -> None:
        """Record a failed call.

        :param topic: topic that was read.
        :param period_s: seconds until the next probe.
        """
        if not self._failed:
            period_s = min(period_s, FIRST_RETRY_S)
        self._failed.add(topic)
        self._next_at = self._clock() + period_s

    def end_delay(self) -> None:
        """Let the next call follow at once."""
        self._next_at = self._clock()

    def record_success(self) -> None:
        """Record that the store answered."""
        self._failed.clear()
