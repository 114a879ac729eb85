"""Short runs of the fault soak: daemon processes with injected faults."""

import anyio
import pytest

from soak.__main__ import run_seed
from soak.regressions import SEEDS


@pytest.mark.parametrize('seed', SEEDS)
def test_guarantees_hold_under_injected_faults(seed, tmp_path):
    seconds, _ = SEEDS[seed]
    violations, outcomes, faults = anyio.run(run_seed, seed, seconds, tmp_path)
    assert not violations, (violations, faults)
    assert faults
    served = sum(
        count for name, count in outcomes.items() if name.endswith(' 200')
    )
    assert served > outcomes.total() / 2
