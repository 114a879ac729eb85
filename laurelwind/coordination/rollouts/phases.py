"""Phases of a roll-out: when which share of the sessions moves."""

from typing import Final

# Fractions of an order's time limit. A session may not change its version in
# the first half; then the target version serves some sessions, then all.
CANARY_FRACTION: Final = 0.51
SHIFT_FRACTION: Final = 0.66
SUCCESS_FRACTION: Final = 0.92
# Sessions after the shift, as a multiple of the share before it. All sessions
# move only at the time limit: a version that fails later has had by then
# at most 0.15 + 2 x 0.34 = 0.83 of its exposure bound, which leaves room for a
# burst in the second half.
STEP_FACTOR: Final = 2.0
# Seconds of the time limit reserved for writing the final status.
SUCCESS_MARGIN_S: Final = 0.8
# Age of the last read of the statuses above which a daemon does not use the
# target version, since it may have been rolled back.
MAX_STATUS_AGE_S: Final = 3.0
# Seconds between the decision to shift and the shift. A daemon that has not
# read the decision by then does not use the target version at all.
SHIFT_NOTICE_S: Final = MAX_STATUS_AGE_S

# Seconds after the success for which evidence still counts, while endpoints of
# the old version are known; load that comes later is not the roll-out's.
WATCH_S: Final = 60.0


def compute_success_s(duration_s: float) -> float:
    """Return the seconds since the order at which success is written.

    :param duration_s: time limit of the order, in seconds.
    """
    return min(duration_s * SUCCESS_FRACTION, duration_s - SUCCESS_MARGIN_S)


def compute_moved_share(
    canary_share: float,
    elapsed_s: float,
    shift_at_s: float | None,
    duration_s: float,
) -> float:
    """Return the share of the sessions that moved, after the first half.

    :param canary_share: the share before the shift.
    :param elapsed_s: seconds since the order.
    :param shift_at_s: seconds since the order at which more sessions move, or
        ``None`` before that is decided.
    :param duration_s: time limit of the order, in seconds.
    """
    if shift_at_s is None or elapsed_s < shift_at_s:
        return canary_share
    return 1 if elapsed_s >= duration_s else min(canary_share * STEP_FACTOR, 1)
