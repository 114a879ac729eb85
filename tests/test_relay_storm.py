"""Promises of the relay under endpoints that misbehave at random.

Each seed draws what three endpoints do with each request: answer, refuse,
fail, reset, cut, answer twice, stop, or tear a stream within an event.  What
callers get is held against what the endpoints ran.
"""

import random

import anyio
import httpcore
import pytest

from laurelwind.protocol.keyed import Topic
from standins.relayed import Ledger, RelayedEndpoint, write_events
from tests.helpers import wait_until
from tests.test_relay_path import CONFIG, World
from tests.test_tracker import endpoint

pytestmark = pytest.mark.anyio

REQUESTS = 60
# Half of what endpoints are asked is not served.
WILDNESS = 0.5


async def _ask(world, kind, number, answers):
    request_id = f'{kind}-{number:04}'
    try:
        answer = await world.ask(f'/{kind}/1', request_id=request_id)
        answers[request_id] = (answer.status, answer.content)
    except httpcore.RemoteProtocolError:
        answers[request_id] = (0, b'')


@pytest.mark.parametrize('seed', range(6))
async def test_promises_hold_whatever_endpoints_do(seed):
    luck = random.Random(seed)
    ledger = Ledger()
    answers = {}
    async with anyio.create_task_group() as group:
        wild = [
            RelayedEndpoint(
                name=f'e{number}',
                service='pool',
                ledger=ledger,
                luck=luck,
                wildness=WILDNESS,
            )
            for number in range(1, 4)
        ]
        for one in wild:
            await one.start(group)
        world = World(wild[0].address)
        for one in wild[1:]:
            world.store.put(
                Topic.ENDPOINTS, one.name, endpoint(1, address=one.address)
            )
        await world.daemon.start(group, {})
        with anyio.fail_after(60):
            await wait_until(lambda: world.daemon.is_ready)
            async with anyio.create_task_group() as callers:
                for number in range(REQUESTS):
                    kind = luck.choice(('book', 'draft'))
                    callers.start_soon(_ask, world, kind, number, answers)
                    await anyio.sleep(0.005)
        await world.pool.aclose()
        group.cancel_scope.cancel()
    assert len(answers) == REQUESTS
    for request_id, (status, body) in answers.items():
        _check(request_id.encode(), status, body, ledger)
    served = sum(status == 200 for status, _ in answers.values())
    assert served > REQUESTS / 2


def _check(request_id, status, body, ledger):
    runs = ledger.count(request_id.decode())
    if status == 503:
        assert not runs
    if request_id.startswith(b'book'):
        assert runs <= 1
        if status in {200, 500} and not body.startswith(b'{'):
            assert body == request_id
    elif status == 200:
        assert body == write_events(request_id)
    assert runs <= CONFIG['routes'][0]['max_attempts']
