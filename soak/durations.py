"""Durations of faults."""

import random

# Duration of a fault in seconds. The maximum exceeds the bound for revoked
# keys, so that revocation depends on the lease of the routing table.
MIN_DURATION_S = 0.3
MAX_DURATION_S = 7.0


def choose_duration(rng: random.Random, max_s: float = MAX_DURATION_S) -> float:
    """Choose the duration of a fault, in seconds."""
    return rng.uniform(MIN_DURATION_S, max_s)
