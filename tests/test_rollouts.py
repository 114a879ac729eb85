"""Assignment of requests to versions, and rejection of bad versions."""

import random

import pytest

from laurelwind.coordination.rollouts.evidence import (
    AnswerOutcome,
    should_accept,
    should_reject,
)
from laurelwind.coordination.rollouts.latencies import Latency
from laurelwind.coordination.rollouts.progress import SHIFT_NOTICE_S
from laurelwind.coordination.rollouts.ranks import compute_rank_delay
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutShift,
    RolloutState,
    RolloutStatus,
    Tally,
)
from tests.relay_helpers import build_endpoint_record, build_silent_log

OLD_ENDPOINTS = [build_endpoint_record(f'o{number}') for number in range(3)]
TARGET_ENDPOINTS = [
    build_endpoint_record(f'n{number}', version='v2') for number in range(3)
]
SESSIONS = [f's{number}' for number in range(400)]


def build_book(clock, name='d1', **fields):
    return RolloutRegistry(
        local_daemon=name,
        log=build_silent_log(),
        clock=clock,
        **{'exposure_share': 0.15, **fields},
    )


@pytest.fixture
def book(clock):
    rollout_book = build_book(clock)
    rollout_book.apply_order(
        RolloutOrder(service='pool', target='v2', duration_s=20)
    )
    return rollout_book


def apply_due_shift(book):
    """Write the decision to shift that is due, as the status exchange does."""
    for service, shift in tuple(book.list_due_shifts(0)):
        book.apply_shift(service, shift)


def measure_target_share(book):
    chosen = [
        book.filter_endpoints(
            'pool', session, OLD_ENDPOINTS + TARGET_ENDPOINTS
        )[0].version
        == 'v2'
        for session in SESSIONS
    ]
    return sum(chosen) / len(chosen)


def record_answers(
    book, endpoint, *, failed=False, unit_latency_s=0.02, count=1
):
    for _ in range(count):
        book.record_outcome(
            endpoint,
            AnswerOutcome(
                route='draft',
                failed=failed,
                latency=Latency(unit_s=unit_latency_s),
            ),
        )


def list_due_states(book, rank=0):
    return [status.state for _, status in book.list_due_statuses(rank)]


def test_no_session_changes_version_in_the_first_half(book, clock):
    for elapsed in (0, 3, 6, 9.9):
        clock.now = 100 + elapsed
        assert measure_target_share(book) == 0


def test_canary_share_stays_below_the_exposure_limit(book, clock):
    clock.now = 112
    book.record_read()
    assert 0 < measure_target_share(book) < 0.2


def test_session_stays_on_a_good_target_version(book, clock):
    clock.now = 112
    book.record_read()
    canary_sessions = {
        session
        for session in SESSIONS
        if book.filter_endpoints(
            'pool', session, OLD_ENDPOINTS + TARGET_ENDPOINTS
        )[0]
        in TARGET_ENDPOINTS
    }
    for elapsed in (13, 15, 19):
        clock.now = 100 + elapsed
        book.record_read()
        for session in canary_sessions:
            assert (
                book.filter_endpoints(
                    'pool', session, OLD_ENDPOINTS + TARGET_ENDPOINTS
                )[0]
                in TARGET_ENDPOINTS
            )


def test_good_version_serves_all_sessions_and_succeeds_in_time(book, clock):
    clock.now = 111
    record_answers(book, TARGET_ENDPOINTS[0], count=30)
    apply_due_shift(book)
    clock.now = 114.5
    book.record_read()
    assert measure_target_share(book) == 1
    clock.now = 119
    assert list_due_states(book) == [RolloutState.SUCCEEDED]


def test_version_without_enough_answers_does_not_succeed(book, clock):
    record_answers(book, TARGET_ENDPOINTS[0], count=20)
    clock.now = 112
    assert not list(book.list_due_shifts(0))
    clock.now = 119
    book.record_read()
    assert measure_target_share(book) < 0.2
    assert list_due_states(book) == [RolloutState.ACTIVE]


def test_daemon_with_stale_statuses_does_not_use_the_target_version(
    book, clock
):
    clock.now = 111
    record_answers(book, TARGET_ENDPOINTS[0], count=30)
    apply_due_shift(book)
    clock.now = 115
    book.record_read()
    assert measure_target_share(book) == 1
    clock.now = 119
    assert measure_target_share(book) == 0


def test_version_failing_two_in_five_while_the_store_was_silent(book, clock):
    """Soak seed 748531: eight pooled answers, three of them failures.

    The old version had failed as often at the daemon that writes the status,
    but not at the others.
    """
    record_answers(book, OLD_ENDPOINTS[0], failed=True, count=2)
    record_answers(book, OLD_ENDPOINTS[0], count=3)
    record_answers(book, TARGET_ENDPOINTS[0], count=3)
    book.apply_report(
        'pool',
        'd2',
        RolloutReport(
            target='v2',
            elapsed_s=12,
            tallies={'draft': Tally(answers=5, failures=3)},
            old_tally=Tally(answers=40),
        ),
    )
    clock.now = 119
    assert list_due_states(book) == [RolloutState.ROLLED_BACK]


