"""Seeds that are played in every run of the tests."""

from collections.abc import Mapping
from typing import Final

# Each with the reason for which it stays.
SEEDS: Final[Mapping[int, str]] = {
    3: 'stops, a kill, key changes and a roll-out over one another',
}
