"""Every way to a second attempt, on every kind of route.

A request that may run once has to run once, and one that may run again has to
take the way, so that the test cannot pass because a way leads nowhere.
"""

import anyio
import pytest

from laurelwind.coordination import silence_monitor
from laurelwind.coordination.scheduling.silence import SilenceTimeouts
from laurelwind.errors import (
    EndpointError,
    EndpointPausedError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.state.routes import RequestKind
from tests.relay_helpers import (
    LARGE,
    SMALL,
    EndpointScript,
    FakeGateway,
    RelayHarness,
    build_broken_error,
    build_invalid_error,
    build_request,
    build_route,
    build_routing_table,
)

pytestmark = pytest.mark.anyio

FIRST = b'id: 1\ndata: x1\n\n'
REST = b'id: 2\ndata: x2\n\n'
MODELS = {'models': (SMALL, LARGE)}
STREAMING = RequestKind.STREAMING
ROUTES = {
    'book': build_route('book', RequestKind.NON_IDEMPOTENT),
    'look': build_route('look', RequestKind.IDEMPOTENT),
    'talk': build_route('talk', STREAMING),
    'reply': build_route('reply', STREAMING, **MODELS),
    'draft': build_route('draft', STREAMING, is_resumable=True),
    'sized': build_route('sized', STREAMING, is_resumable=True, **MODELS),
}


class UnsureGateway(FakeGateway):
    """A gateway whose first sends fail in ways that a script cannot play."""

    def __init__(self, *errors):
        super().__init__([EndpointScript(chunks=[REST])] * 2)
        self.errors = list(errors)

    async def send(self, request, dispatch):
        exchange = await super().send(request, dispatch)
        if self.errors:
            exchange.is_closed = True
            raise self.errors.pop(0)
        return exchange


def build_unsure_send():
    error = build_broken_error(RunState.UNKNOWN)
    return RelayHarness(gateway=UnsureGateway(error))


def build_paused_send():
    error = EndpointPausedError(
        ErrorKind.ENDPOINT_FAILED, 'paused', run=RunState.NOT_RUN
    )
    return RelayHarness(gateway=UnsureGateway(error))


def build_fallback():
    """The only endpoint broke off its answer, and is the only one left."""
    return RelayHarness(
        EndpointScript(chunks=[FIRST, build_broken_error()]),
        EndpointScript(chunks=[REST]),
        names=('e1',),
    )


def play(**fields):
    return lambda: RelayHarness(
        EndpointScript(**fields), EndpointScript(chunks=[REST])
    )


PLAIN = ('book', 'look')
STREAMS = ('talk', 'reply', 'draft', 'sized')
ALL = PLAIN + STREAMS
# Ways on which the first attempt may have run, with the routes that have them.
WAYS = {
    'broken before the head': (play(head=build_broken_error()), ALL),
    'invalid answer': (play(head=build_invalid_error()), ALL),
    'unknown status': (play(head=AnswerHead(status=650)), ALL),
    'refusal without declaration': (play(head=AnswerHead(status=503)), ALL),
    'server error': (play(head=AnswerHead(status=500)), PLAIN),
    'body broken off': (play(chunks=[b'x', build_broken_error()]), PLAIN),
    'broken before an event': (play(chunks=[build_broken_error()]), STREAMS),
    'broken off': (play(chunks=[FIRST, build_broken_error()]), STREAMS),
    'cut within an event': (play(chunks=[FIRST + b'id']), STREAMS),
    'silent before the head': (play(head=None), ('look', 'draft', 'sized')),
    'silent between events': (play(chunks=[FIRST, None]), STREAMS),
    'low confidence': (
        play(head=AnswerHead(status=200, confidence=1), chunks=[FIRST]),
        ('reply', 'sized'),
    ),
    'sent in part': (build_unsure_send, ALL),
    'fallback': (build_fallback, STREAMS),
}
# Ways on which it was proved that the request has not run.
PROVED_WAYS = {
    'declared refusal': play(head=AnswerHead(status=503, did_not_run=True)),
    'misdirected': play(head=AnswerHead(status=421)),
    'paused': build_paused_send,
}


def list_cases():
    return [(way, name) for way, (_, names) in WAYS.items() for name in names]


@pytest.fixture(autouse=True)
def _shorten_silence(monkeypatch):
    monkeypatch.setattr(silence_monitor, 'REVIEW_INTERVAL_S', 0.02)
    monkeypatch.setattr(
        SilenceTimeouts, 'compute_timeout', lambda *_, **__: 0.05
    )
    monkeypatch.setattr(
        'laurelwind.coordination.answer_heads.PLAIN_FIRST_BYTE_RATIO', 0.05
    )
    monkeypatch.setattr(
        'laurelwind.coordination.delivery.GAP_TIMEOUT_RATIO', 0.03
    )


async def serve(harness, name):
    harness.tracker.table = build_routing_table(routes=tuple(ROUTES.values()))
    try:
        with anyio.fail_after(5):
            return await harness.serve(build_request(name, deadline_s=1.8))
    except LaurelwindError as error:
        return error


@pytest.mark.parametrize(('way', 'name'), list_cases())
async def test_only_what_may_be_repeated_runs_again(way, name):
    """A stream that may not be resumed ran again after a low confidence."""
    build, _ = WAYS[way]
    harness = build()
    outcome = await serve(harness, name)
    runs = len(harness.gateway.sent)
    if ROUTES[name].is_repeatable:
        assert runs == 2, outcome
    else:
        assert runs == 1, outcome
        if isinstance(outcome, LaurelwindError):
            assert outcome.run is not RunState.NOT_RUN


@pytest.mark.parametrize('way', PROVED_WAYS)
@pytest.mark.parametrize('name', ROUTES)
async def test_what_has_not_run_may_be_sent_again(way, name):
    harness = PROVED_WAYS[way]()
    outcome = await serve(harness, name)
    assert len(harness.gateway.sent) == 2, outcome
    assert outcome.status == 200


@pytest.mark.parametrize('name', ROUTES)
async def test_a_way_without_a_check_ends_before_it_sends(name, monkeypatch):
    """A new way to a second attempt must not depend on its own check."""
    harness = RelayHarness(*[EndpointScript(chunks=[REST])] * 2)
    delivery = harness.relay._dependencies.delivery

    async def ask_for_another_attempt(job, attempt, answer):
        return len(harness.gateway.sent) > 1

    monkeypatch.setattr(delivery, 'deliver', ask_for_another_attempt)
    outcome = await serve(harness, name)
    if ROUTES[name].is_repeatable:
        assert len(harness.gateway.sent) == 2
    else:
        assert len(harness.gateway.sent) == 1
        assert isinstance(outcome, EndpointError)
        assert outcome.run is not RunState.NOT_RUN


async def test_an_answer_without_event_ids_is_not_begun_again():
    harness = RelayHarness(
        EndpointScript(chunks=[b'data: x\n\n', build_broken_error()])
    )
    outcome = await serve(harness, 'draft')
    assert len(harness.gateway.sent) == 1
    assert isinstance(outcome, EndpointError)


async def test_a_long_answer_that_has_begun_is_not_begun_again():
    harness = RelayHarness(
        EndpointScript(chunks=[b'x' * 1_048_576, build_broken_error()])
    )
    outcome = await serve(harness, 'look')
    assert len(harness.gateway.sent) == 1
    assert isinstance(outcome, EndpointError)


async def test_a_stream_that_may_run_once_asks_the_largest_model():
    """An answer of low confidence could not be dropped for a better one."""
    harness = RelayHarness(EndpointScript(chunks=[FIRST + REST]))
    outcome = await serve(harness, 'reply')
    assert outcome.body == FIRST + REST
    assert [sent.model for sent in harness.gateway.sent] == ['large']


async def test_an_answer_of_low_confidence_is_delivered_if_it_may_not_rerun(
    monkeypatch,
):
    """The check holds even if two models were planned for such a route."""
    harness = RelayHarness(
        EndpointScript(
            head=AnswerHead(status=200, confidence=1), chunks=[FIRST + REST]
        )
    )
    monkeypatch.setattr(
        'laurelwind.coordination.model_planning.ModelPlanner.plan',
        lambda self, route: route.models,
    )
    outcome = await serve(harness, 'reply')
    assert outcome.body == FIRST + REST
    assert [sent.model for sent in harness.gateway.sent] == ['small']
