"""Short runs of the fault soak: daemon processes with injected faults."""

import anyio
import pytest

from soak.__main__ import run_seed
from soak.regressions import SEEDS
from soak.scenarios import SCENARIOS


@pytest.mark.parametrize(
    'row', SEEDS, ids=[f'{row.scenario}-{row.seed}' for row in SEEDS]
)
def test_guarantees_hold_under_injected_faults(row, tmp_path):
    violations, outcomes, faults = anyio.run(
        run_seed, row.seed, row.seconds, tmp_path, SCENARIOS[row.scenario]
    )
    assert not violations, (violations, faults)
    assert faults
    served = sum(
        count for name, count in outcomes.items() if name.endswith(' 200')
    )
    assert served > outcomes.total() / 2
