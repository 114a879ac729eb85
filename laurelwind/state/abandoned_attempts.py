"""Attempts that were given up while their endpoint worked on them."""

from collections import deque
from collections.abc import Sequence
from typing import Final

from attrs import evolve

from laurelwind.state.crash_reports import CrashReport
from laurelwind.state.endpoint_breaks import EndpointBreak

# Seconds for which an endpoint may work on an attempt that was given up.
ABANDONED_S: Final = 0.5
# The most attempts that are kept; the newest count.
MAX_ABANDONED: Final = 256


class AbandonedAttempts:
    """Attempts without an answer that an endpoint may still work on.

    An engine may crash on a prompt though nobody waits for its answer.
    """

    def __init__(self) -> None:
        self._attempts: deque[CrashReport] = deque(maxlen=MAX_ABANDONED)

    def add(self, attempt: CrashReport) -> None:
        """Add an attempt.

        :param attempt: the attempt; it was given up at ``broke_at``.
        """
        self._attempts.append(attempt)

    def take(self, broken: EndpointBreak) -> Sequence[CrashReport]:
        """Return reports of what an endpoint worked on as it broke.

        :param broken: a connection to it that broke.
        """
        taken = [
            attempt
            for attempt in self._attempts
            if attempt.endpoint == broken.endpoint
            and 0 <= broken.broke_at - attempt.broke_at <= ABANDONED_S
        ]
        for abandoned in taken:
            self._attempts.remove(abandoned)
        return [
            evolve(report, broke_at=broken.broke_at, alive_at=broken.alive_at)
            for report in taken
        ]
