"""Load decisions in emulated fleets; each test names its load."""

import pytest

from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.shedding.decisions import (
    LoadOutcome,
    LoadReason,
    LoadRequest,
)
from laurelwind.coordination.shedding.demand import ServiceDemand
from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.return_times import (
    compute_outage_delay,
    compute_return_delay,
)
from tests.emulated_load import EmulatedLoad, Kind

SEEDS = (1, 2, 3)
FLOOR = 0.4


def build_load_request(**fields):
    values = {
        'service': 'pool',
        'kind': 'ask',
        'request_id': 'r1',
        'priority': 1,
        'work': Work(prompt_tokens=1000),
        'goal_s': 2.0,
        'remaining_s': 5.0,
        'draw': 0.99,
        'return_draw': 0.5,
        **fields,
    }
    return LoadRequest(**values)


def build_forecast(**fields):
    values = {
        'start_s': 0.0,
        'first_s': 0.1,
        'finish_s': 1.0,
        'occupancy': 0.9,
        'age_s': 0.1,
        **fields,
    }
    return Forecast(**values)


def press(decisions, now=100.0, priority=1, goal_s=2.0):
    """Record two seconds of forecasts that exceed the latency goal."""
    for step in range(20):
        decisions.record_forecast(
            build_load_request(
                request_id=f'r{step}', priority=priority, goal_s=goal_s
            ),
            build_forecast(start_s=3, first_s=3.1, finish_s=4, occupancy=1.5),
            now - 2 + step / 10,
        )
    return decisions


@pytest.mark.parametrize('seed', SEEDS)
def test_goodput_is_flat_up_to_three_times_capacity(seed):
    """Load: 1, 1.5, 2 and 3 times capacity, callers repeat once.

    Guards against queues of late requests, as without decisions.
    """
    goodputs = []
    for load in (1, 1.5, 2, 3):
        fleet = EmulatedLoad(seed=seed)
        fleet.run(25, load)
        goodputs.append(fleet.get_goodput(7, 25))
    assert goodputs[0] > 0.9
    assert min(goodputs) > 0.85 * goodputs[0]


def test_goodput_collapses_without_decisions():
    """Load: twice the capacity; shows that the emulation can tell."""
    fleet = EmulatedLoad(seed=1, is_deciding=False)
    fleet.run(25, 2)
    assert fleet.get_goodput(7, 25) < 0.7


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('factor', [2, 3])
def test_burst_of_reports_spares_the_urgent(seed, factor):
    """Load: reports come at 2 or 3 times what the capacity leaves for them.

    Guards against a burst of the least urgent kind that delays the others.
    """
    fleet = EmulatedLoad(seed=seed)
    fleet.run(5, 0.8)
    kind, share = fleet.kinds['report']
    fleet.kinds['report'] = (kind, share * factor)
    fleet.run(20, 0.8)
    assert fleet.get_good_share(5, 18, kind='ask') > 0.85
    asks, reports = (
        fleet.get_good_share(7, 18, kind=name) for name in ('ask', 'report')
    )
    assert asks > reports


@pytest.mark.parametrize('seed', SEEDS)
def test_loss_of_a_third_of_the_engines_spares_the_urgent(seed):
    """Load: 0.9 of capacity, then one of three zones is gone."""
    fleet = EmulatedLoad(seed=seed)
    fleet.run(5, 0.9)
    for engine in fleet.engines:
        if engine.zone == 'a':
            engine.is_up = False
    fleet.run(20, 0.9)
    assert fleet.get_good_share(7, 18, kind='ask') > 0.85
    assert fleet.get_goodput(7, 18) > 0.85 * 2 / 3


@pytest.mark.parametrize('seed', SEEDS)
def test_immediate_repeats_do_not_reduce_goodput(seed):
    """Load: twice the capacity; callers ignore Retry-After, up to 6 times."""
    fleet = EmulatedLoad(seed=seed)
    fleet.repeats_at_once = True
    fleet.run(22, 2)
    assert fleet.get_goodput(7, 22) > 0.75


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('load', [0.3, 0.6, 0.9])
def test_nothing_is_rejected_within_capacity(seed, load):
    """Load: below capacity. Guards against refusals while there is room."""
    fleet = EmulatedLoad(seed=seed)
    fleet.run(15, load)
    shed = [call for call in fleet.calls if call.outcome.startswith('shed')]
    assert len(shed) <= 0.01 * len(fleet.calls)
    assert not fleet.wrong_refusals


def test_no_refusal_while_half_of_the_places_are_free():
    """Load: an overload ends at once. Guards against refusals by old state."""
    fleet = EmulatedLoad(seed=4)
    for start in (0, 12, 24):
        fleet.run(start + 6, 3)
        fleet.run(start + 12, 0.2)
    assert not fleet.wrong_refusals


