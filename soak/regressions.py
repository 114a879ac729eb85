"""Seeds that every test run repeats."""

from collections.abc import Mapping
from typing import Final

# Seconds during which faults are started, and the case that the seed covers.
SEEDS: Final[Mapping[int, tuple[float, str]]] = {
    3: (6, 'overlapping stops, a kill, key changes and a roll-out'),
    17: (
        20,
        'closed 0.27 s after sending, as a stop ended; request was not read',
    ),
}
