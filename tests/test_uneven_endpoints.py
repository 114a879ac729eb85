"""Placement among endpoints that report their pace, by a small queue model.

The load conditions: endpoints of uneven and jittering pace before many daemons
that read stale reports, small and large models in the same batches, a prompt
shared by many requests, and a third of the endpoints gone.
"""

import random
import time

import pytest

from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
    RequestTraits,
)
from laurelwind.protocol.exchanges import LoadReport
from tests.engine_fleet import Fleet
from tests.relay_helpers import build_endpoint_record, patch_placement_clock

ENDPOINTS = [
    build_endpoint_record(f'e{number}', zone='abc'[number % 3], slots=64)
    for number in range(9)
]


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    fake_clock = Clock()
    patch_placement_clock(monkeypatch, fake_clock)
    return fake_clock


def report(placer, endpoint, *, running=4, waiting=0, slowdown=1.0):
    placer.record_report(
        endpoint,
        LoadReport(
            running=running, waiting=waiting, slots=64, slowdown=slowdown
        ),
    )


def build_traits(**fields):
    return RequestTraits(
        **{'route': 'draft', 'prompt_tokens': 500, 'prefill_s': 0.02, **fields}
    )


def teach(placer, clock, *, endpoints=ENDPOINTS, event_s=0.03):
    """Let a daemon learn the time per event and the length of answers."""
    for _ in range(20):
        clock.now += 0.02
        for endpoint in endpoints:
            report(placer, endpoint)
            placer.record_event_latency(endpoint, event_s)
        placer.record_length('pool', build_traits(sent_events=20))


def play(fields, *, seed=3, **options):
    fleet = Fleet(fields=fields, seed=seed, **options)
    return fleet.run(10), fleet


def test_uneven_and_jittering_endpoints_finish_more_streams():
    """Guards against streams that run past their deadline on slow engines."""
    options = {'rate': 70, 'prompt': 8000}
    late = {'none': 0, 'pace': 0}
    # Few streams of one run are late, so that two runs are taken together.
    for seed in (3, 4):
        before, _ = play('none', seed=seed, **options)
        after, _ = play('pace', seed=seed, **options)
        assert after.first_p90 < before.first_p90 * 0.6
        assert after.event_small_ms < before.event_small_ms * 0.6
        late['none'] += before.late
        late['pace'] += after.late
    assert late['pace'] < late['none'] / 2


def test_daemons_do_not_herd_by_the_same_reports():
    """Guards against requests that arrive together at the best endpoint."""
    after, _ = play('pace', rate=70, prompt=6000)
    assert after.busiest < 2.5
    assert after.first_p99 < 2


def test_light_requests_keep_their_pace_beside_the_largest_model():
    """A batch with the largest model slows each of its small requests."""
    mixed, _ = play('load', rate=50, prompt=3000)
    apart, _ = play('pace', rate=50, prompt=3000)
    assert apart.heavy_on_light < mixed.heavy_on_light / 2
    assert apart.event_small_ms < mixed.event_small_ms / 2
    assert apart.event_large_ms < mixed.event_large_ms * 1.1


def test_a_hot_prompt_gets_as_many_endpoints_as_it_needs():
    """Guards against one endpoint that holds all requests of one prompt."""
    after, fleet = play('pace', rate=70, prompt=6000, hot_share=0.5)
    cached = sum(('hot', False) in engine.cached for engine in fleet.engines)
    assert cached > 3
    assert after.busiest < 3


def test_a_third_of_the_endpoints_gone_overloads_no_memory():
    """Guards against crashes of the endpoints that are left."""

    def lose_endpoints(fleet, elapsed_s):
        for engine in fleet.engines[::3]:
            engine.is_gone = elapsed_s > 4

    fleet = Fleet(fields='pace', rate=90, prompt=9000, seed=3)
    outcome = fleet.run(10, on_tick=lose_endpoints)
    assert outcome.peak_memory <= 1


def test_shares_follow_the_demand_and_are_alike_in_all_daemons():
    """Guards against classes whose endpoints idle while others are full."""
    shares = []
    for escalated in (0.1, 0.9):
        _, fleet = play('pace', rate=60, prompt=3000, escalated=escalated)
        shares.append(
            [
                daemon.placement.get_service_load('pool').demand.shares.get(
                    StepClass.LIGHT, 0
                )
                for daemon in fleet.daemons
            ]
        )
    few, many = shares
    assert min(few) > max(many)
    assert max(max(few) - min(few), max(many) - min(many)) < 0.25


