"""Finds the members that only a restored store lists."""

from collections.abc import Callable, Set
from typing import Final

from laurelwind.state.leases import NEVER, read_boot_clock

# Seconds, on top of ``contact_s``, after a restore for which a member that had
# left before it is not named to callers: the time to read the list.
READ_S: Final = 1.0
# Members that left and are remembered; the newest count.
MAX_DEPARTED: Final = 1024


class RestoredMembers:
    """Members that left, as an older copy of the store lists them again.

    Those that are alive renew their memberships, and the others expire.

    :param contact_s: seconds after which a daemon that is gone is no member;
        zero if no member is ever hidden.
    :param clock: clock in seconds that also advances during suspend.
    """

    def __init__(
        self,
        *,
        contact_s: float = 0,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._hide_s = contact_s + READ_S if contact_s else 0
        self._clock = clock
        self._era: int | None = None
        self._restored_at = NEVER
        self._names: Set[str] = frozenset()
        self._departed: dict[str, None] = {}
        self._hidden: dict[str, float] = {}

    def record(self, names: Set[str], era: int) -> None:
        """Record the list of members.

        :param names: names of the members.
        :param era: era of the store that lists them.
        """
        now = self._clock()
        if self._era is not None and era > self._era:
            self._restored_at = now
        self._era = era
        hidden_until = self._restored_at + self._hide_s
        for name in names - self._names:
            if name in self._departed and hidden_until > now:
                self._hidden[name] = hidden_until
            self._departed.pop(name, None)
        for name in self._names - names:
            self._departed[name] = None
            self._hidden.pop(name, None)
            if len(self._departed) > MAX_DEPARTED:
                self._departed.pop(next(iter(self._departed)))
        self._names = names

    def is_hidden(self, name: str) -> bool:
        """Return whether a member may be gone, and is not named to callers.

        :param name: name of the member.
        """
        until = self._hidden.get(name)
        if until is None:
            return False
        if until <= self._clock():
            self._hidden.pop(name)
            return False
        return True
