"""Roll-outs: orders, their status, and the evidence about a version."""

import enum
from collections.abc import Mapping

from attrs import field, frozen


class RolloutState(enum.StrEnum):
    """How far a roll-out is."""

    ACTIVE = 'active'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled_back'


@frozen(kw_only=True)
class RolloutOrder:
    """An operator's wish to move a service to a version.

    :ivar service: the service.
    :ivar target: the version wanted.
    :ivar duration_s: time limit.
    """

    service: str
    target: str
    duration_s: float


@frozen(kw_only=True)
class RolloutStatus:
    """What has become of an order.

    :ivar target: the version that the order named.
    :ivar state: how far it is.
    """

    target: str
    state: RolloutState


@frozen(kw_only=True)
class Tally:
    """Answers of one version, as counted by one daemon.

    :ivar answers: answers judged.
    :ivar failures: those that failed or were broken off.
    :ivar slow: those that took far longer than the others' usual time.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        """Answers that speak against the version."""
        return self.failures + self.slow

    def add(self, other: 'Tally') -> 'Tally':
        """Add another tally.

        :param other: counts of other answers.
        """
        return Tally(
            answers=self.answers + other.answers,
            failures=self.failures + other.failures,
            slow=self.slow + other.slow,
        )


@frozen(kw_only=True)
class RolloutReport:
    """What one daemon tells the others about a roll-out.

    :ivar target: the version that it is about.
    :ivar elapsed_s: time since the order, as far as the daemon knows.
    :ivar tallies: counts by route.
    """

    target: str
    elapsed_s: float = 0
    tallies: Mapping[str, Tally] = field(factory=dict)
