"""Short runs of the fault soak: daemon processes with injected faults."""

import anyio
import pytest

from soak.__main__ import run_seed
from soak.regressions import SEEDS
from soak.scenarios import SCENARIOS


def print_outcome(row, violations, outcomes, faults):
    """Print what pytest shows of a failed test, one violation per line.

    An assertion alone is cut after a few lines, and a seed need not break the
    same guarantee when it is played again.
    """
    print(f'scenario {row.scenario}, seed {row.seed}, {row.seconds} s')
    for violation in violations:
        print('violation:', violation)
    for name, count in sorted(outcomes.items()):
        print('outcome:', name, count)
    for fault in faults:
        print('fault:', fault)


@pytest.mark.parametrize(
    'row', SEEDS, ids=[f'{row.scenario}-{row.seed}' for row in SEEDS]
)
def test_guarantees_hold_under_injected_faults(row, tmp_path):
    violations, outcomes, faults = anyio.run(
        run_seed, row.seed, row.seconds, tmp_path, SCENARIOS[row.scenario]
    )
    print_outcome(row, violations, outcomes, faults)
    assert not violations, violations
    assert faults
    served = sum(
        count for name, count in outcomes.items() if name.endswith(' 200')
    )
    assert served > outcomes.total() / 2
