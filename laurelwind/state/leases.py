"""A lease on the right to act on the routing table."""

import time
from collections.abc import Callable
from typing import Final

NEVER: Final = float('-inf')


def read_boot_clock() -> float:
    """Give seconds on a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FreshnessLease:
    """Tells how old the knowledge of the routing table may be.

    Each complete read of the source renews the lease as of the moment at
    which the read was begun.  Nothing else renews it.

    :param duration_s: age up to which the table may be acted on.
    :param clock: gives seconds.
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
        """Seconds since the table was last known to be the newest."""
        return self._clock() - self._confirmed_at

    @property
    def is_valid(self) -> bool:
        """Whether the table may be acted on."""
        return self.age_s < self.duration_s

    def renew(self, begun_at: float) -> None:
        """Renew the lease.

        :param begun_at: when the read was begun, on the lease's clock.
        """
        self._confirmed_at = max(self._confirmed_at, begun_at)

    def read_clock(self) -> float:
        """Give the time on the lease's clock."""
        return self._clock()
