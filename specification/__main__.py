"""Checks the specifications, and that they fail with a rule disabled."""

import sys
from typing import Any

from specification.claims import Rules, check
from specification.permits import Timing, check_permits
from specification.restores import Rules as ReaderRules
from specification.restores import check_restores


def main() -> int:
    """Run the checks and return the exit code."""
    verdicts = (
        _check_claims(),
        _report(
            'permits',
            check_permits(Timing()),
            check_permits(Timing(takeover=0)),
        ),
        _report(
            'restores',
            check_restores(ReaderRules()),
            check_restores(ReaderRules(keep_newest=False)),
            check_restores(ReaderRules(compare_eras=False)),
        ),
    )
    return max(verdicts)


def _report(name: str, full: dict[str, Any], *weakened: dict[str, Any]) -> int:
    """Print whether a specification holds, and fails without each rule."""
    holds = _find_verdict(full)
    is_good = holds and not any(map(_find_verdict, weakened))
    states = full['reachable_states']
    sys.stdout.write(f'{name}: states={states} holds={holds} good={is_good}\n')
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