@pytest.mark.parametrize('load', [1.5, 2, 3])
@pytest.mark.parametrize('field', ['kind', 'size', 'session', 'workspace'])
def test_each_group_keeps_its_floor(load, field):
    """Load: 1.5 to 3 times capacity; each group over windows of 8 s.

    Guards against the starvation of a kind, size, session or workspace. Groups
    of few calls are taken together with the others of their number.
    """
    fleet = EmulatedLoad(seed=2)
    fleet.run(25, load)
    groups = {
        'kind': lambda call: call.kind.name,
        'size': lambda call: (call.kind.name, call.tokens),
        'session': lambda call: int(call.session[1:]) % 6,
        'workspace': lambda call: call.workspace,
    }
    for start in (6, 14):
        calls = fleet.select(start, start + 8)
        total = fleet.get_admitted_share(calls)
        names = {groups[field](call) for call in calls}
        for name in names:
            group = [call for call in calls if groups[field](call) == name]
            assert fleet.get_admitted_share(group) >= FLOOR * total


def test_zone_of_the_least_urgent_keeps_its_floor():
    """Load: the daemons of a zone see the least urgent kind only.

    Peers admit half of their requests. Guards against a floor that follows what
    this daemon admits, and falls with it to nothing.
    """
    decisions = LoadDecisions()
    demand = decisions.get_service('pool').demand
    admitted = 0
    for step in range(400):
        now = 100 + step * 0.05
        demand.record_remote_share(0.5, now)
        decision = decisions.review(
            build_load_request(priority=9, draw=step * 0.618 % 1, goal_s=6.0),
            build_forecast(start_s=3, first_s=3.1, finish_s=4, occupancy=1.5),
            now,
        )
        admitted += not decision.is_shed
    assert admitted / 400 >= FLOOR * 0.5


def test_nothing_is_rejected_without_evidence():
    """Load: unknown. Guards against refusals as no report is known."""
    decision = LoadDecisions().review(build_load_request(), None, 100.0)
    assert decision.outcome is LoadOutcome.SEND
    assert decision.reason is LoadReason.UNKNOWN


def test_old_report_is_no_evidence():
    """Load: past its deadline by a report that is older than 1.5 s."""
    forecast = build_forecast(start_s=9, first_s=9, occupancy=3, age_s=1.6)
    decision = LoadDecisions().review(build_load_request(), forecast, 100.0)
    assert decision.outcome is LoadOutcome.SEND


@pytest.mark.parametrize(
    'forecast',
    [
        build_forecast(start_s=9, first_s=9, occupancy=0.49),
        build_forecast(first_s=9, finish_s=30, occupancy=0.8),
    ],
)
def test_room_overrules_pressure_and_deadline(forecast):
    """Load: the service is pressed, but this endpoint has room."""
    decision = press(LoadDecisions()).review(
        build_load_request(), forecast, 100.0
    )
    assert decision.reason is LoadReason.ROOM
    assert not decision.is_shed


def test_request_past_its_deadline_is_rejected_at_once():
    """Load: the best endpoint would begin after the deadline."""
    forecast = build_forecast(start_s=6, first_s=6.1, occupancy=2)
    decision = LoadDecisions().review(
        build_load_request(draw=0), forecast, 100.0
    )
    assert decision.reason is LoadReason.DEADLINE
    assert 0 < decision.retry_after_s <= 5 / 3


def test_plain_answer_has_to_be_complete():
    """Load: a plain answer would begin in time and end too late."""
    forecast = build_forecast(
        start_s=0.5, first_s=0.6, finish_s=1.2, occupancy=1.5
    )
    request = build_load_request(is_stream=False, goal_s=0.163, remaining_s=1.1)
    decisions = LoadDecisions()
    assert decisions.review(request, forecast, 100.0).is_shed


def test_least_urgent_are_rejected_first():
    """Load: as much urgent as other work, and 0.3 of all has to go."""
    demand = ServiceDemand()
    for step in range(80):
        demand.record_arrival((1, 9)[step % 2], 'ask', 1000, 100 + step / 10)
    demand.record_outcome(9, 1000, 108, is_admitted=False)
    least, most = (
        demand.compute_shed_probability(priority, {1: 0.3})
        for priority in (9, 1)
    )
    assert least > 0.5
    assert most == 0


