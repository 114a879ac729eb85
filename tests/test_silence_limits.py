"""Limits on moves and waits of requests whose endpoints are silent."""

import anyio
import pytest

from laurelwind.coordination.choosing import MAX_RESUME_WAIT_S
from laurelwind.errors import EndpointError
from tests.relay_helpers import (
    EndpointScript,
    Pause,
    build_broken_error,
    build_request,
)
from tests.test_sound_silence import (
    GOAL_S,
    SILENCE_S,
    build_harness,
    build_paused_stream,
    events,
    expire_lease,
    extend_lease,
    remove_endpoint,
)

pytestmark = pytest.mark.anyio


def queue_work(harness, duration_s=30):
    """Queue work at the other endpoints, by default past the deadline."""
    for name in ('e1', 'e2', 'e3'):
        if name != harness.gateway.sent[0].endpoint:
            harness.placement.record_remote_work(name, duration_s)


# Guards against moves to endpoints that cannot answer in time, or that may
# have left since the table was read.
@pytest.mark.parametrize('change', [queue_work, expire_lease])
async def test_a_begun_stream_is_kept_while_a_move_is_ruled_out(change):
    harness = build_harness(build_paused_stream(action=lambda: change(harness)))
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)
    assert len(harness.gateway.sent) == 1
    extend_lease(harness)


# Guards against returns to an endpoint that exceed the limit on attempts.
async def test_returns_to_an_endpoint_count_as_attempts():
    broken = [
        EndpointScript(chunks=[events(number, number), build_broken_error()])
        for number in range(1, 6)
    ]
    harness = build_harness(*broken, names=('e1',), max_attempts=2)
    with pytest.raises(EndpointError):
        await harness.serve(build_request('draft'))
    assert len(harness.gateway.sent) == 2


# Guards against begun streams that wait for an endpoint to their deadline.
async def test_the_wait_of_a_begun_stream_is_bounded():
    harness = build_harness(
        EndpointScript(
            chunks=[
                events(1, 2),
                lambda: remove_endpoint(harness),
                build_broken_error(),
            ]
        ),
        names=('e1',),
    )
    with anyio.fail_after(MAX_RESUME_WAIT_S + 1), pytest.raises(EndpointError):
        await harness.serve(build_request('draft'))


# Guards against further requests that are sent to a silent endpoint.
async def test_requests_avoid_an_endpoint_whose_silence_is_tolerated():
    harness = build_harness(
        EndpointScript(
            chunks=[b'data: a\n\n', Pause(SILENCE_S), b'data: b\n\n']
        )
    )
    async with anyio.create_task_group() as group:
        group.start_soon(harness.serve, build_request('draft'))
        await anyio.sleep(3 * GOAL_S)
        queue_work(harness, 2)
        for _ in range(20):
            harness.gateway.exchanges.clear()
            await harness.serve(build_request('look'))
        silent, *others = (sent.endpoint for sent in harness.gateway.sent)
        assert len(others) == 20
        assert silent not in others
