"""Goodput and admission of an emulated fleet with and without load decisions.

Run with ``PYTHONPATH=. python -m benchmarks.load_shedding``.
"""

import argparse

from tests.emulated_load import KINDS, EmulatedLoad

WARM_UP_S = 7
END_S = 25
LOADS = (1, 1.5, 2, 3)


def run(*, seed, load, is_deciding):
    """Print one row: goodput, then calls in time by kind."""
    fleet = EmulatedLoad(seed=seed, is_deciding=is_deciding)
    fleet.run(END_S, load)
    shares = '  '.join(
        f'{kind.name} '
        f'{fleet.get_good_share(WARM_UP_S, END_S - 3, kind=kind.name):.2f}'
        for kind in KINDS
    )
    label = 'decisions' if is_deciding else 'none     '
    goodput = fleet.get_goodput(WARM_UP_S, END_S)
    print(
        f'{label}  load {load:<4} goodput {goodput:.2f}  in time: {shares}  '
        f'wrong refusals {fleet.wrong_refusals}'
    )


def main():
    """Print a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    for is_deciding in (False, True):
        for load in LOADS:
            run(seed=arguments.seed, load=load, is_deciding=is_deciding)


if __name__ == '__main__':
    main()
