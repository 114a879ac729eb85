"""Trials on few endpoints, which are loaded as they will be later."""

import pytest

from laurelwind.coordination.rollouts import registry
from laurelwind.coordination.rollouts.concentration import (
    OCCUPANCY_TTL_S,
    TrialLoad,
)
from laurelwind.coordination.rollouts.latencies import (
    Latency,
    LatencyBaselines,
)
from laurelwind.coordination.rollouts.progress import RolloutProgress
from laurelwind.protocol.exchanges import AnswerHead, LoadReport
from laurelwind.state.rendezvous import compute_rendezvous_hash
from laurelwind.state.rollouts import RolloutOrder
from tests.relay_helpers import (
    EndpointScript,
    RelayHarness,
    build_endpoint_record,
    build_request,
)

OLD = [build_endpoint_record(f'o{number}') for number in range(45)]
NEW = [build_endpoint_record(f'n{n}', version='v2') for n in range(45)]


def select(clock, occupancy, *, endpoints=NEW, share=0.15, excluded=()):
    trial = TrialLoad(clock=clock)
    trial.review(OLD, lambda endpoint: occupancy)
    chosen = trial.select(endpoints, OLD, share, excluded)
    return [endpoint.name for endpoint in chosen], trial.load_ratio


def test_a_trial_loads_few_endpoints_as_a_burst_will(clock):
    """Spread over all, none had more load than it will have later."""
    names, load_ratio = select(clock, 0.3)
    assert len(names) == 4
    assert load_ratio == pytest.approx(1.985, abs=0.01)


def test_the_order_of_the_endpoints_is_that_of_every_daemon(clock):
    """Daemons with other orders would spread the trial over all."""
    assert select(clock, 0.3) == select(clock, 0.3, endpoints=NEW[::-1])


def test_more_endpoints_serve_a_larger_share_with_those_from_before(clock):
    """Sessions would change their endpoint at the step."""
    assert set(select(clock, 0.3)[0]) < set(select(clock, 0.3, share=0.3)[0])


def test_busy_services_spread_the_trial(clock):
    """Requests on trial would wait at endpoints without a free slot."""
    assert len(select(clock, 0.7)[0]) == 7
    assert len(select(clock, 20)[0]) == len(NEW)


@pytest.mark.parametrize('is_gone', [True, False])
def test_an_endpoint_that_left_or_failed_is_replaced_by_the_next(
    clock, is_gone
):
    """A retry would find no endpoint, or the trial would shrink."""
    names, _ = select(clock, 0.3)
    left = names[0]
    rest = [endpoint for endpoint in NEW if endpoint.name != left]
    chosen, _ = select(
        clock,
        0.3,
        endpoints=rest if is_gone else NEW,
        excluded=() if is_gone else (left,),
    )
    assert chosen[:3] == names[1:]
    # A silent endpoint stays in reach, as the request may return to it.
    assert chosen[4:] == ([] if is_gone else [left])


def test_without_load_reports_all_endpoints_serve(clock):
    """Services that report no load are served as before."""
    assert select(clock, None) == ([record.name for record in NEW], 1)


def test_an_old_estimate_of_the_occupancy_does_not_count(clock):
    """Endpoints that stopped reporting may be full."""
    trial = TrialLoad(clock=clock)
    trial.review(OLD, lambda endpoint: 0.3)
    clock.now += OCCUPANCY_TTL_S + 1
    trial.review(OLD, lambda endpoint: None)
    assert trial.select(NEW, OLD, 0.15, ()) == NEW


@pytest.mark.anyio
async def test_requests_on_trial_go_to_the_selected_endpoint(monkeypatch):
    """Guards the wiring from load reports and retries to the selection."""
    monkeypatch.setattr(registry, 'hash_fraction', lambda key: 0.0)
    monkeypatch.setattr(
        RolloutProgress, 'compute_target_share', lambda *args: 0.15
    )
    script = EndpointScript(head=AnswerHead(status=200), chunks=[b'whole'])
    harness = RelayHarness(*[script] * 8, names=('old',))
    for number in range(4):
        record = build_endpoint_record(f'new{number}', version='v2')
        harness.directory.apply(record.name, record, offset=9)
    harness.rollouts.apply_order(
        RolloutOrder(service='pool', target='v2', duration_s=60)
    )
    harness.placement.record_report(
        harness.directory.find('old'), LoadReport(running=1, waiting=0, slots=8)
    )
    names = [f'new{number}' for number in range(4)]
    selected = max(names, key=lambda name: compute_rendezvous_hash('v2', name))
    # Another one would be chosen for its lower load.
    harness.placement.record_report(
        harness.directory.find(selected),
        LoadReport(running=8, waiting=4, slots=8),
    )
    await harness.serve(build_request('look'))
    assert [dispatch.endpoint for dispatch in harness.gateway.sent] == [
        selected
    ]


def test_answers_at_a_higher_load_may_take_longer(clock):
    """A good version was slow beside an old one with half the requests."""
    baselines = LatencyBaselines(clock=clock)
    group = ('pool', 'draft', '')
    for _ in range(8):
        baselines.record(group, Latency(unit_s=0.02))
    slowed = Latency(unit_s=0.06)
    assert baselines.is_slow(group, slowed)
    assert not baselines.is_slow(group, slowed, load_ratio=2)
    assert baselines.is_slow(group, Latency(unit_s=0.16), load_ratio=2)
