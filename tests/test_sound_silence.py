"""Endpoints that fall silent for a while and then go on.

Guards against answers that are ended for silence although no other endpoint
can take them over.
"""

import time

import anyio
import pytest

from laurelwind.errors import EndpointError
from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.state.routes import RequestKind
from tests.relay_helpers import (
    EndpointScript,
    Pause,
    RelayHarness,
    build_broken_error,
    build_endpoint_record,
    build_request,
    build_route,
    build_routing_table,
)

pytestmark = pytest.mark.anyio

GOAL_S = 0.1
SILENCE_S = 0.7
TIMEOUT_S = 5.0
REFUSAL = EndpointScript(head=AnswerHead(status=503, did_not_run=True))


def events(first, last):
    return b''.join(
        b'id: %d\ndata: x%d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def build_harness(*scripts, max_attempts=3, goal_s=GOAL_S, **fields):
    harness = RelayHarness(*scripts, **fields)
    limits = {
        'timeout_s': TIMEOUT_S,
        'latency_goal_s': goal_s,
        'gap_goal_s': GOAL_S,
        'max_attempts': max_attempts,
    }
    harness.tracker.table = build_routing_table(
        routes=(
            build_route('look', RequestKind.IDEMPOTENT, **limits),
            build_route(
                'draft', RequestKind.STREAMING, is_resumable=True, **limits
            ),
        )
    )
    return harness


def build_paused_stream(seconds=SILENCE_S, action=None):
    """Build a stream with a silence, and an action at its beginning."""
    chunks = [events(1, 2), Pause(seconds), events(3, 4)]
    if action is not None:
        chunks.insert(1, action)
    return EndpointScript(chunks=chunks)


def spend_retry_budget(harness):
    for _ in range(40):
        harness.retry_budget.record_retry('pool')


def list_others(harness):
    """List the endpoints that have no request."""
    busy = harness.gateway.sent[0].endpoint
    return [name for name in ('e1', 'e2', 'e3') if name != busy]


def update_others(harness, **fields):
    for name in list_others(harness):
        record = build_endpoint_record(name, sequence=2, **fields)
        harness.directory.apply(name, record, offset=10)


def drain_others(harness):
    update_others(harness, is_draining=True)


def move_others(harness):
    update_others(harness, service='other')


def pause_others(harness):
    for name in list_others(harness) * 3:
        harness.placement.record_failure(build_endpoint_record(name))


@pytest.mark.parametrize(
    'change',
    [drain_others, pause_others, move_others, spend_retry_budget],
)
async def test_a_begun_stream_is_kept_while_no_endpoint_can_take_it(change):
    harness = build_harness(build_paused_stream(action=lambda: change(harness)))
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)
    assert len(harness.gateway.sent) == 1


async def test_a_stream_of_the_only_endpoint_outlasts_its_silence():
    harness = build_harness(build_paused_stream(), names=('e1',))
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)


async def test_a_begun_stream_without_event_ids_outlasts_its_silence():
    chunks = [b'data: a\n\n', Pause(SILENCE_S), b'data: b\n\n']
    harness = build_harness(EndpointScript(chunks=chunks))
    answer = await harness.serve(build_request('draft'))
    assert answer.body == b'data: a\n\ndata: b\n\n'


@pytest.mark.parametrize('name', ['look', 'draft'])
async def test_the_first_byte_is_awaited_while_no_endpoint_can_take_over(name):
    script = EndpointScript(pause=Pause(SILENCE_S), chunks=[events(1, 1)])
    harness = build_harness(script, names=('e1',))
    assert (await harness.serve(build_request(name))).is_whole


async def test_the_last_attempt_of_a_stream_is_not_ended_for_silence():
    script = EndpointScript(pause=Pause(SILENCE_S), chunks=[events(1, 1)])
    harness = build_harness(script, max_attempts=1)
    assert (await harness.serve(build_request('draft'))).is_whole


async def test_a_silent_endpoint_is_left_once_another_is_ready():
    def add_endpoint():
        harness.directory.apply('e2', build_endpoint_record('e2'), offset=9)

    harness = build_harness(
        EndpointScript(
            chunks=[events(1, 2), Pause(SILENCE_S), add_endpoint, None]
        ),
        EndpointScript(chunks=[events(3, 4)]),
        names=('e1',),
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)
    assert harness.gateway.sent[1].endpoint == 'e2'


