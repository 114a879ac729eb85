"""Time-outs for the first byte, from the waits that were observed.

An endpoint that accepts a request and never answers costs the request the
whole time-out.  The time-out must be short when endpoints answer early, but
not so short that a burst, which delays all answers, makes daemons send every
request twice.
"""

from collections import deque
from collections.abc import Set
from typing import Final

# Recent waits that are considered, and the fewest from which a time-out is
# derived.
_MAX_SAMPLES: Final = 64
_MIN_SAMPLES: Final = 16
# The quantile stays within the sound endpoints while a quarter are silent, and
# rises in a burst, which delays most answers.
WAIT_QUANTILE: Final = 0.75
QUANTILE_FACTOR: Final = 3.0
# Bounds of the time-out beyond the expected delay, as shares of the latency
# goal. Before enough waits are known, the upper one applies.
MIN_GOAL_RATIO: Final = 0.25
MAX_GOAL_RATIO: Final = 0.8


class SilenceTimeouts:
    """Time-outs for the first byte of a stream, by group of requests."""

    def __init__(self) -> None:
        self._excess_waits: dict[tuple[str, str], deque[float]] = {}

    def record_wait(
        self, group: tuple[str, str], waited_s: float, expected_delay_s: float
    ) -> None:
        """Record a wait, whether it ended with a byte or with a time-out.

        Time-outs count as well: in a burst they are all that is seen.

        :param group: route and model.
        :param waited_s: seconds from sending to the first byte or time-out.
        :param expected_delay_s: delay expected at sending, in seconds.
        """
        if group not in self._excess_waits:
            self._excess_waits[group] = deque(maxlen=_MAX_SAMPLES)
        self._excess_waits[group].append(max(waited_s - expected_delay_s, 0))

    def discard_routes(self, names: Set[str]) -> None:
        """Discard the waits of routes that were removed.

        :param names: names of the routes.
        """
        for group in tuple(self._excess_waits):
            if group[0] in names:
                self._excess_waits.pop(group)

    def compute_timeout(
        self,
        group: tuple[str, str],
        expected_delay_s: float,
        latency_goal_s: float,
    ) -> float:
        """Return the seconds after which an endpoint counts as silent.

        :param group: route and model.
        :param expected_delay_s: delay expected at sending, in seconds.
        :param latency_goal_s: latency goal of the route, in seconds.
        """
        max_excess_s = latency_goal_s * MAX_GOAL_RATIO
        samples = self._excess_waits.get(group, ())
        if len(samples) < _MIN_SAMPLES:
            return expected_delay_s + max_excess_s
        quantile_s = sorted(samples)[int(len(samples) * WAIT_QUANTILE)]
        excess_s = max(
            quantile_s * QUANTILE_FACTOR, latency_goal_s * MIN_GOAL_RATIO
        )
        return expected_delay_s + min(excess_s, max_excess_s)
