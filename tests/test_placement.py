"""Placement under the load patterns that delay answers.

Covers long prompts mixed with short streams, daemons that act on the same stale
load report, a prompt shared by many requests, and failing endpoints.
"""

import random

import pytest

from laurelwind.coordination.load.forecasts import Work
from laurelwind.coordination.scheduling import endpoint_states, observations
from laurelwind.coordination.scheduling.candidates import MAX_CANDIDATES
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
    SchedulingClass,
    assign_scheduling_classes,
)
from laurelwind.protocol.exchanges import LoadReport
from tests.relay_helpers import build_endpoint_record, patch_placement_clock

ENDPOINTS = [
    build_endpoint_record(f'e{number}', zone='abc'[number % 3], slots=64)
    for number in range(9)
]


def choose(placer, endpoints=ENDPOINTS, **fields):
    return placer.choose(endpoints, PlacementRequirements(**fields))


def test_classes_are_identical_in_every_daemon_and_zone():
    shuffled = list(ENDPOINTS)
    random.Random(1).shuffle(shuffled)
    classes = assign_scheduling_classes(ENDPOINTS)
    assert classes == assign_scheduling_classes(shuffled)
    for zone in 'abc':
        zone_classes = [
            classes[endpoint.name]
            for endpoint in ENDPOINTS
            if endpoint.zone == zone
        ]
        assert zone_classes.count(SchedulingClass.LONG) == 1
        assert zone_classes.count(SchedulingClass.OTHER) == 2


def test_a_single_endpoint_serves_all_classes():
    placer = Placement(zone='a')
    for scheduling_class in SchedulingClass:
        assert (
            choose(placer, ENDPOINTS[:1], scheduling_class=scheduling_class)
            is ENDPOINTS[0]
        )


def test_long_prompts_and_short_streams_use_separate_endpoints():
    placer = Placement(zone='a')
    classes = assign_scheduling_classes(ENDPOINTS)
    for _ in range(50):
        assert (
            classes[choose(placer, scheduling_class=SchedulingClass.OTHER).name]
            is SchedulingClass.OTHER
        )
        assert (
            classes[choose(placer, scheduling_class=SchedulingClass.LONG).name]
            is SchedulingClass.LONG
        )


def test_long_prompts_leave_a_class_with_a_backlog():
    placer = Placement(zone='a')
    classes = assign_scheduling_classes(ENDPOINTS)
    for name, scheduling_class in classes.items():
        if scheduling_class is SchedulingClass.LONG:
            placer.record_remote_work(name, 3)
    assert (
        classes[choose(placer, scheduling_class=SchedulingClass.LONG).name]
        is SchedulingClass.OTHER
    )


def test_an_endpoint_with_work_of_other_daemons_is_avoided():
    placer = Placement(zone='a')
    placer.record_remote_work('e0', 2)
    for _ in range(20):
        assert choose(placer).name != 'e0'


def test_a_prompt_stays_at_the_endpoint_that_caches_it():
    chosen = {
        choose(Placement(zone='a'), affinity_key='doc', reuse_saving_s=0.2).name
        for _ in range(20)
    }
    assert len(chosen) == 1


def test_a_prompt_shared_by_many_requests_spreads_under_load():
    placer = Placement(zone='a')
    names = set()
    for _ in range(40):
        endpoint = choose(placer, affinity_key='doc', reuse_saving_s=0.2)
        placer.record_sent(endpoint, 0.2)
        names.add(endpoint.name)
    assert len(names) > 2


def test_the_local_zone_is_used_while_it_has_capacity():
    placer = Placement(zone='b')
    for _ in range(20):
        assert choose(placer).zone == 'b'
    for endpoint in ENDPOINTS:
        if endpoint.zone == 'b':
            placer.record_report(
                endpoint, LoadReport(running=64, waiting=20, slots=64)
            )
    assert choose(placer).zone != 'b'


def test_the_backoff_of_a_failing_endpoint_grows():
    placer = Placement(zone='a')
    backoffs = [placer.record_failure(ENDPOINTS[0]) for _ in range(6)]
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] <= observations.MAX_BACKOFF_S
    for _ in range(20):
        assert choose(placer) is not ENDPOINTS[0]


def test_the_backoff_grows_once_for_each_silence(monkeypatch):
    now = [100.0]
    patch_placement_clock(monkeypatch, lambda: now[0])
    placer = Placement(zone='a')
    first_s = placer.record_failure(ENDPOINTS[0], silent_s=0.3)
    now[0] += 0.2
    # Silent since before the first one left.
    assert placer.record_failure(ENDPOINTS[0], silent_s=0.3) == first_s
    now[0] += 0.2
    later_s = placer.record_failure(ENDPOINTS[0], silent_s=0.3)
    assert later_s > first_s
    # Other failures and those after a success count each.
    assert placer.record_failure(ENDPOINTS[0]) > later_s
    placer.record_success(ENDPOINTS[0])
    assert placer.record_failure(ENDPOINTS[0], silent_s=9) == first_s


