"""Measures the scheduling delay of the event loop."""

from typing import Final

import anyio
from anyio.abc import TaskGroup

from laurelwind.state.load import read_monotonic_clock

# Interval between two measurements; one wake-up per second is negligible.
MEASUREMENT_PERIOD_S: Final = 1.0
# Longer than the scrape interval of the metrics, so that each scrape includes
# the maximum delay since the previous one.
RETENTION_S: Final = 10.0


class LoopLag:
    """Measures how much longer sleeps take than requested.

    A long delay means that the event loop was blocked, or that the machine
    was overloaded or suspended.
    """

    def __init__(self) -> None:
        self._longest_s: float = 0
        self._longest_at = float('-inf')

    @property
    def longest_s(self) -> float:
        """Longest delay in seconds within the retention period."""
        is_expired = read_monotonic_clock() - self._longest_at > RETENTION_S
        return 0 if is_expired else self._longest_s

    def start(self, group: TaskGroup) -> None:
        """Start measuring.

        :param group: task group in which the measurement runs.
        """
        group.start_soon(self._measure)

    def record(self, delay_s: float) -> None:
        """Record one delay.

        :param delay_s: seconds by which a sleep exceeded its duration.
        """
        if delay_s >= self.longest_s:
            self._longest_s = delay_s
            self._longest_at = read_monotonic_clock()

    async def _measure(self) -> None:
        while True:
            started_at = read_monotonic_clock()
            await anyio.sleep(MEASUREMENT_PERIOD_S)
            self.record(
                max(
                    read_monotonic_clock() - started_at - MEASUREMENT_PERIOD_S,
                    0,
                )
            )
