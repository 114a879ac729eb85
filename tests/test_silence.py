"""Endpoints that accept requests and stay silent, before a large zone.

Pattern: each of many daemons sends too few requests to learn in time which
endpoints are silent, and each silent attempt costs a request seconds.
"""

import random

import pytest

from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
)
from laurelwind.coordination.scheduling.silence import (
    MAX_GOAL_RATIO,
    MIN_GOAL_RATIO,
    SilenceTimeouts,
)
from tests.relay_helpers import build_endpoint_record, patch_placement_clock

GROUP = ('draft', 'large')
GOAL_S = 4.0
DAEMONS = 40
ENDPOINTS = [
    build_endpoint_record(f'e{number}', zone='a', slots=16)
    for number in range(24)
]
SILENT = {'e3', 'e9', 'e17', 'e20'}
SILENT_SHARE = 0.45


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def play_requests(clock, *, shares_losses, seconds=12, per_second=1.6):
    """Return the requests that met silence, and the seconds they lost."""
    rng = random.Random(5)
    random.seed(5)
    placements = [Placement(zone='a') for _ in range(DAEMONS)]
    timeouts = [SilenceTimeouts() for _ in range(DAEMONS)]
    silent, lost_s = 0, 0.0
    for _ in range(int(DAEMONS * seconds * per_second)):
        clock.now += 1 / (DAEMONS * per_second)
        number = rng.randrange(DAEMONS)
        placer = placements[number]
        endpoint = placer.choose(
            ENDPOINTS,
            PlacementRequirements(
                affinity_key=f'p{rng.randrange(200)}', reuse_saving_s=0.5
            ),
        )
        waited_s = rng.uniform(0.05, 0.4)
        if endpoint.name in SILENT and rng.random() < SILENT_SHARE:
            silent += 1
            waited_s = timeouts[number].compute_timeout(GROUP, 0, GOAL_S)
            lost_s += waited_s
            placer.record_failure(endpoint, waited_s)
            if shares_losses:
                for other in placements:
                    other.record_remote_loss(endpoint.name, waited_s)
        else:
            placer.record_success(endpoint)
        timeouts[number].record_wait(GROUP, waited_s, 0)
    return silent, lost_s


@pytest.fixture
def clock(monkeypatch):
    fake_clock = Clock()
    patch_placement_clock(monkeypatch, fake_clock)
    return fake_clock


def test_shared_losses_halve_the_requests_that_meet_silence(clock):
    alone, _ = play_requests(clock, shares_losses=False)
    clock.now += 60
    shared, _ = play_requests(clock, shares_losses=True)
    assert shared < alone / 2


def test_an_endpoint_is_tried_again_after_its_losses_expire(clock):
    placer = Placement(zone='a')
    for _ in range(10):
        placer.record_remote_loss('e3', 3.0)
    assert placer.estimate_wait(ENDPOINTS[3:4], PlacementRequirements()) > 1
    clock.now += 6
    assert placer.estimate_wait(ENDPOINTS[3:4], PlacementRequirements()) == 0


def record_waits(timeouts, waits):
    for waited_s in waits:
        timeouts.record_wait(GROUP, waited_s, 0.2)


def test_the_time_out_is_short_while_endpoints_answer_early():
    timeouts = SilenceTimeouts()
    longest_s = 0.2 + GOAL_S * MAX_GOAL_RATIO
    assert timeouts.compute_timeout(GROUP, 0.2, GOAL_S) == longest_s
    record_waits(timeouts, [0.3] * 20)
    shortest_s = 0.2 + GOAL_S * MIN_GOAL_RATIO
    assert timeouts.compute_timeout(GROUP, 0.2, GOAL_S) == shortest_s


def test_a_quarter_of_silent_endpoints_keeps_the_time_out_short():
    timeouts = SilenceTimeouts()
    record_waits(timeouts, [0.3, 0.3, 0.3, 0.3, 3.4] * 12)
    shortest_s = 0.2 + GOAL_S * MIN_GOAL_RATIO
    assert timeouts.compute_timeout(GROUP, 0.2, GOAL_S) == shortest_s


def test_a_burst_lengthens_the_time_out():
    """Answers that are all late must not be taken for silence."""
    timeouts = SilenceTimeouts()
    record_waits(timeouts, [0.3] * 64)
    record_waits(timeouts, [1.5] * 32)
    longest_s = 0.2 + GOAL_S * MAX_GOAL_RATIO
    assert timeouts.compute_timeout(GROUP, 0.2, GOAL_S) == longest_s