def test_the_only_endpoint_is_tried_during_its_backoff():
    placer = Placement(zone='a')
    placer.record_failure(ENDPOINTS[0])
    assert choose(placer, ENDPOINTS[:1]) is ENDPOINTS[0]


def test_excluded_endpoints_are_not_tried():
    placer = Placement(zone='a')
    excluded_endpoints = frozenset(endpoint.name for endpoint in ENDPOINTS)
    assert choose(placer, excluded_endpoints=excluded_endpoints) is None


def test_the_delay_of_a_slow_first_byte_expires(monkeypatch):
    now = [100.0]
    patch_placement_clock(monkeypatch, lambda: now[0])
    placer = Placement(zone='a')
    placer.record_first_byte(ENDPOINTS[0], 4.0, 0.1)
    assert placer.estimate_wait(ENDPOINTS[:1], PlacementRequirements()) > 1
    now[0] += 2
    assert placer.estimate_wait(ENDPOINTS[:1], PlacementRequirements()) == 0


def test_queued_work_decreases_with_time(monkeypatch):
    now = [100.0]
    patch_placement_clock(monkeypatch, lambda: now[0])
    placer = Placement(zone='a')
    placer.record_remote_work('e0', 2.0)
    now[0] += 1.5
    assert placer.estimate_wait(ENDPOINTS[:1], PlacementRequirements()) == 0.5


def test_an_endpoint_with_slow_events_is_avoided(monkeypatch):
    now = [100.0]
    patch_placement_clock(monkeypatch, lambda: now[0])
    placer = Placement(zone='a')
    for endpoint in ENDPOINTS:
        for _ in range(10):
            placer.record_event_latency(
                endpoint, 0.4 if endpoint.name == 'e0' else 0.05
            )
    for _ in range(20):
        assert choose(placer).name != 'e0'
    now[0] += endpoint_states.UNIT_LATENCY_TTL_S
    names = {choose(placer).name for _ in range(60)}
    assert 'e0' in names


def test_typical_differences_in_latency_have_no_penalty():
    placer = Placement(zone='a')
    for number, endpoint in enumerate(ENDPOINTS):
        placer.record_event_latency(endpoint, 0.03 + 0.005 * number)
    assert placer.estimate_wait(ENDPOINTS, PlacementRequirements()) == 0
    assert {choose(placer).zone for _ in range(20)} == {'a'}


def test_an_endpoint_that_fails_intermittently_is_avoided(monkeypatch):
    now = [100.0]
    patch_placement_clock(monkeypatch, lambda: now[0])
    placer = Placement(zone='a')
    for endpoint in ENDPOINTS:
        for _ in range(6):
            placer.record_success(endpoint)
            if endpoint.name == 'e0':
                placer.record_failure(endpoint)
    placer.record_success(ENDPOINTS[0])
    now[0] += 0.5
    for _ in range(20):
        assert choose(placer).name != 'e0'
    now[0] += endpoint_states.EXPECTED_LOSS_TTL_S
    assert 'e0' in {choose(placer).name for _ in range(60)}


def test_placement_among_hundreds_of_endpoints_is_bounded_and_keeps_affinity():
    """Pattern: the work of a decision grows with the fleet of endpoints."""
    endpoints = [
        build_endpoint_record(f'e{number}', zone='abcde'[number % 5], slots=16)
        for number in range(760)
    ]
    placers = [Placement(zone='a') for _ in range(3)]
    for key in ('k1', 'k2', 'k3'):
        chosen = {
            choose(placer, endpoints, affinity_key=key, reuse_saving_s=1).name
            for placer in placers
        }
        assert len(chosen) == 1
    considered = placers[0]._compute_costs(endpoints, PlacementRequirements())
    assert len(considered) == MAX_CANDIDATES
    assert choose(placers[0], endpoints).zone == 'a'


@pytest.mark.parametrize('uses_pace', [True, False])
def test_a_pace_counts_only_where_the_settings_say_so(uses_pace):
    """A deployment without the setting is placed without load reports."""
    placer = Placement(zone='a', uses_pace=uses_pace)
    endpoint = build_endpoint_record('e0', slots=64)
    report = LoadReport(running=9, waiting=0, slots=64, slowdown=1.5)
    placer.record_report(endpoint, report)
    assert placer.record_remote_report(endpoint, report, -1) is uses_pace
    assert placer.is_paced(endpoint.service) is uses_pace
    forecast = placer.forecast([endpoint], PlacementRequirements(), Work())
    assert (forecast is not None) is uses_pace


def test_requests_without_a_prompt_are_placed_by_cost(monkeypatch):
    """Bookings were late, as they followed predictions for long answers."""
    placer = Placement(zone='a', by_forecast=True)
    endpoints = [build_endpoint_record(name, slots=6) for name in ('e1', 'e2')]
    report = LoadReport(running=1, waiting=0, slots=6, slowdown=1.5)
    for endpoint in endpoints:
        placer.record_report(endpoint, report)
    placer.record_sent(endpoints[0], 0.5)
    monkeypatch.setattr(placer, '_choose_option', None)
    assert placer.choose(endpoints, PlacementRequirements()) is endpoints[1]
