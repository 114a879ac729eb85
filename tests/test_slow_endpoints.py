"""Endpoints that are slow, as their reports tell, and those that are silent.

Guards against streams that run on a slow endpoint until their deadline, and
against moves away from endpoints that are slow and sound.
"""

import anyio
import pytest

from laurelwind.coordination.scheduling.requirements import RequestTraits
from laurelwind.errors import EndpointError, ErrorKind
from laurelwind.protocol.exchanges import AnswerHead, LoadReport
from laurelwind.state.routes import RequestKind, Service
from tests.relay_helpers import (
    EndpointScript,
    FakeGateway,
    Pause,
    RelayHarness,
    build_request,
    build_route,
    build_routing_table,
)

pytestmark = pytest.mark.anyio

USUAL = LoadReport(running=1, waiting=0, slots=8, slowdown=1.0)
SLOW = LoadReport(running=1, waiting=0, slots=8, slowdown=3.0)
HEAD = AnswerHead(status=200, load=USUAL)
EXPECTED_EVENTS = 40
PREFILL_TOKENS = 6000


def event(number):
    return b'id: %d\ndata: x%d\n\n' % (number, number)


def build_chunks(first, last, gap_s=0.0):
    chunks = []
    for number in range(first, last + 1):
        chunks += [Pause(gap_s), event(number)] if gap_s else [event(number)]
    return chunks


def build_stream(last, gap_s=0.0, **fields):
    chunks = build_chunks(1, last, gap_s)
    return EndpointScript(**{'head': HEAD, 'chunks': chunks, **fields})


class ContinuingGateway(FakeGateway):
    """Streams go on behind the event that the daemon names."""

    async def send(self, request, dispatch):
        script = self.scripts[0]
        first = int(dispatch.last_event_id or 0)
        events = [chunk for chunk in script.chunks if isinstance(chunk, bytes)]
        per_event = len(script.chunks) // len(events)
        script.chunks = script.chunks[first * per_event :]
        return await super().send(request, dispatch)


def build_harness(*scripts, is_paced=True, is_resumable=True, **limits):
    harness = RelayHarness(gateway=ContinuingGateway(scripts))
    harness.tracker.table = build_routing_table(
        routes=(
            build_route(
                'draft',
                RequestKind.STREAMING,
                is_resumable=is_resumable,
                **limits,
            ),
        ),
        services={'pool': Service(name='pool', has_engines=True)},
    )
    if not is_paced:
        return harness
    for _ in range(10):
        for endpoint in harness.directory.list_ready('pool'):
            harness.placement.record_report(endpoint, USUAL)
            harness.placement.record_event_latency(endpoint, 0.005)
        harness.placement.record_length(
            'pool', RequestTraits(route='draft', sent_events=EXPECTED_EVENTS)
        )
    return harness


def count_events(body):
    return [int(line[4:]) for line in body.split(b'\n') if line[:3] == b'id:']


async def test_a_stream_that_would_be_late_moves_once():
    """At 0.1 s an event, 40 events are not complete within 2 s."""
    harness = build_harness(
        build_stream(EXPECTED_EVENTS, 0.1), build_stream(EXPECTED_EVENTS)
    )
    answer = await harness.serve(build_request('draft'))
    first, second = harness.gateway.sent
    assert first.endpoint != second.endpoint
    assert answer.is_whole
    assert count_events(answer.body) == list(range(1, EXPECTED_EVENTS + 1))
    # The endpoint is slow and sound: it takes other requests at once.
    state = harness.placement._get_named_state(first.endpoint)
    assert not state.failures
    assert not state.in_flight
    assert not state.held_tokens


async def test_a_stream_moves_no_second_time():
    harness = build_harness(
        build_stream(EXPECTED_EVENTS, 0.1),
        build_stream(EXPECTED_EVENTS, 0.1),
        build_stream(EXPECTED_EVENTS),
    )
    with pytest.raises(EndpointError) as raised:
        await harness.serve(build_request('draft'))
    assert raised.value.kind is ErrorKind.DEADLINE_EXCEEDED
    assert len(harness.gateway.sent) == 2


@pytest.mark.parametrize(
    'options',
    [
        {'max_attempts': 1},
        {'is_resumable': False},
        {'is_paced': False},
    ],
)
async def test_a_stream_stays_where_a_move_is_ruled_out(options):
    """The limit on attempts holds, and services without a pace stay as is."""
    is_paced = options.get('is_paced', True)
    head = HEAD if is_paced else AnswerHead(status=200)
    script = build_stream(EXPECTED_EVENTS, 0.1, head=head)
    harness = build_harness(script, **options)
    with pytest.raises(EndpointError):
        await harness.serve(build_request('draft'))
    assert len(harness.gateway.sent) == 1


async def test_a_stream_that_is_in_time_stays():
    harness = build_harness(build_stream(EXPECTED_EVENTS, 0.03), timeout_s=10.0)
    answer = await harness.serve(build_request('draft'))
    assert answer.is_whole
    assert len(harness.gateway.sent) == 1


async def serve_slow_head(harness, report):
    """Serve a request whose first byte is late; the endpoint may report."""

    async def deliver_report():
        await anyio.sleep(0.2)
        if report is not None:
            for endpoint in harness.directory.list_ready('pool'):
                for _ in range(20):
                    harness.placement.record_report(endpoint, report)

    async with anyio.create_task_group() as group:
        group.start_soon(deliver_report)
        return await harness.serve(
            build_request('draft', prompt_tokens=PREFILL_TOKENS)
        )


@pytest.mark.parametrize(
    ('report', 'attempts'),
    [(SLOW, 1), (USUAL, 2), (None, 2)],
)
async def test_a_slow_endpoint_is_not_taken_for_a_silent_one(report, attempts):
    """The first byte is due after 0.3 s at the usual pace, 0.9 s at this."""
    harness = build_harness(
        build_stream(3, pause=Pause(0.7)),
        build_stream(3),
        latency_goal_s=0.1,
    )
    answer = await serve_slow_head(harness, report)
    assert answer.is_whole
    assert len(harness.gateway.sent) == attempts


async def test_an_endpoint_that_stays_silent_is_left_in_the_end():
    harness = build_harness(
        build_stream(3, pause=Pause(5)),
        build_stream(3),
        latency_goal_s=0.1,
    )
    answer = await serve_slow_head(harness, SLOW)
    assert answer.is_whole
    assert len(harness.gateway.sent) == 2
