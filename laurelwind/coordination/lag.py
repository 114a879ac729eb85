"""How late the daemon's own timers fire."""

from typing import Final

import anyio
from anyio.abc import TaskGroup

from laurelwind.state.load import read_clock

# Seconds between two measurements; one wake a second costs nothing.
PERIOD_S: Final = 1.0
# The longest delay is kept for this long, so that it outlives the interval
# between two readings of the metrics.
KEPT_S: Final = 10.0


class LoopLag:
    """Measures by how much sleeps take longer than they should.

    A long delay means that the event loop was busy, or that the machine was
    slow or suspended.
    """

    def __init__(self) -> None:
        self._longest_s: float = 0
        self._longest_at = float('-inf')

    @property
    def longest_s(self) -> float:
        """Longest delay of the last seconds."""
        is_old = read_clock() - self._longest_at > KEPT_S
        return 0 if is_old else self._longest_s

    def start(self, group: TaskGroup) -> None:
        """Begin to measure.

        :param group: the daemon's tasks.
        """
        group.start_soon(self._measure)

    def note(self, delay_s: float) -> None:
        """Take in one delay.

        :param delay_s: seconds by which a sleep took too long.
        """
        if delay_s >= self.longest_s:
            self._longest_s = delay_s
            self._longest_at = read_clock()

    async def _measure(self) -> None:
        while True:
            begun_at = read_clock()
            await anyio.sleep(PERIOD_S)
            self.note(max(read_clock() - begun_at - PERIOD_S, 0))
