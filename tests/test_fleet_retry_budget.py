"""The retry budget of the fleet holds in every window without coordination."""

import random

import pytest

from laurelwind.coordination.scheduling import fleet_retry_budget
from laurelwind.coordination.scheduling.fleet_retry_budget import (
    FleetRetryBudget,
)


class Clock:
    now = 50.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    fake_clock = Clock()
    monkeypatch.setattr(fleet_retry_budget, 'read_monotonic_clock', fake_clock)
    return fake_clock


def build_retry_budget(members=1, retry_ratio=0.9, extra_retries=56):
    return FleetRetryBudget(
        retry_ratio=retry_ratio,
        extra_retries=extra_retries,
        window_s=10,
        count_members=lambda: members,
    )


def spend_budget(retry_budget):
    count = 0
    while retry_budget.get_remaining_ratio('pool') > 0:
        retry_budget.record_retry('pool')
        count += 1
    return count


def test_eight_daemons_together_stay_within_the_extra_budget(clock):
    assert 8 * spend_budget(build_retry_budget(members=8)) <= 56


def test_requests_grant_retries_until_the_window_passes(clock):
    retry_budget = build_retry_budget(extra_retries=0)
    for _ in range(100):
        retry_budget.record_request('pool')
    assert 60 <= spend_budget(retry_budget) <= 90
    assert retry_budget.get_remaining_ratio('other') == 0
    clock.now += 11
    assert retry_budget.get_remaining_ratio('pool') == 0


def test_a_retry_storm_stays_within_the_budget_in_any_window(clock):
    rng = random.Random(7)
    retry_budget = build_retry_budget(extra_retries=20)
    requests, retries = [], []
    for _ in range(3000):
        clock.now += rng.expovariate(40)
        retry_budget.record_request('pool')
        requests.append(clock.now)
        while (
            rng.random() < 0.6 and retry_budget.get_remaining_ratio('pool') > 0
        ):
            retry_budget.record_retry('pool')
            retries.append(clock.now)
    for end in range(60, int(clock.now)):
        sent = sum(end - 10 <= moment < end for moment in requests)
        retried = sum(end - 10 <= moment < end for moment in retries)
        assert retried <= 0.9 * sent + 20


def test_attempts_that_did_not_reach_an_endpoint_are_not_counted(clock):
    retry_budget = build_retry_budget(extra_retries=10, retry_ratio=0)
    for _ in range(30):
        retry_budget.record_retry('pool')
        retry_budget.discard_attempt('pool', is_retry=True)
    assert spend_budget(retry_budget) == 8
    for _ in range(30):
        retry_budget.record_request('other')
        clock.now += 1
        retry_budget.discard_attempt('other', is_retry=False)
    assert spend_budget(build_retry_budget(extra_retries=0)) == 0
