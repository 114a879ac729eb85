"""Lease that limits how old a routing table may be when it is used."""

import time
from collections.abc import Callable
from typing import Final

NEVER: Final = float('-inf')


def read_boot_clock() -> float:
    """Return seconds of the boot clock, which also runs during suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FreshnessLease:
    """Lease on the routing table, valid while the table is recent enough.

    Each complete read of the source renews the lease as of the time at which
    the read began.  Nothing else renews it.

    :param duration_s: maximum age of a usable table, in seconds.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        duration_s: float,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self.duration_s = duration_s
        self._clock = clock
        self._confirmed_at = NEVER

    @property
    def age_s(self) -> float:
        """Age of the table: seconds since the last complete read began."""
        return self._clock() - self._confirmed_at

    @property
    def is_valid(self) -> bool:
        """Whether the table may be used."""
        return self.age_s < self.duration_s

    def renew(self, begun_at: float) -> None:
        """Renew the lease after a complete read.

        :param begun_at: start time of the read, on the lease's clock.
        """
        self._confirmed_at = max(self._confirmed_at, begun_at)

    def read_clock(self) -> float:
        """Return the current time on the lease's clock."""
        return self._clock()
