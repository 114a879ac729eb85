"""Ranks the reports of crashes where too many are kept."""

import itertools
from collections import Counter
from collections.abc import Mapping
from typing import Final

from laurelwind.state.crash_reports import (
    SuspectKeys,
    select_parts,
    select_requests,
)

# How many of the strongest reports remain of each kind of suspect.
REMAINING_REPORTS: Final = 96


def choose_remaining(suspects: Mapping[str, SuspectKeys]) -> set[str]:
    """Choose the reports whose suspects failed most; of these, the newest.

    Parts and requests are ranked apart, so that many reports with a common part
    leave those of a request that recurs.

    :param suspects: suspects that may have caused the crash of each report, in
        the order of arrival.
    """
    frequencies = Counter(itertools.chain.from_iterable(suspects.values()))
    remaining: set[str] = set()
    for select in (select_requests, select_parts):
        strengths = {
            attempt: max((frequencies[key] for key in select(keys)), default=0)
            for attempt, keys in suspects.items()
        }
        ranked = sorted(strengths, key=strengths.__getitem__)
        remaining.update(ranked[-REMAINING_REPORTS:])
    return remaining
