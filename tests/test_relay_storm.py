"""Guarantees of the relay with endpoints that fail at random.

Each seed draws the behaviour of three endpoints for each request: answer,
refuse, fail, reset, cut, answer twice, stop, or break a stream within an event.
The answers of the callers are checked against the runs at the endpoints.
"""

import random

import anyio
import httpcore
import pytest

from laurelwind.protocol.keyed_store import Topic
from standins.relayed_answers import encode_events
from standins.relayed_endpoint import RelayedEndpoint
from standins.run_log import RunLog
from tests.helpers import wait_until
from tests.test_relay_path import CONFIG, DaemonHarness
from tests.test_tracker import build_endpoint

pytestmark = pytest.mark.anyio

REQUESTS = 60
# Share of the requests that endpoints do not serve.
FAULT_RATE = 0.5


async def _send_request(harness, kind, number, answers):
    request_id = f'{kind}-{number:04}'
    try:
        answer = await harness.send_request(f'/{kind}/1', request_id=request_id)
        answers[request_id] = (answer.status, answer.content)
    except httpcore.RemoteProtocolError:
        answers[request_id] = (0, b'')


@pytest.mark.parametrize('seed', range(6))
async def test_guarantees_hold_with_failing_endpoints(seed):
    rng = random.Random(seed)
    ledger = RunLog()
    answers = {}
    async with anyio.create_task_group() as group:
        endpoints = [
            RelayedEndpoint(
                name=f'e{number}',
                service='pool',
                run_log=ledger,
                rng=rng,
                fault_share=FAULT_RATE,
            )
            for number in range(1, 4)
        ]
        for replica in endpoints:
            await replica.start(group)
        harness = DaemonHarness(endpoints[0].address)
        for replica in endpoints[1:]:
            harness.store.put(
                Topic.ENDPOINTS,
                replica.name,
                build_endpoint(1, address=replica.address),
            )
        await harness.daemon.start(group, {})
        with anyio.fail_after(60):
            await wait_until(lambda: harness.daemon.is_ready)
            async with anyio.create_task_group() as callers:
                for number in range(REQUESTS):
                    kind = rng.choice(('book', 'draft'))
                    callers.start_soon(
                        _send_request, harness, kind, number, answers
                    )
                    await anyio.sleep(0.005)
        await harness.pool.aclose()
        group.cancel_scope.cancel()
    assert len(answers) == REQUESTS
    for request_id, (status, body) in answers.items():
        _check_answer(request_id.encode(), status, body, ledger)
    served = sum(status == 200 for status, _ in answers.values())
    assert served > REQUESTS / 2


def _check_answer(request_id, status, body, ledger):
    runs = ledger.count_runs(request_id.decode())
    if status == 503:
        assert not runs
    if request_id.startswith(b'book'):
        assert runs <= 1
        if status in {200, 500} and not body.startswith(b'{'):
            assert body == request_id
    elif status == 200:
        assert body == encode_events(request_id)
    assert runs <= CONFIG['routes'][0]['max_attempts']
