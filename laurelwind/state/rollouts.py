"""Roll-outs: orders, status, and the evidence on a version."""

import enum
from collections.abc import Mapping

from attrs import field, frozen


class RolloutState(enum.StrEnum):
    """Progress of a roll-out."""

    ACTIVE = 'active'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled_back'


@frozen(kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    :ivar service: name of the service.
    :ivar target: the version to move to.
    :ivar duration_s: time limit of the roll-out, in seconds.
    """

    service: str
    target: str
    duration_s: float


@frozen(kw_only=True)
class RolloutStatus:
    """Status of a roll-out.

    :ivar target: the version to move to.
    :ivar state: progress of the roll-out.
    """

    target: str
    state: RolloutState


@frozen(kw_only=True)
class Tally:
    """Answers of one version, counted by one daemon.

    :ivar answers: number of answers evaluated.
    :ivar failures: number of answers that failed or were cut off.
    :ivar slow: number of answers far slower than those of the version in use.
    :ivar timed: number of answers whose latency was compared, also while they
        were under way.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0
    timed: int = 0

    @property
    def bad_answers(self) -> int:
        """Number of answers that count against the version."""
        return self.failures + self.slow

    def has_more(self, other: 'Tally') -> bool:
        """Return whether the tally counts more than an earlier one.

        :param other: the earlier tally.
        """
        return (self.answers, self.timed) > (other.answers, other.timed)

    def add(self, other: 'Tally') -> 'Tally':
        """Return the sum of two tallies.

        :param other: tally of other answers.
        """
        return Tally(
            answers=self.answers + other.answers,
            failures=self.failures + other.failures,
            slow=self.slow + other.slow,
            timed=self.timed + other.timed,
        )

    def subtract(self, other: 'Tally') -> 'Tally':
        """Return the tally without answers that it includes.

        :param other: tally of these answers.
        """
        return Tally(
            answers=self.answers - other.answers,
            failures=self.failures - other.failures,
            slow=self.slow - other.slow,
            timed=self.timed - other.timed,
        )


@frozen(kw_only=True)
class RolloutReport:
    """Report on a roll-out that one daemon shares with its peers.

    :ivar target: the version to move to.
    :ivar elapsed_s: time since the order as measured by the daemon, in seconds.
    :ivar tallies: tally of the target version by route name.
    :ivar old_tally: tally of the version in use, over all routes.
    """

    target: str
    elapsed_s: float = 0
    tallies: Mapping[str, Tally] = field(factory=dict)
    old_tally: Tally = field(factory=Tally)


@frozen(kw_only=True)
class RolloutShift:
    """Decision to move all sessions to the target version.

    :ivar target: the version to move to.
    :ivar shift_at_s: time since the order at which every daemon moves its
        sessions, in seconds.
    """

    target: str
    shift_at_s: float
