"""Versions that answer more slowly than the one in use."""

import pytest

from laurelwind.coordination.attempt_timing import LATENCY_EVENTS
from laurelwind.coordination.rollouts.evidence import (
    AnswerOutcome,
    should_accept,
)
from laurelwind.coordination.rollouts.latencies import (
    BASELINE_TTL_S,
    MAX_GROUPS,
    Latency,
    LatencyBaselines,
    OpenAnswer,
    OpenAnswers,
)
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.errors import EndpointError
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutState,
    Tally,
)
from tests.relay_helpers import (
    EndpointScript,
    Pause,
    RelayHarness,
    build_endpoint_record,
    build_request,
    build_silent_log,
)

OLD = build_endpoint_record('old')
TARGET = build_endpoint_record('target', version='v2')
GROUP = ('pool', 'draft', 'small')
ORDER = RolloutOrder(service='pool', target='v2', duration_s=20)
PACE_S = 0.04


@pytest.fixture
def rollouts(clock):
    registry = RolloutRegistry(
        local_daemon='d1',
        exposure_share=0.15,
        log=build_silent_log(),
        clock=clock,
    )
    registry.apply_order(ORDER)
    return registry


def record(rollouts, endpoint, count, *, unit_s, elapsed_s=1.0):
    for _ in range(count):
        rollouts.record_outcome(
            endpoint,
            AnswerOutcome(
                route=GROUP[1],
                comparison_group=GROUP[2],
                latency=Latency(unit_s=unit_s, elapsed_s=elapsed_s),
            ),
        )


def list_states(rollouts):
    return [status.state for _, status in rollouts.list_due_statuses(0)]


# A version with four times the time for each event was completed.
@pytest.mark.parametrize('ratio', [3, 4.2, 8])
def test_a_version_several_times_slower_is_rejected(rollouts, ratio):
    record(rollouts, OLD, 60, unit_s=PACE_S)
    record(rollouts, TARGET, 6, unit_s=PACE_S * ratio)
    assert list_states(rollouts) == [RolloutState.ROLLED_BACK]


# Answers of few events, which have no pace, hid the slow ones.
def test_short_answers_do_not_hide_slow_ones(rollouts):
    record(rollouts, OLD, 60, unit_s=PACE_S)
    record(rollouts, TARGET, 21, unit_s=None)
    record(rollouts, TARGET, 10, unit_s=4.5 * PACE_S)
    assert list_states(rollouts) == [RolloutState.ROLLED_BACK]


def test_answers_that_were_not_compared_do_not_hide_slow_ones(rollouts):
    record(rollouts, OLD, 60, unit_s=PACE_S)
    for _ in range(40):
        rollouts.record_outcome(TARGET, AnswerOutcome(route=GROUP[1]))
    record(rollouts, TARGET, 8, unit_s=4.5 * PACE_S)
    assert list_states(rollouts) == [RolloutState.ROLLED_BACK]


def test_a_version_as_fast_as_the_old_one_is_accepted(rollouts, clock):
    record(rollouts, OLD, 60, unit_s=PACE_S)
    record(rollouts, TARGET, 30, unit_s=1.8 * PACE_S)
    clock.now = 119
    assert list_states(rollouts) == [RolloutState.SUCCEEDED]


def test_load_that_slows_both_versions_rejects_neither(rollouts):
    record(rollouts, OLD, 20, unit_s=PACE_S)
    for _ in range(20):
        record(rollouts, OLD, 5, unit_s=4 * PACE_S)
        record(rollouts, TARGET, 1, unit_s=4 * PACE_S)
    assert RolloutState.ROLLED_BACK not in list_states(rollouts)


def test_latencies_of_another_time_are_compared_less_strictly(rollouts, clock):
    record(rollouts, OLD, 60, unit_s=PACE_S)
    clock.now += BASELINE_TTL_S + 1
    record(rollouts, TARGET, 30, unit_s=4 * PACE_S)
    assert list_states(rollouts) == [RolloutState.ACTIVE]
    record(rollouts, TARGET, 30, unit_s=6 * PACE_S)
    assert list_states(rollouts) == [RolloutState.ROLLED_BACK]