def test_reports_of_other_daemons_count_beside_own_ones():
    """A daemon that hears nothing from its peers goes by its own reports."""
    alone, _ = play('pace', rate=70, prompt=6000, shares_reports=False)
    shared, _ = play('pace', rate=70, prompt=6000)
    before, _ = play('none', rate=70, prompt=6000)
    for after in (alone, shared):
        assert after.late <= before.late
        assert after.first_p90 < before.first_p90
        assert after.peak_memory < before.peak_memory


def test_an_endpoint_that_slows_down_is_avoided_and_used_again(clock):
    placer = Placement(zone='a', rng=random.Random(1), by_forecast=True)
    teach(placer, clock)
    requirements = PlacementRequirements(traits=build_traits())
    for _ in range(8):
        clock.now += 0.1
        for endpoint in ENDPOINTS:
            report(
                placer, endpoint, slowdown=3.0 if endpoint.name == 'e0' else 1
            )
    names = {placer.choose(ENDPOINTS, requirements).name for _ in range(60)}
    assert 'e0' not in names
    for _ in range(30):
        clock.now += 1
        for endpoint in ENDPOINTS:
            report(placer, endpoint)
    names = {placer.choose(ENDPOINTS, requirements).name for _ in range(60)}
    assert 'e0' in names


def test_a_forecast_follows_pace_queue_and_length(clock):
    placer = Placement(zone='a', by_forecast=True)
    work = placer.estimate_work('pool', build_traits())
    requirements = PlacementRequirements(traits=build_traits())
    assert placer.forecast(ENDPOINTS, requirements, work) is None
    teach(placer, clock)
    work = placer.estimate_work('pool', build_traits())
    usual = placer.forecast(ENDPOINTS[:1], requirements, work)
    assert usual.age_s == 0
    assert usual.finish_s == pytest.approx(0.02 + 20 * 0.03, rel=0.1)
    for _ in range(10):
        clock.now += 0.5
        report(placer, ENDPOINTS[0], running=64, waiting=30, slowdown=2.0)
    slow = placer.forecast(ENDPOINTS[:1], requirements, work)
    assert slow.slowdown == pytest.approx(2.0, rel=0.05)
    assert slow.finish_s - slow.first_s > 1.9 * (usual.finish_s - usual.first_s)
    assert slow.occupancy > 1


def test_a_stale_pace_returns_to_the_usual_one(clock):
    placer = Placement(zone='a', by_forecast=True)
    teach(placer, clock)
    for _ in range(5):
        clock.now += 0.2
        report(placer, ENDPOINTS[0], slowdown=2.5)
    requirements = PlacementRequirements(traits=build_traits())
    work = placer.estimate_work('pool', build_traits())
    recent = placer.forecast(ENDPOINTS[:1], requirements, work)
    clock.now += 4
    later = placer.forecast(ENDPOINTS[:1], requirements, work)
    assert recent.slowdown > 2
    assert later.slowdown < 1.3
    assert later.age_s == float('inf')


def test_a_hint_sets_the_length_once_tokens_per_event_are_known(clock):
    placer = Placement(zone='a', by_forecast=True)
    teach(placer, clock)
    hinted = build_traits(length_hint=900)
    assert placer.estimate_work('pool', hinted).output_tokens == 20
    for _ in range(10):
        placer.record_length(
            'pool', build_traits(sent_events=20, length_hint=180)
        )
    assert placer.estimate_work('pool', hinted).output_tokens == 900
    limited = build_traits(length_hint=900, output_limit=300)
    assert placer.estimate_work('pool', limited).output_tokens == 300


def test_endpoints_without_memory_get_no_request(clock):
    """Engines crash when their requests exceed their memory."""
    placer = Placement(zone='a', by_forecast=True)
    teach(placer, clock, endpoints=ENDPOINTS[:2])
    traits = build_traits(
        prompt_tokens=6000, output_limit=1000, memory_limit=20000
    )
    requirements = PlacementRequirements(traits=traits)
    reservations = []
    for endpoint in ENDPOINTS[:2]:
        report(placer, endpoint, running=0)
        for _ in range(2):
            chosen = placer.choose([endpoint], requirements)
            sent = placer.record_request(chosen, 0.3, traits)
            reservations.append(sent.reservation)
    assert placer.choose(ENDPOINTS[:2], requirements) is None
    placer.record_attempt_end(ENDPOINTS[1], reservations[-1])
    assert placer.choose(ENDPOINTS[:2], requirements) is ENDPOINTS[1]


