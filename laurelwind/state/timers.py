"""Distinguishes time-outs that fired on time from late ones."""

from typing import Final

from laurelwind.state.load import read_monotonic_clock

# Lateness, in seconds, above which a time-out tells nothing about a peer: the
# event loop was blocked, or the machine was suspended, and what the peer sent
# meanwhile may not have been read.
MAX_LATENESS_S: Final = 0.1


def is_timer_late(started_at: float, timeout_s: float) -> bool:
    """Return whether a time-out that fires now is late.

    :param started_at: moment of its start, on the monotonic clock.
    :param timeout_s: its length, in seconds.
    """
    return read_monotonic_clock() - started_at - timeout_s > MAX_LATENESS_S
