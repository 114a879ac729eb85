"""Attempts that were given up while their endpoint worked on them."""

from collections import deque
from collections.abc import Sequence
from typing import Final

from attrs import frozen

from laurelwind.state.crash_reports import CrashReport, SuspectKeys
from laurelwind.state.endpoint_breaks import EndpointBreak

# Seconds for which an endpoint may work on an attempt that was given up.
ABANDONED_S: Final = 0.5
# The most attempts that are kept; the newest count.
MAX_ABANDONED: Final = 256


@frozen(kw_only=True)
class AbandonedAttempt:
    """An attempt that was given up before its answer was complete.

    Moments are on the monotonic clock.

    :ivar attempt: identifier of the attempt, unique in the fleet.
    :ivar endpoint: the endpoint and the start time of its process.
    :ivar prompt: key of the prompt, the same for its repeats.
    :ivar keys: the request, and the shared parts of its prompt unless its
        answer had begun.
    :ivar sent_at: moment of sending.
    :ivar abandoned_at: moment at which it was given up.
    """

    attempt: str
    endpoint: str
    prompt: str
    keys: SuspectKeys
    sent_at: float
    abandoned_at: float

    def is_on_board(self, broken: EndpointBreak) -> bool:
        """Return whether its endpoint may have worked on it as it broke.

        :param broken: a connection that broke.
        """
        elapsed_s = broken.broke_at - self.abandoned_at
        return (
            self.endpoint == broken.endpoint and 0 <= elapsed_s <= ABANDONED_S
        )

    def build_report(self, broken: EndpointBreak) -> CrashReport:
        """Build a report as if it had broken with its endpoint.

        :param broken: a connection to the endpoint that broke.
        """
        return CrashReport(
            attempt=self.attempt,
            endpoint=self.endpoint,
            prompt=self.prompt,
            keys=self.keys,
            sent_at=self.sent_at,
            broke_at=broken.broke_at,
            alive_at=broken.alive_at,
        )


class AbandonedAttempts:
    """Attempts without a complete answer that endpoints may still work on.

    An endpoint may crash on a request though nobody waits for its answer.
    """

    def __init__(self) -> None:
        self._attempts: deque[AbandonedAttempt] = deque(maxlen=MAX_ABANDONED)

    def add(self, attempt: AbandonedAttempt) -> None:
        """Add an attempt.

        :param attempt: the attempt.
        """
        self._attempts.append(attempt)

    def take(self, broken: EndpointBreak) -> Sequence[CrashReport]:
        """Return reports of what an endpoint worked on as it broke.

        :param broken: a connection to it that broke.
        """
        taken = [known for known in self._attempts if known.is_on_board(broken)]
        for attempt in taken:
            self._attempts.remove(attempt)
        return [abandoned.build_report(broken) for abandoned in taken]
