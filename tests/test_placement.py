"""Where work goes under the loads that make answers late.

The patterns: long prompts beside short streams, all daemons seeing the same
stale load, one prompt that everybody asks about, and an endpoint that fails.
"""

import random

from laurelwind.coordination import placement, views
from laurelwind.coordination.placement import (
    Placement,
    PlacementRequirements,
    SchedulingClass,
    assign_scheduling_classes,
)
from laurelwind.protocol.exchanges import EndpointReport
from tests.relay_helpers import record

ENDPOINTS = [
    record(f'e{number}', zone='abc'[number % 3], slots=64)
    for number in range(9)
]


def choose(placer, endpoints=ENDPOINTS, **fields):
    return placer.choose(endpoints, PlacementRequirements(**fields))


def test_lanes_are_alike_in_every_daemon_and_in_every_zone():
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


def test_a_single_endpoint_takes_all_lanes():
    placer = Placement(zone='a')
    for scheduling_class in SchedulingClass:
        assert (
            choose(placer, ENDPOINTS[:1], scheduling_class=scheduling_class)
            is ENDPOINTS[0]
        )


def test_long_prompts_stay_away_from_short_streams():
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


def test_long_prompts_leave_a_lane_that_is_behind():
    placer = Placement(zone='a')
    classes = assign_scheduling_classes(ENDPOINTS)
    for name, scheduling_class in classes.items():
        if scheduling_class is SchedulingClass.LONG:
            placer.note_work(name, 3)
    assert (
        classes[choose(placer, scheduling_class=SchedulingClass.LONG).name]
        is SchedulingClass.OTHER
    )


def test_work_that_others_sent_is_avoided():
    placer = Placement(zone='a')
    placer.note_work('e0', 2)
    for _ in range(20):
        assert choose(placer).name != 'e0'


def test_a_prompt_stays_where_it_is_known():
    chosen = {
        choose(Placement(zone='a'), affinity_key='doc', reuse_saving_s=0.2).name
        for _ in range(20)
    }
    assert len(chosen) == 1


def test_a_prompt_that_everybody_asks_about_spreads_under_load():
    placer = Placement(zone='a')
    names = set()
    for _ in range(40):
        endpoint = choose(placer, affinity_key='doc', reuse_saving_s=0.2)
        placer.record_sent(endpoint, 0.2)
        names.add(endpoint.name)
    assert len(names) > 2


def test_the_own_zone_is_used_while_it_has_room():
    placer = Placement(zone='b')
    for _ in range(20):
        assert choose(placer).zone == 'b'
    for endpoint in ENDPOINTS:
        if endpoint.zone == 'b':
            placer.record_report(
                endpoint, EndpointReport(running=64, waiting=20, slots=64)
            )
    assert choose(placer).zone != 'b'


def test_a_failing_endpoint_rests_longer_each_time():
    placer = Placement(zone='a')
    pauses = [placer.record_failure(ENDPOINTS[0]) for _ in range(6)]
    assert pauses == sorted(pauses)
    assert pauses[-1] <= placement.MAX_BACKOFF_S
    for _ in range(20):
        assert choose(placer) is not ENDPOINTS[0]


def test_the_last_endpoint_left_is_tried_even_while_it_rests():
    placer = Placement(zone='a')
    placer.record_failure(ENDPOINTS[0])
    assert choose(placer, ENDPOINTS[:1]) is ENDPOINTS[0]


def test_endpoints_that_failed_this_request_are_not_tried():
    placer = Placement(zone='a')
    excluded_endpoints = frozenset(endpoint.name for endpoint in ENDPOINTS)
    assert choose(placer, excluded_endpoints=excluded_endpoints) is None


def test_a_slow_first_byte_is_believed_for_a_while(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(placement, 'read_clock', lambda: now[0])
    placer = Placement(zone='a')
    placer.record_first_byte(ENDPOINTS[0], 4.0, 0.1)
    assert placer.estimate_wait(ENDPOINTS[:1], PlacementRequirements()) > 1
    now[0] += 2
    assert placer.estimate_wait(ENDPOINTS[:1], PlacementRequirements()) == 0


def test_waiting_work_passes_with_time(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(placement, 'read_clock', lambda: now[0])
    placer = Placement(zone='a')
    placer.note_work('e0', 2.0)
    now[0] += 1.5
    assert placer.estimate_wait(ENDPOINTS[:1], PlacementRequirements()) == 0.5


def test_an_endpoint_whose_events_come_slowly_is_avoided(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(placement, 'read_clock', lambda: now[0])
    placer = Placement(zone='a')
    for endpoint in ENDPOINTS:
        for _ in range(10):
            placer.record_event_latency(
                endpoint, 0.4 if endpoint.name == 'e0' else 0.05
            )
    for _ in range(20):
        assert choose(placer).name != 'e0'
    now[0] += views.UNIT_LATENCY_TTL_S
    names = {choose(placer).name for _ in range(60)}
    assert 'e0' in names


def test_paces_that_differ_as_usual_cost_nothing():
    placer = Placement(zone='a')
    for number, endpoint in enumerate(ENDPOINTS):
        placer.record_event_latency(endpoint, 0.03 + 0.005 * number)
    assert placer.estimate_wait(ENDPOINTS, PlacementRequirements()) == 0
    assert {choose(placer).zone for _ in range(20)} == {'a'}


def test_an_endpoint_that_hangs_now_and_then_is_avoided(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(placement, 'read_clock', lambda: now[0])
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
    now[0] += views.FAILURE_RATE_TTL_S
    assert 'e0' in {choose(placer).name for _ in range(60)}
