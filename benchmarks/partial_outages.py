"""Prints what sound daemons know while others lose the store.

Plays the faults of ``tests/test_stale_copies.py`` on emulated fleets: how old
the knowledge of sound daemons becomes, how late a change, and how many calls of
the store it costs.
"""

import argparse

import pytest

from tests.test_stale_copies import FAULTS, GROWN, LARGE, STRICT, WIDE, play

SITES = {
    '70, 3 s': GROWN,
    '70, 2 s': STRICT,
    '195, 3 s': WIDE,
    '371, 4 s': LARGE,
}


def run() -> None:
    """Play every fault on the chosen sites, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--site', choices=SITES, action='append')
    parser.add_argument('--seeds', type=int, default=1)
    arguments = parser.parse_args()
    print('| site | fault | seed | oldest | late | not ready | calls |')
    print('|---|---|---|---|---|---|---|')
    for site in arguments.site or SITES:
        for name, (fault, choose) in FAULTS.items():
            for seed in range(1, arguments.seeds + 1):
                with pytest.MonkeyPatch.context() as monkeypatch:
                    seen = play(monkeypatch, SITES[site], fault, choose, seed)
                oldest_s = max(seen.oldest_s.values())
                print(
                    f'| {site} | {name} | {seed} | {oldest_s:.2f} s '
                    f'| {seen.late_s:.2f} s | {len(seen.unready)} '
                    f'| {seen.calls} |',
                    flush=True,
                )


if __name__ == '__main__':
    run()