@pytest.mark.parametrize('max_attempts', [2, 3])
@pytest.mark.parametrize(
    'refusal', [REFUSAL, EndpointScript(refuses_connection=True)]
)
async def test_a_refused_move_returns_to_the_silent_endpoint(
    refusal, max_attempts
):
    harness = build_harness(
        EndpointScript(chunks=[events(1, 2), None]),
        refusal,
        EndpointScript(chunks=[events(3, 4)]),
        names=('e1', 'e2'),
        max_attempts=max_attempts,
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)
    sent = harness.gateway.sent
    assert sent[0].endpoint == sent[-1].endpoint
    assert sent[-1].last_event_id == '2'


async def test_a_mute_endpoint_is_left_at_its_time_out():
    harness = build_harness(
        EndpointScript(head=None), EndpointScript(chunks=[events(1, 1)])
    )
    started_at = anyio.current_time()
    assert (await harness.serve(build_request('draft'))).is_whole
    assert anyio.current_time() - started_at < TIMEOUT_S / 2


async def test_a_tolerated_silence_is_logged_with_its_reason(monkeypatch):
    harness = build_harness(build_paused_stream(), names=('e1',))
    lines = {}
    for method in ('log_info', 'log_warning'):
        monkeypatch.setattr(
            harness.log,
            method,
            lambda event, **line: lines.update({event: line}),
        )
    await harness.serve(build_request('draft'))
    assert lines['silence_tolerated']['obstacle'] == 'no_endpoint'
    assert lines['silence_ended']['silent_s'] >= SILENCE_S


async def test_a_blocked_event_loop_is_not_taken_for_silence():
    """The event arrives just after the loop is free, past the time-out."""
    harness = build_harness(
        build_paused_stream(0.1, action=lambda: time.sleep(4 * GOAL_S))
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)
    assert len(harness.gateway.sent) == 1


async def test_an_answer_that_has_arrived_is_read_past_its_time_out():
    """Guards against attempts that are given up before their answer is read."""
    harness = build_harness(EndpointScript(chunks=[events(1, 1)]), goal_s=0)
    assert (await harness.serve(build_request('draft'))).is_whole
    assert len(harness.gateway.sent) == 1


async def test_a_broken_stream_returns_to_its_endpoint_if_no_other_is_left():
    """Guards against streams cut off as only their endpoint is in service."""
    harness = build_harness(
        EndpointScript(chunks=[events(1, 2), build_broken_error()]),
        EndpointScript(chunks=[events(3, 4)]),
        names=('e1',),
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)


def add_retry_budget(harness):
    for _ in range(80):
        harness.retry_budget.record_request('pool')


def add_endpoint(harness):
    harness.directory.apply('e2', build_endpoint_record('e2'), offset=9)


def expire_lease(harness):
    harness.lease.duration_s = 0


def extend_lease(harness):
    harness.lease.duration_s = 60


def remove_endpoint(harness):
    harness.directory.apply('e1', None, offset=8)


@pytest.mark.parametrize(
    ('lose', 'recover'),
    [
        (spend_retry_budget, add_retry_budget),
        (remove_endpoint, add_endpoint),
        (expire_lease, extend_lease),
    ],
)
async def test_a_begun_stream_waits_until_it_can_be_resumed(lose, recover):
    """Guards against streams cut off by a lack that lasts a moment."""
    harness = build_harness(
        EndpointScript(
            chunks=[events(1, 2), lambda: lose(harness), build_broken_error()]
        ),
        EndpointScript(chunks=[events(3, 4)]),
        names=('e1',),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(recover_later, harness, recover)
        answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)


async def recover_later(harness, recover):
    await anyio.sleep(SILENCE_S)
    recover(harness)


async def test_a_stream_that_has_not_begun_fails_without_a_wait():
    harness = build_harness(
        EndpointScript(head=build_broken_error()), names=('e1',)
    )
    started_at = anyio.current_time()
    with pytest.raises(EndpointError):
        await harness.serve(build_request('draft'))
    assert anyio.current_time() - started_at < SILENCE_S


async def test_a_begun_stream_outlasts_the_removal_of_its_route():
    """Guards against streams that look up their route again to be resumed."""

    def remove_routes():
        harness.tracker.table = build_routing_table(2, routes=(), services={})

    harness = build_harness(
        EndpointScript(chunks=[events(1, 2), remove_routes, None]),
        EndpointScript(chunks=[events(3, 4)]),
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)
