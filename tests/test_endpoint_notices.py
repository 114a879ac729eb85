"""What endpoints tell in answers: that they leave, or need a pause."""

import contextlib
from collections import Counter

import anyio
import pytest

from laurelwind.coordination.endpoint_notices import MAX_PAUSE_S, parse_pause
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
)
from laurelwind.errors import CapacityError, EndpointPausedError, RunState
from laurelwind.platform.headers import PLATFORM_HEADERS
from laurelwind.protocol.exchanges import AnswerHead, Dispatch
from laurelwind.protocol.headers import NamedHeaderCodec
from laurelwind.state.directory import MAX_LEAVING, EndpointDirectory
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rate_limits import LimitStatement
from laurelwind.transport.gateway import HttpGateway
from tests.relay_helpers import (
    EndpointScript,
    RelayHarness,
    build_endpoint_record,
    build_request,
    patch_placement_clock,
)

pytestmark = pytest.mark.anyio
CODEC = NamedHeaderCodec(names=PLATFORM_HEADERS)
PAUSE_S = 7.5
COMPLETE = EndpointScript(chunks=[b'whole'])
LEAVING = EndpointScript(
    head=AnswerHead(status=200, is_leaving=True), chunks=[b'whole']
)
PAUSED = EndpointScript(
    head=AnswerHead(status=503, did_not_run=True, retry_after=str(PAUSE_S))
)


def test_the_codec_reads_notices_of_endpoints():
    leaving = CODEC.decode_answer_head(200, [(b'Server-Leaving', b'1')])
    assert leaving.is_leaving
    assert not CODEC.decode_answer_head(200, ()).is_leaving
    paused = CODEC.decode_answer_head(503, [(b'Retry-After', b'2.5')])
    assert paused.retry_after == '2.5'
    # Other statuses say nothing about further requests.
    other = CODEC.decode_answer_head(202, [(b'Retry-After', b'2.5')])
    assert not other.retry_after


@pytest.mark.parametrize(
    ('text', 'pause_s'),
    [
        ('2.5', 2.5),
        ('0', 0),
        ('-3', 0),
        ('1e9', MAX_PAUSE_S),
        ('inf', MAX_PAUSE_S),
        ('nan', 0),
        ('Fri, 04 Dec 2026 07:00:00 GMT', 0),
        ('soon', 0),
    ],
)
def test_pauses_are_bounded_and_other_values_ignored(text, pause_s):
    assert parse_pause(text) == pause_s


@pytest.mark.parametrize(
    'script',
    [
        LEAVING,
        EndpointScript(
            head=AnswerHead(status=500, is_leaving=True), chunks=[b'no']
        ),
        EndpointScript(
            head=AnswerHead(status=503, did_not_run=True, is_leaving=True)
        ),
    ],
)
async def test_an_endpoint_that_says_it_leaves_gets_no_further_request(script):
    harness = RelayHarness(script)
    for _ in range(12):
        await harness.serve(build_request('look'))
    names = [dispatch.endpoint for dispatch in harness.gateway.sent]
    assert names[0] not in names[1:]
    assert harness.leaving == [(names[0], 1)]