def test_all_daemons_of_a_large_fleet_shift_at_one_moment(clock):
    """195 daemons read the decision up to SHIFT_NOTICE_S apart."""
    order = RolloutOrder(service='pool', target='v2', duration_s=24)
    books = [build_book(clock, f'd{number}') for number in range(195)]
    for book in books:
        book.apply_order(order)
    clock.now += 13
    writer = books[0]
    record_answers(writer, TARGET_ENDPOINTS[0], count=30)
    ((service, shift),) = writer.list_due_shifts(0)
    rng = random.Random(1)
    read_delays = [rng.uniform(0, SHIFT_NOTICE_S) for _ in books]
    shares = set()
    for step in range(60):
        clock.now += 0.1
        for book, read_delay_s in zip(books, read_delays, strict=True):
            if step * 0.1 >= read_delay_s:
                book.apply_shift(service, shift)
            book.record_read()
        shares.add(tuple({measure_target_share(book) for book in books[::13]}))
    assert all(len(at_one_moment) == 1 for at_one_moment in shares)
    assert (1.0,) in shares


def test_decided_shift_is_kept_and_not_decided_again(book, clock):
    clock.now = 112
    record_answers(book, TARGET_ENDPOINTS[0], count=30)
    apply_due_shift(book)
    assert not list(book.list_due_shifts(0))
    late_book = build_book(clock)
    late_book.apply_shift('pool', RolloutShift(target='v2', shift_at_s=14))
    late_book.apply_order(
        RolloutOrder(service='pool', target='v2', duration_s=20)
    )
    assert not list(late_book.list_due_shifts(0))


def test_restarted_daemon_replaces_its_former_report(book, clock):
    """A daemon that restarted counts from zero under the same name."""
    clock.now = 112
    for tallies in (
        {'draft': Tally(answers=15), 'tag': Tally(answers=15)},
        {'draft': Tally(answers=2)},
    ):
        book.apply_report(
            'pool',
            'd2',
            RolloutReport(target='v2', elapsed_s=12, tallies=tallies),
        )
    assert not list(book.list_due_shifts(0))


def test_rank_delay_stays_within_the_rollback_bound_at_195_daemons():
    assert compute_rank_delay(0) == 0
    assert compute_rank_delay(194) < 5.0


def play_trial(rng, failure_share, daemons, old_failure_share, old_answers=0):
    """Return whether a version is accepted, rejected (False) or neither.

    Each daemon sees one answer in turn; the verdict is taken after each.  The
    old version gave ``old_answers`` in the first half of the roll-out.
    """
    failures = sum(rng.random() < old_failure_share for _ in range(old_answers))
    tally, old_tally = Tally(), Tally(answers=old_answers, failures=failures)
    for _ in range(max(daemons, 8) * 8):
        tally = tally.add(
            Tally(answers=1, failures=int(rng.random() < failure_share))
        )
        for _ in range(9):
            old_tally = old_tally.add(
                Tally(answers=1, failures=int(rng.random() < old_failure_share))
            )
        if should_reject(tally, old_tally):
            return False
        if should_accept(tally, old_tally):
            return True
    return None


@pytest.mark.parametrize('daemons', [8, 70, 300])
@pytest.mark.parametrize('failure_share', [0.3, 0.4, 0.5])
def test_bad_versions_are_seldom_accepted(daemons, failure_share):
    rng = random.Random(daemons)
    verdicts = [play_trial(rng, failure_share, daemons, 0) for _ in range(400)]
    assert verdicts.count(True) <= 0.01 * len(verdicts)
    assert verdicts.count(None) == 0


@pytest.mark.parametrize('daemons', [8, 70, 300])
@pytest.mark.parametrize('failure_share', [0, 0.005, 0.02])
def test_versions_as_good_as_the_old_one_are_seldom_rejected(
    daemons, failure_share
):
    rng = random.Random(daemons)
    verdicts = [
        play_trial(rng, failure_share, daemons, failure_share)
        for _ in range(400)
    ]
    assert verdicts.count(True) >= 0.99 * len(verdicts)


def test_good_answers_are_reported_to_peers(book, clock):
    clock.now = 112
    list(book.collect_due_reports(1))
    record_answers(book, TARGET_ENDPOINTS[0], count=5)
    assert [report.tallies for _, report in book.collect_due_reports(1)]


def test_daemons_with_one_answer_each_shift_in_time(clock):
    books = [
        build_book(clock, f'd{number}', exposure_share=0.1)
        for number in range(20)
    ]
    order = RolloutOrder(service='pool', target='v2', duration_s=20)
    for book in books:
        book.apply_order(order)
    clock.now = 111
    for book in books:
        record_answers(book, TARGET_ENDPOINTS[0], count=2)
    reports = [
        (f'd{number}', report)
        for number, book in enumerate(books)
        for _, report in book.collect_due_reports(number)
    ]
    for book in books:
        for daemon, report in reports:
            book.apply_report('pool', daemon, report)
    ((service, shift),) = books[0].list_due_shifts(0)
    clock.now = 114.5
    for book in books:
        book.apply_shift(service, shift)
        book.record_read()
        assert measure_target_share(book) == 1


