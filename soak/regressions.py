"""Seeds that are played in every run of the tests."""

from collections.abc import Mapping
from typing import Final

# Each with the seconds for which faults begin, and why it stays.
SEEDS: Final[Mapping[int, tuple[float, str]]] = {
    3: (6, 'stops, a kill, key changes and a roll-out over one another'),
    17: (
        20,
        'cut 0.27 s after sending, as a stop ended; it was not read',
    ),
}
