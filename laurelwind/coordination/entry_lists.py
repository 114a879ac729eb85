"""Chooses the daemons that callers may connect to."""

import random
from collections.abc import Sequence
from typing import Final

from laurelwind.protocol.platform import ListedInstance

# Smallest number of daemons in a zone for callers of that zone to be sent only
# to these, so that one remains if another fails.
MIN_ZONE_MEMBERS: Final = 2


def choose_entries(
    members: Sequence[ListedInstance], zone: str, limit: int
) -> Sequence[str]:
    """Return the caller addresses for a caller of a zone.

    Where more daemons are eligible than an answer may name, each answer names
    others, so that callers spread over all of them.

    :param members: the daemons that accept callers.
    :param zone: availability zone of the caller.  Only daemons of this zone
        are chosen if there are enough for one of them to fail.
    :param limit: largest number of addresses.
    """
    same_zone = [member for member in members if member.zone == zone]
    eligible = same_zone if len(same_zone) >= MIN_ZONE_MEMBERS else members
    chosen = (
        eligible if len(eligible) <= limit else random.sample(eligible, limit)
    )
    return [member.caller_address for member in chosen]
