"""Spans of each hop, in one trace propagated by W3C headers."""

import pytest

from standins.documents import LATENCY_WORKSPACE_KEY
from standins.fleet import OPERATOR_KEY, run_fleet
from tests.helpers import (
    build_chat_body,
    find_prompt,
    publish_demo_configuration,
    send_deposit,
    wait_for_members,
    wait_until,
)

pytestmark = pytest.mark.anyio

TRACE = '0af7651916cd43dd8448eb211c80319c'
PARENT = f'00-{TRACE}-b7ad6b7169203331-01'


async def read_spans(fleet, daemon, trace_id):
    answer = await fleet.caller.request(
        'GET',
        f'{daemon.admin_server.address}/admin/v1/traces/{trace_id}',
        key=OPERATOR_KEY,
    )
    assert answer.status == 200, answer.body
    return answer.read_json()['spans']


async def test_a_cascade_has_a_span_for_each_hop():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        answer = await fleet.caller.request(
            'POST',
            f'{address}/v1/chat/completions',
            key=LATENCY_WORKSPACE_KEY,
            body=build_chat_body(find_prompt(good=False)),
            headers={'traceparent': PARENT},
        )
        assert answer.headers['x-trace-id'] == TRACE
        daemon = fleet.daemons['a0']
        await wait_until(lambda: len(daemon.tracing.store.find(TRACE)) == 5)
        spans = await read_spans(fleet, daemon, TRACE)
        assert sorted(span['name'] for span in spans) == [
            'charge',
            'endpoint attempt',
            'endpoint attempt',
            'entry',
            'rating',
        ]
        entry = next(span for span in spans if span['name'] == 'entry')
        assert entry['parent_id'] == 'b7ad6b7169203331'
        for span in spans:
            if span is not entry:
                assert span['parent_id'] == entry['span_id']


async def test_a_claim_is_traced_to_its_owner_and_to_the_service():
    async with run_fleet(zones='abc') as fleet:
        addresses = await publish_demo_configuration(fleet)
        await wait_for_members(fleet)
        answer = await send_deposit(fleet, addresses[0], 'deposit-1')
        trace_id = answer.headers['x-trace-id']
        names = {
            span.name
            for daemon in fleet.daemons.values()
            for span in daemon.tracing.store.find(trace_id)
        }
        assert {'entry', 'claim', 'endpoint attempt', 'charge'} <= names
        (traceparent,) = fleet.standins.plain.traceparents
        assert traceparent.split('-')[1] == trace_id


async def test_the_store_is_bounded_and_an_unknown_trace_returns_404():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        daemon = fleet.daemons['a0']
        daemon.tracing.store._capacity = 3
        for index in range(6):
            await fleet.caller.request(
                'POST',
                f'{address}/v1/chat/completions',
                key=LATENCY_WORKSPACE_KEY,
                body=build_chat_body(f'draft {index}'),
            )
        assert len(daemon.tracing.store._traces) <= 3
        missing = await fleet.caller.request(
            'GET',
            f'{daemon.admin_server.address}/admin/v1/traces/{TRACE}',
            key=OPERATOR_KEY,
        )
        assert missing.status == 404


async def test_traces_metrics_and_errors_contain_no_secret():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        daemon = fleet.daemons['a0']
        answer = await fleet.caller.request(
            'POST',
            f'{address}/v1/chat/completions',
            key=LATENCY_WORKSPACE_KEY,
            body=build_chat_body('x'),
        )
        exposed = str(
            await read_spans(fleet, daemon, answer.headers['x-trace-id'])
        )
        metrics = await fleet.caller.request(
            'GET', f'{daemon.admin_server.address}/metrics'
        )
        refused = await fleet.caller.request(
            'GET', f'{address}/v1/models', key=f'{LATENCY_WORKSPACE_KEY}-not'
        )
        exposed += metrics.body.decode() + refused.body.decode()
        secrets = [
            LATENCY_WORKSPACE_KEY,
            OPERATOR_KEY,
            *daemon.settings.keys.sessions,
            *(key.secret for key in daemon.settings.keys.peers),
        ]
        for secret in secrets:
            assert secret not in exposed
