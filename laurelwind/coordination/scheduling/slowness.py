"""Penalty of endpoints whose events come slower than those of the others."""

import statistics
from collections.abc import Sequence
from typing import Final

# Penalty for an event latency that is a multiple of the median of the
# endpoints: zero up to SLOW_LATENCY_RATIO, then proportional to the excess.
SLOW_LATENCY_RATIO: Final = 3.0
SLOW_PENALTY_S: Final = 0.4
MAX_SLOW_PENALTY_S: Final = 2.0


def compute_baseline_latency(unit_latencies: Sequence[float]) -> float:
    """Return the median of known latencies, or zero if there are too few.

    :param unit_latencies: seconds per event of each endpoint; zero if unknown.
    """
    positive = [latency_s for latency_s in unit_latencies if latency_s]
    return statistics.median(positive) if len(positive) > 2 else 0


def compute_slow_penalty(unit_latency_s: float, baseline_s: float) -> float:
    """Return the penalty of an endpoint in seconds.

    :param unit_latency_s: its seconds per event; zero if unknown.
    :param baseline_s: median of all endpoints; zero if unknown.
    """
    if not unit_latency_s or not baseline_s:
        return 0
    excess = max(unit_latency_s / baseline_s - SLOW_LATENCY_RATIO, 0)
    return min(excess * SLOW_PENALTY_S, MAX_SLOW_PENALTY_S)
