"""Order in which daemons write the decisions of a roll-out."""

import math
from typing import Final

# Seconds that a daemon waits before it writes what the daemons of lower rank
# have not written, each time the rank doubles.
RANK_DELAY_S: Final = 0.6


def compute_rank_delay(rank: int) -> float:
    """Return the seconds for which daemons of lower rank write first.

    The delay grows with the logarithm of the rank, so that in a fleet of
    hundreds somebody writes within a few seconds, whoever is down.

    :param rank: index of the daemon among the members.
    """
    return RANK_DELAY_S * math.floor(math.log2(rank + 1))
