"""Versions that turn bad after their roll-out succeeded."""

import pytest

from laurelwind.coordination.rollouts.phases import WATCH_S
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutState,
    RolloutStatus,
    Tally,
)
from tests.test_rollouts import (
    OLD_ENDPOINTS,
    TARGET_ENDPOINTS,
    build_book,
    list_due_states,
    measure_target_share,
    record_answers,
)

SUCCEEDED = RolloutStatus(target='v2', state=RolloutState.SUCCEEDED)


@pytest.fixture
def book(clock):
    """A daemon after a success, with the old endpoints still there."""
    book = build_book(clock)
    book.apply_order(RolloutOrder(service='pool', target='v2', duration_s=20))
    clock.now = 119
    record_answers(book, OLD_ENDPOINTS[0], count=400)
    record_answers(book, TARGET_ENDPOINTS[0], count=100)
    book.apply_status('pool', SUCCEEDED)
    clock.now = 125
    assert measure_target_share(book) == 1
    return book


def test_sessions_return_once_a_version_fails_under_load(book):
    """The count of bad answers ended with the status: 1,400 requests more."""
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=20)
    assert measure_target_share(book) == 0
    assert not list_due_states(book)


def test_failures_that_other_daemons_saw_withdraw_a_version(book):
    """Each daemon of a large fleet sees few failures itself."""
    assert book.has_unsettled
    report = RolloutReport(
        target='v2',
        elapsed_s=25,
        tallies={'draft': Tally(answers=60, failures=30)},
    )
    book.apply_report('pool', 'd2', report)
    assert measure_target_share(book) == 0


def test_failures_after_the_success_are_reported(book):
    """Reports ended with the status, so that no other daemon learnt of them."""
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=2)
    assert list(book.collect_due_reports(1))
    record_answers(book, TARGET_ENDPOINTS[0], count=5)
    assert not list(book.collect_due_reports(1))


def test_usual_failures_and_slow_answers_withdraw_no_version(book):
    """A good version that is slower under load has to stay."""
    record_answers(book, TARGET_ENDPOINTS[0], count=900)
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=9)
    record_answers(book, TARGET_ENDPOINTS[0], unit_latency_s=0.5, count=40)
    assert measure_target_share(book) == 1


def test_a_withdrawn_version_serves_where_the_old_endpoints_are_gone(book):
    """Requests would find no endpoint at all."""
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=20)
    chosen = book.filter_endpoints('pool', 's', TARGET_ENDPOINTS)
    assert chosen == TARGET_ENDPOINTS


def test_evidence_ends_with_the_old_endpoints_or_the_watch(book, clock):
    """Daemons would read statuses for ever."""
    book.filter_endpoints('pool', 's', TARGET_ENDPOINTS)
    assert not book.has_unsettled
    assert measure_target_share(book) == 1
    assert book.has_unsettled
    clock.now += WATCH_S
    assert not book.has_unsettled
    assert not book.is_undecided('pool')


def test_a_withdrawn_version_is_the_old_one_of_a_later_order(book):
    """It may be the only one left beside a version that fails its trial."""
    record_answers(book, TARGET_ENDPOINTS[0], failed=True, count=20)
    book.apply_order(RolloutOrder(service='pool', target='v3', duration_s=20))
    assert book.filter_endpoints('pool', 's', TARGET_ENDPOINTS)
