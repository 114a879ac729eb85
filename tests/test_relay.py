"""Guarantees of the relay to callers when endpoints fail."""

import contextlib
import random

import anyio
import pytest

from laurelwind.coordination.retries import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from laurelwind.errors import (
    CallerError,
    CapacityError,
    EndpointError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.state.routes import Workspace
from tests.relay_helpers import (
    EndpointScript,
    RelayHarness,
    build_broken_error,
    build_invalid_error,
    build_request,
    build_routing_table,
)

pytestmark = pytest.mark.anyio

REFUSED = EndpointScript(head=AnswerHead(status=503, did_not_run=True))
COMPLETE = EndpointScript(chunks=[b'whole'])


def events(first, last):
    return b''.join(
        b'id: %d\ndata: x%d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


@pytest.mark.parametrize('name', ['book', 'talk'])
async def test_a_request_that_may_have_run_is_never_retried(name):
    harness = RelayHarness(EndpointScript(head=build_broken_error()))
    with pytest.raises(EndpointError) as caught:
        await harness.serve(build_request(name))
    assert caught.value.status == 502
    assert len(harness.gateway.sent) == 1


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_a_refusal_status_without_declaration_is_not_passed_on(status):
    harness = RelayHarness(EndpointScript(head=AnswerHead(status=status)))
    with pytest.raises(EndpointError) as caught:
        await harness.serve(build_request('book'))
    assert caught.value.status == 502


# The connection was closed without an answer.
async def test_an_answer_with_an_unknown_status_is_not_passed_on():
    harness = RelayHarness(EndpointScript(head=AnswerHead(status=650)))
    with pytest.raises(EndpointError) as caught:
        await harness.serve(build_request('book'))
    assert caught.value.status == 502
    assert caught.value.run is RunState.RAN


async def test_a_request_that_did_not_run_is_sent_to_another_endpoint():
    harness = RelayHarness(REFUSED, COMPLETE)
    answer = await harness.serve(build_request('book'))
    assert answer.body == b'whole'
    first, second = harness.gateway.sent
    assert first.endpoint != second.endpoint


async def test_a_misdirected_request_is_retried():
    harness = RelayHarness(
        EndpointScript(head=AnswerHead(status=421)), COMPLETE
    )
    assert (await harness.serve(build_request('book'))).is_whole


async def test_a_refusal_by_all_endpoints_reports_not_run():
    harness = RelayHarness(REFUSED, REFUSED, REFUSED)
    with pytest.raises(CapacityError) as caught:
        await harness.serve(build_request('book'))
    assert caught.value.status == 503
    assert caught.value.run is RunState.NOT_RUN
    assert caught.value.retry_after_s


async def test_attempts_are_limited_by_the_route():
    harness = RelayHarness(
        *(EndpointScript(head=build_invalid_error()) for _ in range(4))
    )
    with pytest.raises(EndpointError):
        await harness.serve(build_request('look'))
    assert len(harness.gateway.sent) == 3


async def test_a_refused_connection_does_not_count_as_an_attempt():
    refused = EndpointScript(refuses_connection=True)
    harness = RelayHarness(refused, refused, COMPLETE)
    assert (await harness.serve(build_request('book'))).is_whole
    assert len(harness.gateway.sent) == 1


async def test_an_endpoint_that_failed_is_not_retried():
    harness = RelayHarness(
        *(EndpointScript(head=build_invalid_error()) for _ in range(3))
    )
    with pytest.raises(EndpointError):
        await harness.serve(build_request('look'))
    assert len({sent.endpoint for sent in harness.gateway.sent}) == 3


async def test_a_broken_stream_resumes_after_its_last_complete_event():
    truncated = EndpointScript(
        chunks=[events(1, 3) + b'id: 4\nda', build_broken_error()]
    )
    harness = RelayHarness(truncated, EndpointScript(chunks=[events(4, 6)]))
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 6)
    assert answer.heads == 1
    assert harness.gateway.sent[1].last_event_id == '3'


async def test_a_stream_that_ends_within_an_event_resumes():
    harness = RelayHarness(
        EndpointScript(chunks=[events(1, 2) + b'id: 3\n']),
        EndpointScript(chunks=[events(3, 3)]),
    )
    assert (await harness.serve(build_request('draft'))).body == events(1, 3)


UNFRAMED = AnswerHead(status=200, is_framed=False)


async def test_a_stream_may_end_with_its_connection():
    harness = RelayHarness(EndpointScript(head=UNFRAMED, chunks=[events(1, 3)]))
    answer = await harness.serve(build_request('draft'))
    assert answer.is_whole
    assert answer.body == events(1, 3)


async def test_a_stream_that_ends_within_an_event_and_its_connection_resumes():
    harness = RelayHarness(
        EndpointScript(head=UNFRAMED, chunks=[events(1, 2) + b'id: 3\nda']),
        EndpointScript(head=UNFRAMED, chunks=[events(3, 4)]),
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.body == events(1, 4)
    assert harness.gateway.sent[1].last_event_id == '2'


# A resumed stream whose endpoint crashed at once was taken for complete.
async def test_a_resumed_stream_that_ends_before_its_first_event_goes_on():
    harness = RelayHarness(
        EndpointScript(chunks=[events(1, 2), build_broken_error()]),
        EndpointScript(head=UNFRAMED),
        EndpointScript(chunks=[events(3, 4)]),
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.is_whole
    assert answer.body == events(1, 4)


async def test_a_framed_stream_may_have_no_event_behind_the_last_one():
    harness = RelayHarness(
        EndpointScript(chunks=[events(1, 2), build_broken_error()]),
        EndpointScript(),
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.is_whole
    assert answer.body == events(1, 2)
    resumed = RelayHarness(EndpointScript())
    answer = await resumed.serve(build_request('draft', last_event_id='2'))
    assert answer.is_whole
    assert not answer.body


async def test_a_stream_that_cannot_resume_fails():
    harness = RelayHarness(
        EndpointScript(chunks=[events(1, 3), build_broken_error()])
    )
    with pytest.raises(EndpointError):
        await harness.serve(build_request('talk'))
    assert len(harness.gateway.sent) == 1


async def test_the_last_event_id_of_the_caller_is_passed_on():
    harness = RelayHarness(EndpointScript(chunks=[events(8, 9)]))
    await harness.serve(build_request('draft', last_event_id='7'))
    assert harness.gateway.sent[0].last_event_id == '7'


async def test_an_answer_of_low_confidence_is_escalated():
    low_confidence = EndpointScript(
        head=AnswerHead(status=200, confidence=20), chunks=[events(1, 2)]
    )
    harness = RelayHarness(
        low_confidence, EndpointScript(chunks=[events(1, 4)])
    )
    answer = await harness.serve(build_request('sized'))
    assert [sent.model for sent in harness.gateway.sent] == ['small', 'large']
    assert answer.body == events(1, 4)


async def test_an_answer_is_kept_when_no_time_is_left_for_a_larger_model():
    """The goal is 1 s; a larger model could not answer within 0.7 s."""
    low_confidence = EndpointScript(
        head=AnswerHead(status=200, confidence=20), chunks=[events(1, 2)]
    )
    harness = RelayHarness(low_confidence)
    answer = await harness.serve(build_request('sized', deadline_s=0.7))
    assert answer.body == events(1, 2)
    assert [sent.model for sent in harness.gateway.sent] == ['small']


async def test_no_refusal_claims_not_run_after_a_dropped_answer():
    """The small model ran, and then no endpoint is left for the large one."""
    low_confidence = EndpointScript(
        head=AnswerHead(status=200, confidence=20), chunks=[events(1, 2)]
    )
    refusal = EndpointScript(refuses_connection=True)
    harness = RelayHarness(low_confidence, refusal, refusal, refusal)
    with pytest.raises(EndpointError) as caught:
        await harness.serve(build_request('sized'))
    assert caught.value.run is not RunState.NOT_RUN


async def test_a_request_that_cannot_start_in_time_is_rejected_at_once():
    """Pattern: every queue is longer than the time that the caller has left."""
    harness = RelayHarness()
    for name in ('e1', 'e2', 'e3'):
        harness.placement.record_remote_work(name, 6.0)
    started_at = anyio.current_time()
    with pytest.raises(CapacityError) as caught:
        await harness.serve(build_request('draft', deadline_s=2.0))
    assert anyio.current_time() - started_at < 0.5
    assert caught.value.run is RunState.NOT_RUN
    assert not harness.gateway.sent
    # The queues have drained when the caller comes back.
    assert caught.value.retry_after_s > 5.5


async def test_an_answer_is_not_escalated_to_a_model_with_a_backlog():
    low_confidence = EndpointScript(
        head=AnswerHead(status=200, confidence=20), chunks=[events(1, 2)]
    )
    harness = RelayHarness(low_confidence)
    for name in ('e1', 'e2', 'e3'):
        harness.placement.record_remote_work(name, 1.5)
    await harness.serve(build_request('sized'))
    assert [sent.model for sent in harness.gateway.sent] == ['small']


async def test_no_answer_is_escalated_without_retry_budget():
    low_confidence = AnswerHead(status=200, confidence=1)
    harness = RelayHarness(
        EndpointScript(head=low_confidence, chunks=[events(1, 2)]),
        retry_ratio=0,
    )
    for _ in range(20):
        harness.retry_budget.record_retry('pool')
    await harness.serve(build_request('sized'))
    assert len(harness.gateway.sent) == 1


async def test_no_request_is_served_with_an_expired_lease():
    harness = RelayHarness(COMPLETE)
    harness.lease.duration_s = 0
    with pytest.raises(CapacityError) as caught:
        await harness.serve(build_request('book'))
    assert caught.value.kind is ErrorKind.NOT_READY
    assert not harness.gateway.sent


async def test_an_unknown_key_is_denied_only_with_a_confirmed_table():
    harness = RelayHarness()
    with pytest.raises(CallerError) as caught:
        await harness.serve(build_request('book', key='other'))
    assert caught.value.status == 401
    harness.tracker.is_newest = False
    with pytest.raises(CapacityError) as later:
        await harness.serve(build_request('book', key='other'))
    assert later.value.status == 503


async def test_a_key_that_was_just_added_is_accepted():
    harness = RelayHarness(COMPLETE)
    harness.tracker.next_table = build_routing_table(
        2, workspaces={'new-key': Workspace(name='benches')}
    )
    assert (await harness.serve(build_request('book', key='new-key'))).is_whole
    assert harness.gateway.sent[0].workspace == 'benches'


async def test_an_unknown_route_is_denied():
    with pytest.raises(CallerError) as caught:
        await RelayHarness().serve(build_request('nowhere'))
    assert caught.value.status == 404


async def test_a_silent_endpoint_is_cut_off_at_the_deadline():
    harness = RelayHarness(EndpointScript(head=None))
    with pytest.raises(EndpointError) as caught:
        await harness.serve(build_request('book', deadline_s=0.05))
    assert caught.value.status == 504
    assert harness.gateway.exchanges[0].is_closed


async def test_the_workspace_and_remaining_time_are_passed_on():
    harness = RelayHarness(COMPLETE)
    await harness.serve(build_request('book', deadline_s=0.5))
    sent = harness.gateway.sent[0]
    assert sent.workspace == 'forms'
    assert 0.3 < sent.deadline_s <= 0.5


async def test_a_failed_idempotent_call_is_retried():
    failed = EndpointScript(head=AnswerHead(status=500), chunks=[b'no'])
    harness = RelayHarness(failed, COMPLETE)
    assert (await harness.serve(build_request('look'))).body == b'whole'


async def test_the_failure_answer_of_an_endpoint_takes_precedence():
    failed = EndpointScript(head=AnswerHead(status=500), chunks=[b'no'])
    harness = RelayHarness(
        failed, EndpointScript(head=build_broken_error()), names=('e1', 'e2')
    )
    answer = await harness.serve(build_request('look'))
    assert (answer.status, answer.body) == (500, b'no')
    single = RelayHarness(failed, names=('e1',))
    assert (await single.serve(build_request('look'))).status == 500


async def test_a_failure_that_may_not_be_retried_is_passed_on():
    failed = EndpointScript(head=AnswerHead(status=500), chunks=[b'no'])
    answer = await RelayHarness(failed).serve(build_request('book'))
    assert answer.status == 500
    assert answer.body == b'no'


@pytest.mark.parametrize(('count', 'has_latency'), [(3, False), (12, True)])
async def test_a_stream_of_few_events_reports_no_latency(
    count, has_latency, monkeypatch
):
    harness = RelayHarness(EndpointScript(chunks=[events(1, count)]))
    outcomes = []
    monkeypatch.setattr(
        harness.rollouts,
        'record_outcome',
        lambda _, outcome: outcomes.append(outcome),
    )
    await harness.serve(build_request('draft'))
    assert (outcomes[0].latency.unit_s is not None) == has_latency


async def test_an_endpoint_that_answers_with_failures_is_avoided():
    failed = EndpointScript(head=AnswerHead(status=500), chunks=[b'no'])
    harness = RelayHarness(
        failed, COMPLETE, COMPLETE, COMPLETE, names=('e1', 'e2')
    )
    await harness.serve(build_request('book'))
    failed_endpoint = harness.gateway.sent[0].endpoint
    for _ in range(3):
        await harness.serve(build_request('book'))
    assert failed_endpoint not in {
        sent.endpoint for sent in harness.gateway.sent[1:]
    }


async def test_callers_refused_together_get_spread_retry_delays():
    """With a fixed delay, callers refused together would retry together."""
    random.seed(1)
    delays = []
    for _ in range(40):
        harness = RelayHarness(REFUSED, REFUSED, REFUSED)
        with pytest.raises(CapacityError) as caught:
            await harness.serve(build_request('book'))
        delays.append(caught.value.retry_after_s)
    width = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S
    quarters = {
        int((delay - MIN_RETRY_AFTER_S) / width * 4) for delay in delays
    }
    assert quarters == {0, 1, 2, 3}


@pytest.mark.parametrize(
    ('head', 'given_up', 'names', 'obstacle'),
    [
        (None, True, ('e1', 'e2'), None),
        (build_broken_error(), False, ('e1',), 'no_endpoint'),
    ],
)
async def test_a_failed_attempt_tells_who_ended_it_and_what_barred_a_move(
    head, given_up, names, obstacle, monkeypatch
):
    harness = RelayHarness(EndpointScript(head=head), COMPLETE, names=names)
    lines = []
    monkeypatch.setattr(
        harness.log, 'log_warning', lambda event, **line: lines.append(line)
    )
    monkeypatch.setattr(
        'laurelwind.coordination.answer_heads.PLAIN_FIRST_BYTE_RATIO', 0.1
    )
    with contextlib.suppress(EndpointError):
        await harness.serve(build_request('look'))
    assert lines[0]['given_up'] == given_up
    assert lines[0]['obstacle'] == obstacle
    assert (lines[0]['silent_s'] >= 0.1) == given_up
