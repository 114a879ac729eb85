"""Placement penalties, in seconds of queueing delay."""

from typing import Final

# A full endpoint costs as much as one second of queued work; another
# availability zone or scheduling class costs a fraction of that.
FULL_PENALTY_S: Final = 1.0
CROSS_ZONE_PENALTY_S: Final = 0.35
CLASS_MISMATCH_PENALTY_S: Final = 0.5