async def test_a_stream_goes_on_at_an_endpoint_that_leaves():
    events = b'id: 1\ndata: x\n\n'
    harness = RelayHarness(
        EndpointScript(
            head=AnswerHead(status=200, is_leaving=True),
            chunks=[events, events.replace(b'1', b'2')],
        )
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.is_whole
    assert len(harness.gateway.sent) == 1


def test_an_outdated_list_does_not_bring_a_leaving_endpoint_back():
    directory = EndpointDirectory()
    directory.record_leaving('e1', 5)
    directory.apply('e1', build_endpoint_record('e1', started_ms=5), offset=1)
    assert not directory.list_ready('pool')
    directory.apply(
        'e1', build_endpoint_record('e1', started_ms=5, sequence=9), offset=2
    )
    assert not directory.list_ready('pool')


def test_a_restarted_endpoint_does_not_inherit_the_notice():
    directory = EndpointDirectory()
    record = build_endpoint_record('e1', started_ms=5)
    directory.apply('e1', record, offset=1)
    assert directory.record_leaving('e1', 5)
    assert not directory.record_leaving('e1', 5)
    assert not directory.list_ready('pool')
    restarted = build_endpoint_record('e1', started_ms=6)
    directory.apply('e1', restarted, offset=2)
    assert directory.list_ready('pool') == [restarted]
    # A late notice of a peer is about the process before.
    assert not directory.record_leaving('e1', 5)
    assert directory.list_ready('pool') == [restarted]


# Names that only datagrams of peers gave were kept for ever.
def test_notes_of_leaving_endpoints_are_bounded():
    directory = EndpointDirectory()
    for number in range(MAX_LEAVING + 1):
        assert directory.record_leaving(f'e{number}', 1)
    assert not directory.record_leaving(f'e{MAX_LEAVING}', 1)
    assert directory.record_leaving('e0', 1)


async def test_an_endpoint_that_asks_for_a_pause_gets_no_further_request():
    harness = RelayHarness(PAUSED)
    for _ in range(12):
        await harness.serve(build_request('look'))
    names = [dispatch.endpoint for dispatch in harness.gateway.sent]
    assert names[0] not in names[1:]


async def test_callers_are_told_when_the_first_endpoint_returns():
    harness = RelayHarness(PAUSED, PAUSED, names=('e1', 'e2'))
    with pytest.raises(CapacityError) as caught:
        await harness.serve(build_request('book'))
    assert caught.value.status == 503
    assert caught.value.run is RunState.NOT_RUN
    with pytest.raises(CapacityError) as caught:
        await harness.serve(build_request('book'))
    assert PAUSE_S < caught.value.retry_after_s < PAUSE_S + 2
    assert len(harness.gateway.sent) == 2


# The answer was dropped for one that no endpoint could give, and became 502.
async def test_an_answer_is_kept_while_all_endpoints_are_paused():
    harness = RelayHarness(
        EndpointScript(
            head=AnswerHead(status=200, confidence=20),
            chunks=[b'id: 1\ndata: x\n\n'],
        ),
        names=('e1',),
    )
    real_send = harness.gateway.send

    async def pause_after(request, dispatch):
        exchange = await real_send(request, dispatch)
        harness.placement.record_pause(build_endpoint_record('e1'), PAUSE_S)
        return exchange

    harness.gateway.send = pause_after
    assert (await harness.serve(build_request('sized'))).is_whole


async def test_a_request_that_waits_for_a_connection_respects_the_pause():
    accepted = []

    async def accept(stream):
        async with stream:
            with anyio.move_on_after(1):
                accepted.append(await stream.receive())

    gateway = HttpGateway(codec=CODEC)
    async with anyio.create_task_group() as group:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        group.start_soon(listener.serve, accept)
        host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
        with pytest.raises(EndpointPausedError) as caught:
            await gateway.send(
                build_request('book'),
                Dispatch(
                    address=f'{host}:{port}',
                    endpoint='e1',
                    workspace='',
                    deadline_s=1,
                    accepts_requests=lambda: False,
                ),
            )
        await gateway.close()
        group.cancel_scope.cancel()
    assert caught.value.run is RunState.NOT_RUN
    assert not accepted


async def test_a_pause_before_sending_is_no_fault_and_no_attempt():
    harness = RelayHarness(COMPLETE, COMPLETE)
    real_send = harness.gateway.send

    async def pause_first(request, dispatch):
        if not harness.gateway.sent and not paused:
            paused.append(dispatch.endpoint)
            record = build_endpoint_record(dispatch.endpoint)
            harness.placement.record_pause(record, PAUSE_S)
            assert not dispatch.accepts_requests()
            raise EndpointPausedError(
                'endpoint_failed', 'paused', run=RunState.NOT_RUN
            )
        return await real_send(request, dispatch)

    paused = []
    harness.gateway.send = pause_first
    assert (await harness.serve(build_request('book'))).is_whole
    assert len(harness.gateway.sent) == 1
    assert harness.gateway.sent[0].endpoint != paused[0]


def test_requests_return_gradually_after_a_pause(monkeypatch):
    now = [100.0]
    patch_placement_clock(monkeypatch, lambda: now[0])
    endpoints = [build_endpoint_record(name) for name in ('e1', 'e2')]
    placer = Placement(zone='a')
    placer.record_pause(endpoints[0], 4.0)
    placer.record_pause(endpoints[0], 1.0)

    def estimate_cost():
        return placer.estimate_wait(endpoints[:1], PlacementRequirements())

    now[0] = 103.9
    assert placer.choose(endpoints[:1], PlacementRequirements()) is None
    now[0] = 104.1
    early = estimate_cost()
    now[0] = 106.0
    half = estimate_cost()
    now[0] = 108.1
    assert early > half > estimate_cost() == 0


# Each daemon sent as many requests as before a limit was stated.
async def test_a_daemon_keeps_the_rate_limit_that_an_endpoint_states():
    limited = EndpointScript(
        head=AnswerHead(status=200, rate_limits=('2',)), chunks=[b'whole']
    )
    harness = RelayHarness(*[limited] * 60, names=('e1', 'e2'))
    for _ in range(60):
        with contextlib.suppress(CapacityError):
            await harness.serve(build_request('look', parts=()))
    names = Counter(dispatch.endpoint for dispatch in harness.gateway.sent)
    assert set(names) == {'e1', 'e2'}
    assert max(names.values()) <= 2 * 4 * 1.5 + 5


# A request was rejected, as the only endpoint stated a limit meanwhile.
async def test_a_limit_stated_before_sending_costs_a_permit_and_no_rejection():
    harness = RelayHarness(COMPLETE, names=('e1',))
    real_send = harness.gateway.send
    checks = []

    async def state_limit_first(request, dispatch):
        if not checks:
            now = read_monotonic_clock()
            harness.permits.limits.apply(
                ('e1', 1), LimitStatement(rate=2, sent_at=now, stated_at=now)
            )
        checks.append(dispatch.accepts_requests())
        if not checks[-1]:
            raise EndpointPausedError(
                'endpoint_failed', 'limited', run=RunState.NOT_RUN
            )
        return await real_send(request, dispatch)

    harness.gateway.send = state_limit_first
    assert (await harness.serve(build_request('book'))).is_whole
    assert checks == [False, True]