def test_rejection_notifies_listeners_at_once(book, clock):
    notifications = []
    book.add_listener(lambda: notifications.append(True))
    clock.now = 112
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=3)
    assert notifications


def test_members_of_higher_rank_wait_before_writing(book, clock):
    clock.now = 100.1
    assert list_due_states(book, rank=0) == [RolloutState.ACTIVE]
    assert list_due_states(book, rank=3) == []


def test_failing_version_is_rejected_at_once(book, clock):
    clock.now = 112
    record_answers(book, OLD_ENDPOINTS[0], count=30)
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=3)
    assert measure_target_share(book) == 0
    assert list_due_states(book) == [RolloutState.ROLLED_BACK]


def test_failures_reported_by_peers_count(book, clock):
    clock.now = 112
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=1)
    report = RolloutReport(
        target='v2',
        elapsed_s=12,
        tallies={'draft': Tally(answers=4, failures=2)},
    )
    book.apply_report('pool', 'd2', report)
    assert list_due_states(book) == [RolloutState.ROLLED_BACK]


def test_equal_failure_rates_reject_no_version(book, clock):
    clock.now = 112
    record_answers(book, OLD_ENDPOINTS[0], count=6)
    record_answers(book, OLD_ENDPOINTS[0], failed=True, count=4)
    record_answers(book, TARGET_ENDPOINTS[0], count=6)
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=4)
    assert list_due_states(book) != [RolloutState.ROLLED_BACK]


def test_slow_version_is_rejected(book, clock):
    clock.now = 112
    record_answers(book, OLD_ENDPOINTS[0], count=40)
    record_answers(book, TARGET_ENDPOINTS[0], unit_latency_s=0.16, count=8)
    assert list_due_states(book) == [RolloutState.ROLLED_BACK]


def test_few_slow_answers_do_not_reject_a_version(book, clock):
    clock.now = 112
    record_answers(book, OLD_ENDPOINTS[0], count=40)
    record_answers(book, TARGET_ENDPOINTS[0], count=7)
    record_answers(book, TARGET_ENDPOINTS[0], unit_latency_s=0.5, count=3)
    assert list_due_states(book) != [RolloutState.ROLLED_BACK]


def test_version_that_fails_after_the_shift_is_rejected(book, clock):
    clock.now = 111
    record_answers(book, OLD_ENDPOINTS[0], count=30)
    record_answers(book, TARGET_ENDPOINTS[0], count=30)
    apply_due_shift(book)
    clock.now = 115
    book.record_read()
    assert measure_target_share(book) == 1
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=8)
    assert measure_target_share(book) == 0


def test_succeeded_status_overrides_a_local_rejection(book, clock):
    clock.now = 112
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=5)
    book.apply_status(
        'pool', RolloutStatus(target='v2', state=RolloutState.SUCCEEDED)
    )
    assert measure_target_share(book) == 1
    assert list_due_states(book) == []


def test_rejected_version_is_not_used_under_a_later_order(book):
    book.apply_status(
        'pool', RolloutStatus(target='v2', state=RolloutState.ROLLED_BACK)
    )
    book.apply_order(RolloutOrder(service='pool', target='v3', duration_s=20))
    assert measure_target_share(book) == 0


def test_late_daemon_takes_the_elapsed_time_from_reports(clock):
    late_book = build_book(clock, 'd9')
    late_book.apply_order(
        RolloutOrder(service='pool', target='v2', duration_s=20)
    )
    late_book.apply_shift('pool', RolloutShift(target='v2', shift_at_s=14))
    late_book.record_read()
    assert measure_target_share(late_book) == 0
    report = RolloutReport(
        target='v2', elapsed_s=15, tallies={'draft': Tally(answers=9)}
    )
    late_book.apply_report('pool', 'd1', report)
    assert measure_target_share(late_book) == 1


def test_first_member_reports_the_elapsed_time_periodically(book, clock):
    clock.now = 101
    assert [service for service, _ in book.collect_due_reports(0)] == ['pool']
    assert not list(book.collect_due_reports(0))
    assert not list(book.collect_due_reports(1))
    clock.now = 105
    assert list(book.collect_due_reports(0))


@pytest.mark.parametrize(
    ('old_share', 'failure_share'), [(0.1, 0.4), (0.1, 0.6), (0.2, 0.6)]
)
def test_bad_versions_beside_an_old_one_that_fails_are_seldom_accepted(
    old_share, failure_share
):
    """Four times the old version's failures excused 0.6 beside 0.2."""
    rng = random.Random(8)
    verdicts = [
        play_trial(rng, failure_share, 8, old_share, 120) for _ in range(400)
    ]
    assert verdicts.count(True) <= 0.02 * len(verdicts)


@pytest.mark.parametrize('share', [0.1, 0.2])
def test_versions_that_fail_like_the_old_one_are_seldom_rejected(share):
    """A lower ratio alone would reject one in seven for chance failures."""
    rng = random.Random(8)
    verdicts = [play_trial(rng, share, 8, share, 120) for _ in range(400)]
    assert verdicts.count(False) <= 0.05 * len(verdicts)
