"""Seeds that every test run repeats."""

from collections.abc import Sequence
from typing import Final

from attrs import frozen


@frozen
class RegressionSeed:
    """A seed and the case that it covers.

    :ivar scenario: name of its scenario.
    :ivar seconds: time during which faults are started.
    """

    seed: int
    scenario: str
    seconds: float
    case: str


SEEDS: Final[Sequence[RegressionSeed]] = (
    RegressionSeed(
        3,
        'faults',
        6,
        'overlapping stops, a kill, key changes and a roll-out',
    ),
    RegressionSeed(
        17,
        'faults',
        20,
        'closed 0.27 s after sending, as a stop ended; request was not read',
    ),
    RegressionSeed(
        1,
        'operations',
        8,
        'begun streams given up for silence; answers cut as a stop ended',
    ),
    RegressionSeed(
        3,
        'restores',
        8,
        'a store restored from older copies; endpoints that announce that they'
        ' leave',
    ),
    RegressionSeed(
        1,
        'limits',
        12,
        'endpoints that state rate limits, while daemons come and go',
    ),
    RegressionSeed(
        1,
        'answers',
        12,
        'prompts that crash endpoints; bytes without end; answers without'
        ' length',
    ),
    RegressionSeed(
        3,
        'partial',
        10,
        'a store that turns away the sources of both zones; tables in series',
    ),
    RegressionSeed(
        1,
        'repeats',
        10,
        'requests that crash endpoints and come again, beside other faults',
    ),
    RegressionSeed(
        4,
        'misuse',
        10,
        'endless heads, blank lines, incomplete bodies and unread answers',
    ),
    RegressionSeed(
        7,
        'zones',
        12,
        'evacuated zones, endpoints that return cold or turn cold again',
    ),
)