def test_a_route_without_answers_of_its_own_is_compared_by_its_model():
    baselines = LatencyBaselines()
    for _ in range(8):
        baselines.record(GROUP, Latency(unit_s=PACE_S, elapsed_s=1))
    other_route = ('pool', 'other', 'small')
    assert baselines.is_slow(other_route, Latency(unit_s=1)) is True
    assert baselines.is_slow(other_route, Latency(unit_s=PACE_S)) is False
    for unknown in (('pool', 'other', ''), ('pool', 'draft', 'large')):
        assert baselines.is_slow(unknown, Latency(unit_s=1)) is None


def test_the_groups_of_latencies_are_bounded():
    baselines = LatencyBaselines()
    for number in range(MAX_GROUPS + 1):
        for _ in range(8):
            baselines.record(('pool', str(number), ''), Latency(unit_s=1))
    latency = Latency(unit_s=9)
    assert baselines.is_slow(('pool', '0', ''), latency) is None
    assert baselines.is_slow(('pool', '1', ''), latency) is True


# Half of the answers are fast and end first; the version was accepted by them.
def test_answers_under_way_count_once_they_are_overdue(rollouts, clock):
    record(rollouts, OLD, 60, unit_s=PACE_S, elapsed_s=1.0)
    answers = OpenAnswers(baselines=rollouts.baselines, clock=clock)

    def count_overdue():
        rollouts.record_latency(
            TARGET, GROUP, Latency(unit_s=None, is_overdue=True)
        )

    for _ in range(10):
        answers.add(
            OpenAnswer(
                group=GROUP, sent_at=clock.now, record_overdue=count_overdue
            )
        )
    record(rollouts, TARGET, 10, unit_s=PACE_S)
    clock.now += 2
    answers.review()
    assert list_states(rollouts) == [RolloutState.ACTIVE]
    clock.now += 1
    answers.review()
    assert list_states(rollouts) == [RolloutState.ROLLED_BACK]


def test_a_service_whose_answers_have_no_latency_is_judged_by_failures():
    assert should_accept(Tally(answers=30), Tally(answers=30))
    assert not should_accept(Tally(answers=30), Tally(answers=30, timed=30))


def test_reports_carry_the_number_of_timed_answers():
    documents = PlatformDocuments()
    report = RolloutReport(
        target='v2',
        tallies={'draft': Tally(answers=9, failures=1, slow=2, timed=5)},
        old_tally=Tally(answers=40, timed=30),
    )
    key, body = documents.encode_report('pool', 'd1', report)
    assert documents.decode_report(key, body) == ('pool', 'd1', report)
    earlier = body.replace(b'[9,1,2,5]', b'[9,1,2]')
    _, _, decoded = documents.decode_report(key, earlier)
    assert decoded.tallies['draft'].timed == 9


def build_harness(*scripts):
    harness = RelayHarness(*scripts)
    harness.rollouts.apply_order(ORDER)
    latencies = []
    real_record = harness.rollouts.record_latency

    def record_latency(endpoint, group, latency):
        latencies.append(latency)
        real_record(endpoint, group, latency)

    harness.rollouts.record_latency = record_latency
    return harness, latencies


def build_events(count):
    return [b'id: %d\ndata: x\n\n' % number for number in range(count)]


@pytest.mark.anyio
async def test_a_stream_is_timed_before_it_ends():
    seen = []
    harness, latencies = build_harness(
        EndpointScript(
            chunks=[
                *build_events(LATENCY_EVENTS),
                lambda: seen.extend(latencies),
                *build_events(4),
            ]
        )
    )
    await harness.serve(build_request('draft'))
    assert len(seen) == 1
    assert len(latencies) == 1


@pytest.mark.anyio
async def test_an_attempt_that_is_left_for_silence_counts_as_overdue():
    harness, latencies = build_harness(
        EndpointScript(head=AnswerHead(status=200), chunks=[Pause(9)]),
        EndpointScript(chunks=build_events(3)),
    )
    route = harness.tracker.table.find_route('forms.example', '/draft/')
    object.__setattr__(route, 'gap_goal_s', 0.05)
    await harness.serve(build_request('draft'))
    assert [latency.is_overdue for latency in latencies] == [True]


@pytest.mark.anyio
async def test_a_failed_attempt_is_not_overdue():
    harness, latencies = build_harness(
        *(EndpointScript(head=AnswerHead(status=503)) for _ in range(3))
    )
    with pytest.raises(EndpointError):
        await harness.serve(build_request('draft'))
    assert not latencies
