"""The fleet's retry budget holds without talk, in every window."""

import random

import pytest

from laurelwind.coordination import budgets
from laurelwind.coordination.budgets import RetryWindows


class Clock:
    now = 50.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    found = Clock()
    monkeypatch.setattr(budgets, 'read_clock', found)
    return found


def build(members=1, share=0.9, extra=56):
    return RetryWindows(
        share=share, extra=extra, window_s=10, count_members=lambda: members
    )


def spend(windows):
    count = 0
    while windows.measure_room('pool') > 0:
        windows.note_repeat('pool')
        count += 1
    return count


def test_eight_daemons_together_stay_within_the_rest(clock):
    assert 8 * spend(build(members=8)) <= 56


def test_requests_earn_repeats_and_windows_pass(clock):
    windows = build(extra=0)
    for _ in range(100):
        windows.note_request('pool')
    assert 60 <= spend(windows) <= 90
    assert windows.measure_room('other') == 0
    clock.now += 11
    assert windows.measure_room('pool') == 0


def test_a_storm_keeps_to_the_rule_in_any_window(clock):
    luck = random.Random(7)
    windows = build(extra=20)
    requests, repeats = [], []
    for _ in range(3000):
        clock.now += luck.expovariate(40)
        windows.note_request('pool')
        requests.append(clock.now)
        while luck.random() < 0.6 and windows.measure_room('pool') > 0:
            windows.note_repeat('pool')
            repeats.append(clock.now)
    for end in range(60, int(clock.now)):
        asked = sum(end - 10 <= moment < end for moment in requests)
        again = sum(end - 10 <= moment < end for moment in repeats)
        assert again <= 0.9 * asked + 20
