"""Numbers in headers, and load reports."""

import math
from collections.abc import Sequence
from typing import Final

from laurelwind.protocol.exchanges import LoadReport

# Longer numbers count as malformed: they fit no integer of 64 bits.
_MAX_DIGITS: Final = 18
_LOAD_COUNTS: Final = 3
_PERCENT: Final = 100
# A larger fourth figure of a load report counts as malformed: at a hundredth of
# the usual speed an endpoint serves no request within its deadline.
MAX_PACE_PERCENT: Final = 10_000


def parse_number(text: bytes | None) -> float | None:
    """Return a finite number, or ``None`` for any other text.

    :param text: text of a header, or ``None``.
    """
    try:
        number = float(text or b'')
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def is_count(text: str) -> bool:
    """Return whether a text is a count that fits an integer of 64 bits.

    :param text: the text.
    """
    return text.isdecimal() and len(text) <= _MAX_DIGITS


def parse_load(text: bytes | None) -> LoadReport | None:
    """Parse a load report; figures behind the fourth are ignored.

    :param text: text of the header, or ``None``.
    """
    figures = (text or b'').decode('latin-1').split(',')
    counts = figures[:_LOAD_COUNTS]
    if len(counts) < _LOAD_COUNTS or not all(
        is_count(count.strip()) for count in counts
    ):
        return None
    running, waiting, slots = (int(count) for count in counts)
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=_parse_slowdown(figures[_LOAD_COUNTS:]),
    )


def _parse_slowdown(figures: Sequence[str]) -> float | None:
    """Return the reported slowdown, or ``None`` if it cannot be used."""
    percent = parse_number(figures[0].encode('latin-1')) if figures else None
    if percent is None or not 0 < percent <= MAX_PACE_PERCENT:
        return None
    return percent / _PERCENT