def test_requests_of_others_count_by_report_and_hint(clock):
    placer = Placement(zone='a', by_forecast=True)
    teach(placer, clock, endpoints=ENDPOINTS[:1])
    traits = build_traits(
        prompt_tokens=6000, output_limit=1000, memory_limit=120000
    )
    requirements = PlacementRequirements(traits=traits)
    report(placer, ENDPOINTS[0], running=0)
    sent = placer.record_request(ENDPOINTS[0], 0.3, traits)
    placer.record_attempt_end(ENDPOINTS[0], sent.reservation)
    assert placer.choose(ENDPOINTS[:1], requirements) is ENDPOINTS[0]
    clock.now += 0.1
    report(placer, ENDPOINTS[0], running=16)
    assert placer.choose(ENDPOINTS[:1], requirements) is None
    # The margin for requests that no report announced shrinks again.
    for _ in range(60):
        clock.now += 0.1
        report(placer, ENDPOINTS[0], running=0)
    assert placer.choose(ENDPOINTS[:1], requirements) is ENDPOINTS[0]
    for _ in range(16):
        clock.now += 0.001
        placer.record_remote_work('e0', 0.3)
    assert placer.choose(ENDPOINTS[:1], requirements) is None


def test_services_without_a_pace_are_placed_as_before(clock):
    """Reports of three figures must not enable forecasts or memory limits."""
    placer = Placement(zone='a', by_forecast=True)
    traits = build_traits(prompt_tokens=900, memory_limit=100)
    placer.record_report(
        ENDPOINTS[0], LoadReport(running=3, waiting=0, slots=64)
    )
    requirements = PlacementRequirements(traits=traits)
    chosen = placer.choose(ENDPOINTS, requirements)
    assert chosen.zone == 'a'
    assert placer.record_request(chosen, 0.3, traits).reservation is None
    work = placer.estimate_work('pool', traits)
    assert placer.forecast(ENDPOINTS, requirements, work) is None


def test_the_cost_of_a_choice_does_not_grow_with_the_fleet(clock):
    endpoints = [
        build_endpoint_record(f'e{number}', zone='abc'[number % 3], slots=64)
        for number in range(760)
    ]
    spent_s = []
    for count in (128, 760):
        placer = Placement(zone='a', rng=random.Random(1), by_forecast=True)
        teach(placer, clock, endpoints=endpoints[:count])
        requirements = PlacementRequirements(traits=build_traits())
        placer.choose(endpoints[:count], requirements)
        started_at = time.process_time()
        for _ in range(200):
            placer.choose(endpoints[:count], requirements)
        spent_s.append(time.process_time() - started_at)
    assert spent_s[1] < spent_s[0] * 2


def test_an_endpoint_without_a_report_is_no_empty_one(clock):
    """Requests preferred endpoints of which nothing was known."""
    placer = Placement(zone='a', by_forecast=True)
    teach(placer, clock, endpoints=ENDPOINTS[:1])
    for _ in range(200):
        clock.now += 0.1
        report(placer, ENDPOINTS[0], running=32, slowdown=1.2)
    known, unknown = (
        placer.forecast_at(endpoint, build_traits())
        for endpoint in ENDPOINTS[:2]
    )
    assert unknown.occupancy > 0.9 * known.occupancy
    assert unknown.slowdown > 1.1


def test_requests_that_wait_delay_a_further_one(clock):
    """A queue of prompts was unknown unless hints told of each of them."""
    placer = Placement(zone='a', by_forecast=True)
    teach(placer, clock, endpoints=ENDPOINTS[:1])
    traits = build_traits(prefill_s=0.5)
    for _ in range(3):
        sent = placer.record_request(ENDPOINTS[0], 0.5, traits)
        placer.record_attempt_end(ENDPOINTS[0], sent.reservation)
    clock.now += 3
    report(placer, ENDPOINTS[0], waiting=4)
    forecast = placer.forecast_at(ENDPOINTS[0], traits)
    assert forecast.start_s == pytest.approx(2, rel=0.3)
