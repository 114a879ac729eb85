"""Where work goes under the loads that make answers late.

The patterns: long prompts beside short streams, all daemons seeing the same
stale load, one prompt that everybody asks about, and an endpoint that fails.
"""

import random

from laurelwind.coordination import placement, views
from laurelwind.coordination.placement import (
    Lane,
    Placement,
    Want,
    assign_lanes,
)
from laurelwind.protocol.exchanges import EndpointReport
from tests.relay_helpers import record

ENDPOINTS = [
    record(f'e{number}', zone='abc'[number % 3], slots=64)
    for number in range(9)
]


def choose(found, endpoints=ENDPOINTS, **fields):
    return found.choose(endpoints, Want(**fields))


def test_lanes_are_alike_in_every_daemon_and_in_every_zone():
    shuffled = list(ENDPOINTS)
    random.Random(1).shuffle(shuffled)
    lanes = assign_lanes(ENDPOINTS)
    assert lanes == assign_lanes(shuffled)
    for zone in 'abc':
        found = [lanes[one.name] for one in ENDPOINTS if one.zone == zone]
        assert found.count(Lane.LONG) == 1
        assert found.count(Lane.OTHER) == 2


def test_a_single_endpoint_takes_all_lanes():
    found = Placement(zone='a')
    for lane in Lane:
        assert choose(found, ENDPOINTS[:1], lane=lane) is ENDPOINTS[0]


def test_long_prompts_stay_away_from_short_streams():
    found = Placement(zone='a')
    lanes = assign_lanes(ENDPOINTS)
    for _ in range(50):
        assert lanes[choose(found, lane=Lane.OTHER).name] is Lane.OTHER
        assert lanes[choose(found, lane=Lane.LONG).name] is Lane.LONG


def test_long_prompts_leave_a_lane_that_is_behind():
    found = Placement(zone='a')
    lanes = assign_lanes(ENDPOINTS)
    for name, lane in lanes.items():
        if lane is Lane.LONG:
            found.note_work(name, 3)
    assert lanes[choose(found, lane=Lane.LONG).name] is Lane.OTHER


def test_work_that_others_sent_is_avoided():
    found = Placement(zone='a')
    found.note_work('e0', 2)
    for _ in range(20):
        assert choose(found).name != 'e0'


def test_a_prompt_stays_where_it_is_known():
    chosen = {
        choose(Placement(zone='a'), affinity='doc', saving_s=0.2).name
        for _ in range(20)
    }
    assert len(chosen) == 1


def test_a_prompt_that_everybody_asks_about_spreads_under_load():
    found = Placement(zone='a')
    names = set()
    for _ in range(40):
        one = choose(found, affinity='doc', saving_s=0.2)
        found.note_sent(one, 0.2)
        names.add(one.name)
    assert len(names) > 2


def test_the_own_zone_is_used_while_it_has_room():
    found = Placement(zone='b')
    for _ in range(20):
        assert choose(found).zone == 'b'
    for one in ENDPOINTS:
        if one.zone == 'b':
            found.note_report(
                one, EndpointReport(running=64, waiting=20, slots=64)
            )
    assert choose(found).zone != 'b'


def test_a_failing_endpoint_rests_longer_each_time():
    found = Placement(zone='a')
    pauses = [found.note_failure(ENDPOINTS[0]) for _ in range(6)]
    assert pauses == sorted(pauses)
    assert pauses[-1] <= placement.LONGEST_PAUSE_S
    for _ in range(20):
        assert choose(found) is not ENDPOINTS[0]


def test_the_last_endpoint_left_is_tried_even_while_it_rests():
    found = Placement(zone='a')
    found.note_failure(ENDPOINTS[0])
    assert choose(found, ENDPOINTS[:1]) is ENDPOINTS[0]


def test_endpoints_that_failed_this_request_are_not_tried():
    found = Placement(zone='a')
    avoided = frozenset(one.name for one in ENDPOINTS)
    assert choose(found, avoided=avoided) is None


def test_a_slow_first_byte_is_believed_for_a_while(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(placement, 'read_clock', lambda: now[0])
    found = Placement(zone='a')
    found.note_first_byte(ENDPOINTS[0], 4.0, 0.1)
    assert found.estimate_wait(ENDPOINTS[:1], Want()) > 1
    now[0] += 2
    assert found.estimate_wait(ENDPOINTS[:1], Want()) == 0


def test_waiting_work_passes_with_time(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(placement, 'read_clock', lambda: now[0])
    found = Placement(zone='a')
    found.note_work('e0', 2.0)
    now[0] += 1.5
    assert found.estimate_wait(ENDPOINTS[:1], Want()) == 0.5


def test_an_endpoint_whose_events_come_slowly_is_avoided(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(placement, 'read_clock', lambda: now[0])
    found = Placement(zone='a')
    for one in ENDPOINTS:
        for _ in range(10):
            found.note_events(one, 0.4 if one.name == 'e0' else 0.05)
    for _ in range(20):
        assert choose(found).name != 'e0'
    now[0] += views.PACE_LIFE_S
    names = {choose(found).name for _ in range(60)}
    assert 'e0' in names


def test_paces_that_differ_as_usual_cost_nothing():
    found = Placement(zone='a')
    for number, one in enumerate(ENDPOINTS):
        found.note_events(one, 0.03 + 0.005 * number)
    assert found.estimate_wait(ENDPOINTS, Want()) == 0
    assert {choose(found).zone for _ in range(20)} == {'a'}


def test_an_endpoint_that_hangs_now_and_then_is_avoided(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(placement, 'read_clock', lambda: now[0])
    found = Placement(zone='a')
    for one in ENDPOINTS:
        for _ in range(6):
            found.note_success(one)
            if one.name == 'e0':
                found.note_failure(one)
    found.note_success(ENDPOINTS[0])
    now[0] += 0.5
    for _ in range(20):
        assert choose(found).name != 'e0'
    now[0] += views.JUDGED_LIFE_S
    assert 'e0' in {choose(found).name for _ in range(60)}
