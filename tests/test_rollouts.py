"""Assignment of requests to versions, and rejection of bad versions."""

import pytest

from laurelwind.coordination import rollouts
from laurelwind.coordination.rejection import AnswerOutcome
from laurelwind.coordination.rollouts import RolloutRegistry
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
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


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    fake_clock = Clock()
    monkeypatch.setattr(rollouts, 'read_monotonic_clock', fake_clock)
    return fake_clock


@pytest.fixture
def book(clock):
    rollout_book = RolloutRegistry(
        local_daemon='d1', exposure_share=0.15, log=build_silent_log()
    )
    rollout_book.apply_order(
        RolloutOrder(service='pool', target='v2', duration_s=20)
    )
    return rollout_book


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
                unit_latency_s=unit_latency_s,
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
    clock.now = 114
    book.record_read()
    record_answers(book, TARGET_ENDPOINTS[0], count=20)
    assert measure_target_share(book) == 1
    clock.now = 119
    assert list_due_states(book) == [RolloutState.SUCCEEDED]


def test_version_without_enough_answers_does_not_succeed(book, clock):
    clock.now = 119
    assert measure_target_share(book) < 0.2
    assert list_due_states(book) == [RolloutState.ACTIVE]


def test_daemon_with_stale_statuses_does_not_use_the_target_version(
    book, clock
):
    clock.now = 114
    record_answers(book, TARGET_ENDPOINTS[0], count=20)
    book.record_read()
    assert measure_target_share(book) == 1
    clock.now = 118
    assert measure_target_share(book) == 0


def test_good_answers_are_reported_to_peers(book, clock):
    clock.now = 112
    list(book.collect_due_reports(1))
    record_answers(book, TARGET_ENDPOINTS[0], count=5)
    assert [report.tallies for _, report in book.collect_due_reports(1)]


def test_daemons_with_one_answer_each_shift_in_time(clock):
    books = [
        RolloutRegistry(
            local_daemon=f'd{number}',
            exposure_share=0.1,
            log=build_silent_log(),
        )
        for number in range(20)
    ]
    order = RolloutOrder(service='pool', target='v2', duration_s=20)
    for book in books:
        book.apply_order(order)
    clock.now = 111
    for book in books:
        record_answers(book, TARGET_ENDPOINTS[0])
    reports = [
        (f'd{number}', report)
        for number, book in enumerate(books)
        for _, report in book.collect_due_reports(number)
    ]
    clock.now = 114
    for book in books:
        for daemon, report in reports:
            book.apply_report('pool', daemon, report)
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
    clock.now = 114
    record_answers(book, OLD_ENDPOINTS[0], count=30)
    record_answers(book, TARGET_ENDPOINTS[0], count=10)
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
    late_book = RolloutRegistry(
        local_daemon='d9', exposure_share=0.15, log=build_silent_log()
    )
    late_book.apply_order(
        RolloutOrder(service='pool', target='v2', duration_s=20)
    )
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
