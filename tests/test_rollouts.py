"""Which version gets requests, and what becomes of a bad one."""

import pytest

from laurelwind.coordination import rollouts
from laurelwind.coordination.rollouts import RolloutBook
from laurelwind.coordination.verdicts import Outcome
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutState,
    RolloutStatus,
    Tally,
)
from tests.relay_helpers import quiet_log, record

OLD = [record(f'o{number}') for number in range(3)]
NEW = [record(f'n{number}', version='v2') for number in range(3)]
SESSIONS = [f's{number}' for number in range(400)]


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    found = Clock()
    monkeypatch.setattr(rollouts, 'read_clock', found)
    return found


@pytest.fixture
def book(clock):
    found = RolloutBook(daemon='d1', exposure_share=0.15, log=quiet_log())
    found.take_order(RolloutOrder(service='pool', target='v2', duration_s=20))
    return found


def find_share(book):
    chosen = [
        book.filter_endpoints('pool', session, OLD + NEW)[0].version == 'v2'
        for session in SESSIONS
    ]
    return sum(chosen) / len(chosen)


def answer(book, endpoint, *, failed=False, pace_s=0.02, count=1):
    for _ in range(count):
        book.note_outcome(
            endpoint,
            Outcome(
                route='draft',
                failed=failed,
                pace_s=pace_s,
            ),
        )


def list_states(book, rank=0):
    return [status.state for _, status in book.list_statuses(rank)]


def test_no_session_changes_its_version_in_the_first_half(book, clock):
    for elapsed in (0, 3, 6, 9.9):
        clock.now = 100 + elapsed
        assert find_share(book) == 0


def test_a_version_is_tried_on_no_more_than_is_allowed(book, clock):
    clock.now = 112
    book.note_read()
    assert 0 < find_share(book) < 0.2


def test_a_session_never_goes_back_from_a_good_version(book, clock):
    clock.now = 112
    book.note_read()
    tried = {
        session
        for session in SESSIONS
        if book.filter_endpoints('pool', session, OLD + NEW)[0] in NEW
    }
    for elapsed in (13, 15, 19):
        clock.now = 100 + elapsed
        book.note_read()
        for session in tried:
            assert book.filter_endpoints('pool', session, OLD + NEW)[0] in NEW


def test_a_good_version_gets_all_and_succeeds_in_time(book, clock):
    clock.now = 114
    book.note_read()
    answer(book, NEW[0], count=20)
    assert find_share(book) == 1
    clock.now = 119
    assert list_states(book) == [RolloutState.SUCCEEDED]


def test_nothing_succeeds_that_was_not_tried(book, clock):
    clock.now = 119
    assert find_share(book) < 0.2
    assert list_states(book) == [RolloutState.ACTIVE]


def test_a_daemon_that_reads_no_statuses_uses_no_new_version(book, clock):
    clock.now = 114
    answer(book, NEW[0], count=20)
    book.note_read()
    assert find_share(book) == 1
    clock.now = 118
    assert find_share(book) == 0


def test_others_are_told_of_good_answers_too(book, clock):
    clock.now = 112
    list(book.list_reports(1))
    answer(book, NEW[0], count=5)
    assert [report.tallies for _, report in book.list_reports(1)]


def test_many_daemons_that_see_one_answer_each_agree_in_time(clock):
    books = [
        RolloutBook(daemon=f'd{number}', exposure_share=0.1, log=quiet_log())
        for number in range(20)
    ]
    order = RolloutOrder(service='pool', target='v2', duration_s=20)
    for book in books:
        book.take_order(order)
    clock.now = 111
    for book in books:
        answer(book, NEW[0])
    told = [
        (f'd{number}', report)
        for number, book in enumerate(books)
        for _, report in book.list_reports(number)
    ]
    clock.now = 114
    for book in books:
        for daemon, report in told:
            book.take_report('pool', daemon, report)
        book.note_read()
        assert find_share(book) == 1


def test_a_rejection_is_told_at_once(book, clock):
    called = []
    book.add_listener(lambda: called.append(True))
    clock.now = 112
    answer(book, NEW[0], failed=True, count=3)
    assert called


def test_later_members_leave_the_first_one_time_to_write(book, clock):
    clock.now = 100.1
    assert list_states(book, rank=0) == [RolloutState.ACTIVE]
    assert list_states(book, rank=3) == []


def test_a_version_that_fails_is_rejected_at_once(book, clock):
    clock.now = 112
    answer(book, OLD[0], count=30)
    answer(book, NEW[0], failed=True, count=3)
    assert find_share(book) == 0
    assert list_states(book) == [RolloutState.ROLLED_BACK]


def test_failures_that_others_saw_count_as_well(book, clock):
    clock.now = 112
    answer(book, NEW[0], failed=True, count=1)
    report = RolloutReport(
        target='v2',
        elapsed_s=12,
        tallies={'draft': Tally(answers=4, failures=2)},
    )
    book.take_report('pool', 'd2', report)
    assert list_states(book) == [RolloutState.ROLLED_BACK]


def test_failures_of_both_versions_speak_against_neither(book, clock):
    clock.now = 112
    answer(book, OLD[0], count=6)
    answer(book, OLD[0], failed=True, count=4)
    answer(book, NEW[0], count=6)
    answer(book, NEW[0], failed=True, count=4)
    assert list_states(book) != [RolloutState.ROLLED_BACK]


def test_a_slow_version_is_rejected(book, clock):
    clock.now = 112
    answer(book, OLD[0], count=40)
    answer(book, NEW[0], pace_s=0.16, count=8)
    assert list_states(book) == [RolloutState.ROLLED_BACK]


def test_a_few_slow_answers_do_not_reject_a_version(book, clock):
    clock.now = 112
    answer(book, OLD[0], count=40)
    answer(book, NEW[0], count=7)
    answer(book, NEW[0], pace_s=0.5, count=3)
    assert list_states(book) != [RolloutState.ROLLED_BACK]


def test_a_version_that_turns_bad_after_the_shift_is_rejected(book, clock):
    clock.now = 114
    answer(book, OLD[0], count=30)
    answer(book, NEW[0], count=10)
    answer(book, NEW[0], failed=True, count=8)
    assert find_share(book) == 0


def test_what_operators_were_told_goes_before_own_doubts(book, clock):
    clock.now = 112
    answer(book, NEW[0], failed=True, count=5)
    book.take_status(
        'pool', RolloutStatus(target='v2', state=RolloutState.SUCCEEDED)
    )
    assert find_share(book) == 1
    assert list_states(book) == []


def test_a_rejected_version_is_not_used_by_a_later_order(book):
    book.take_status(
        'pool', RolloutStatus(target='v2', state=RolloutState.ROLLED_BACK)
    )
    book.take_order(RolloutOrder(service='pool', target='v3', duration_s=20))
    assert find_share(book) == 0


def test_a_daemon_that_starts_late_learns_the_time(clock):
    late = RolloutBook(daemon='d9', exposure_share=0.15, log=quiet_log())
    late.take_order(RolloutOrder(service='pool', target='v2', duration_s=20))
    report = RolloutReport(
        target='v2', elapsed_s=15, tallies={'draft': Tally(answers=9)}
    )
    late.take_report('pool', 'd1', report)
    assert find_share(late) == 1


def test_the_first_member_reminds_the_others_of_the_time(book, clock):
    clock.now = 101
    assert [service for service, _ in book.list_reports(0)] == ['pool']
    assert not list(book.list_reports(0))
    assert not list(book.list_reports(1))
    clock.now = 105
    assert list(book.list_reports(0))
