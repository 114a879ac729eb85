"""Checks the specifications, and that they fail with a rule disabled."""

import sys
from typing import Any

from specification.claims import Rules, check
from specification.permits import Timing, check_permits


def main() -> int:
    """Run the checks and return the exit code."""
    return max(_check_claims(), _check_permits())


def _check_permits() -> int:
    full_result = check_permits(Timing())
    weakened_result = check_permits(Timing(takeover=0))
    holds = _find_verdict(full_result)
    is_good = holds and not _find_verdict(weakened_result)
    states = full_result['reachable_states']
    sys.stdout.write(f'permits: states={states} holds={holds} good={is_good}\n')
    return 0 if is_good else 1


def _find_verdict(result: dict[str, Any]) -> bool:
    return all(
        checked['holds'] is True for checked in result['properties'].values()
    )


def _check_claims() -> int:
    full_result = check(Rules())
    holds = _find_verdict(full_result)
    weakened_results = {
        'without reading back': check(Rules(read_back_claims=False)),
        'without voiding old epochs': check(Rules(void_old_epochs=False)),
    }
    is_good = holds
    for name, result in weakened_results.items():
        broken = [
            checked
            for checked in result['properties'].values()
            if checked['holds'] is False
        ]
        is_good = is_good and bool(broken)
        sys.stdout.write(f'{name}: {len(broken)} properties broken\n')
        for checked in broken[:1]:
            for transition in checked['counterexample']:
                label = transition['label'] or 'start'
                sys.stdout.write(f'  {label}\n')
    states = full_result['reachable_states']
    sys.stdout.write(f'states={states} holds={holds} good={is_good}\n')
    return 0 if is_good else 1


if __name__ == '__main__':
    sys.exit(main())
