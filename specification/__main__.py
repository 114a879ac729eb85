"""Checks the specification, and that it fails with either rule disabled."""

import sys

from specification.claims import Rules, check


def main() -> int:
    """Run the three checks and return the exit code."""
    full_result = check(Rules())
    holds = all(
        checked['holds'] is True
        for checked in full_result['properties'].values()
    )
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
