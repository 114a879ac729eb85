"""Sequential test for bad versions: false alarms, delay, noisy workspaces."""

import random

from hypothesis import given
from hypothesis import strategies as st

from laurelwind.state.detector import BadVersionDetector
from laurelwind.state.evidence import Counts, EvidenceTable, Subject

SUBJECTS = [
    Subject(workspace=f'w{index}', task='draft', reference='m@1')
    for index in range(3)
]


def run_detector(rates, ratings, seed):
    """Add ratings in turn; return the verdict and the ratings before it."""
    generator = random.Random(seed)
    detector = BadVersionDetector()
    for number in range(ratings):
        pass_rates = rates(number)
        subject = SUBJECTS[number % len(SUBJECTS)]
        passed = generator.random() < pass_rates[number % len(SUBJECTS)]
        verdict = detector.add(
            subject, passed=int(passed), failed=int(not passed), prior=0.9
        )
        if verdict is not None:
            return verdict, number
    return None, ratings


def test_good_version_gets_no_verdict_in_many_ratings():
    alarms = sum(
        run_detector(lambda _: (0.9, 0.85, 0.95), 3000, seed)[0] is not None
        for seed in range(60)
    )
    assert alarms == 0


def test_degraded_version_gets_a_verdict_within_few_ratings():
    delays = []
    for seed in range(40):
        verdict, number = run_detector(
            lambda number: (0.9,) * 3 if number < 300 else (0.2,) * 3, 900, seed
        )
        assert verdict is not None
        assert number >= 300
        delays.append(number - 300)
    assert sorted(delays)[len(delays) // 2] <= 30


def test_noisy_workspace_gets_a_verdict_for_itself_only():
    for seed in range(20):
        verdict, _ = run_detector(
            lambda number: (0.9,) * 3 if number < 300 else (0.0, 0.9, 0.9),
            900,
            seed,
        )
        assert verdict is not None
        assert verdict.workspace == 'w0'


counts = st.builds(Counts, passed=st.integers(0, 50), failed=st.integers(0, 50))
views = st.lists(
    st.tuples(st.sampled_from(SUBJECTS), st.sampled_from('abc'), counts),
    max_size=12,
)


@given(views=views, order=st.randoms(use_true_random=False))
def test_merges_are_commutative_and_idempotent(views, order):
    first = EvidenceTable(daemon='x')
    second = EvidenceTable(daemon='y')
    shuffled = [*views, *views]
    order.shuffle(shuffled)
    for view in views:
        first.merge(*view)
    for view in shuffled:
        second.merge(*view)
    for subject in SUBJECTS:
        assert first.sum(subject) == second.sum(subject)