def test_late_are_rejected_before_those_in_time():
    """Load: some pressure; one request would miss its goal."""
    decisions = press(LoadDecisions())
    late = build_load_request(draw=0.6, elapsed_s=1.9, priority=9)
    forecast = build_forecast(start_s=0.5, first_s=0.6, occupancy=1.2)
    decision = decisions.review(late, forecast, 100.0)
    assert decision.reason is LoadReason.LATE


def test_most_work_of_a_kind_is_rejected_first():
    """Load: pressure on one kind whose requests differ in size."""
    decisions = LoadDecisions()
    shed = {500: 0, 4000: 0}
    for step in range(600):
        tokens = (500, 4000)[step % 2]
        request = build_load_request(
            work=Work(prompt_tokens=tokens), draw=step * 0.618 % 1
        )
        forecast = build_forecast(start_s=0.4, first_s=0.5, occupancy=1.2)
        decision = decisions.review(request, forecast, 100 + step * 0.02)
        shed[tokens] += decision.is_shed
    assert shed[4000] > shed[500]


def test_repeated_reviews_do_not_add_up():
    """Load: steady pressure; a request waits and is reviewed ten times."""
    decisions = press(LoadDecisions())
    forecast = build_forecast(start_s=0.3, first_s=0.4, occupancy=1.2)
    request = build_load_request(draw=0.0, delay_s=0.5)
    decision = None
    for step in range(10):
        decision = decisions.review(
            request, forecast, 100 + step * 0.1, last=decision
        )
        assert decision.outcome is LoadOutcome.WAIT


def test_unknown_forecast_follows_confirmed_pressure_only():
    """Load: this endpoint is unknown, the service is pressed or is not."""
    pressed = press(LoadDecisions())
    request = build_load_request(priority=9)
    assert pressed.review(request, None, 100.0).is_shed
    assert not pressed.review(request, None, 104.0).is_shed


def test_small_bookings_use_their_own_scale():
    """Load: 6 slots, goal 163 ms; bookings of 80 ms at 3 times capacity."""
    kind = Kind(
        name='book',
        share=1,
        priority=2,
        goal_s=0.163,
        timeout_s=1.1,
        tokens=1,
        service_s=0.08,
    )
    decisions = LoadDecisions()
    queue_s, shed = 0.0, 0
    for step in range(2500):
        now = 100 + step * 0.002
        queue_s = max(queue_s - 0.002, 0)
        forecast = build_forecast(
            start_s=queue_s,
            first_s=queue_s + kind.service_s,
            finish_s=queue_s + kind.service_s,
            occupancy=1 + queue_s,
            age_s=0.05,
        )
        request = build_load_request(
            goal_s=kind.goal_s,
            remaining_s=kind.timeout_s,
            is_stream=False,
            work=Work(),
            draw=step * 0.618 % 1,
        )
        if decisions.review(request, forecast, now).is_shed:
            shed += 1
        else:
            queue_s += 0.006
    assert 0.5 < shed / 2500 < 0.8
    assert queue_s + kind.service_s < kind.goal_s


def test_forecast_of_a_strict_queue_is_corrected():
    """Load: a less urgent request waits ten times longer than predicted."""
    decisions = LoadDecisions()
    forecast = build_forecast(start_s=0.3, first_s=0.4, occupancy=1.1)
    for step in range(8):
        request = build_load_request(priority=9, goal_s=6.0)
        key = str(step)
        decisions.record_sent(key, request, forecast, 100.0)
        decisions.record_answer(key, 'pool', 9, 105.0)
    decisions.record_forecast(request, forecast, 105.0)
    load = decisions.get_service('pool')
    assert load.correct(forecast, 9, 105.0).start_s > 1


def test_repeats_outlast_more_of_an_outage():
    """Load: the store is away for 8 s; callers wait 15 s and repeat once.

    With 0.5 to 1.1 s, a tenth of the callers returned after the outage.
    """
    served = 0
    for step in range(800):
        delay_s = compute_outage_delay(step / 100, 15, step * 0.618 % 1)
        assert delay_s <= 5
        served += step / 100 + delay_s > 8
    assert served / 800 > 0.35
    assert compute_outage_delay(60, None, 0.9) <= 1.1


def test_return_delays_spread_and_favour_urgent_callers():
    """Load: half of the requests are rejected; the queue drains in 0.5 s."""
    delays = {
        priority: [
            compute_return_delay(
                drain_s=0.5,
                shed_share=0.5,
                priority=priority,
                goal_left_s=6,
                remaining_s=20,
                draw=step / 100,
            )
            for step in range(100)
        ]
        for priority in (0, 9)
    }
    assert min(delays[0]) >= 0.5
    assert max(delays[0]) - min(delays[0]) > 0.5
    assert sum(delays[9]) > sum(delays[0])
    assert max(delays[9]) <= 3
