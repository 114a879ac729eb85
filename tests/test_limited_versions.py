"""Roll-outs of a version whose endpoints state rate limits."""

import pytest

from laurelwind.coordination.rollouts import registry
from laurelwind.coordination.rollouts.progress import RolloutProgress
from laurelwind.errors import CapacityError
from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rate_limits import LimitStatement
from laurelwind.state.rollouts import RolloutOrder
from tests.relay_helpers import (
    EndpointScript,
    RelayHarness,
    build_endpoint_record,
    build_request,
)

pytestmark = pytest.mark.anyio
COMPLETE = EndpointScript(head=AnswerHead(status=200), chunks=[b'whole'])


def build_harness(monkeypatch, limited):
    """Build a relay whose requests go to a version that is rolled out."""
    monkeypatch.setattr(registry, 'hash_fraction', lambda key: 0.0)
    monkeypatch.setattr(
        RolloutProgress, 'compute_target_share', lambda *args: 0.5
    )
    harness = RelayHarness(*[COMPLETE] * 4, names=('old',))
    record = build_endpoint_record('new', version='v2')
    harness.directory.apply('new', record, offset=9)
    harness.rollouts.apply_order(
        RolloutOrder(service='pool', target='v2', duration_s=60)
    )
    harness.rollouts.record_read()
    now = read_monotonic_clock()
    for name in limited:
        # The permits of the next minute are taken.
        harness.permits.limits.apply(
            (name, 1), LimitStatement(rate=0, sent_at=now, stated_at=now)
        )
    return harness


async def take_permit(harness, name):
    record = next(
        endpoint
        for endpoint in harness.directory.list_ready('pool')
        if endpoint.name == name
    )
    assert await harness.permits.acquire('r0', record, 1.0) is not None


def list_sent(harness):
    return [dispatch.endpoint for dispatch in harness.gateway.sent]


# Requests of a limited new version were rejected beside idle old endpoints.
async def test_the_old_version_takes_what_the_new_one_has_no_permit_for(
    monkeypatch,
):
    harness = build_harness(monkeypatch, ['new'])
    await take_permit(harness, 'new')
    await harness.serve(build_request('look'))
    assert list_sent(harness) == ['old']


async def test_a_session_keeps_a_limited_version(monkeypatch):
    harness = build_harness(monkeypatch, ['new'])
    await take_permit(harness, 'new')
    with pytest.raises(CapacityError):
        await harness.serve(build_request('look', session='s1'))
    assert not list_sent(harness)


async def test_the_new_version_does_not_take_over_for_a_limited_old_one(
    monkeypatch,
):
    harness = build_harness(monkeypatch, ['old'])
    monkeypatch.setattr(registry, 'hash_fraction', lambda key: 1.0)
    await take_permit(harness, 'old')
    with pytest.raises(CapacityError):
        await harness.serve(build_request('look'))
    assert not list_sent(harness)
