"""Requests that return to the endpoint that they left."""

import pytest

from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.state.routes import RequestKind
from tests.relay_helpers import (
    EndpointScript,
    RelayHarness,
    build_request,
    build_route,
    build_routing_table,
)

pytestmark = pytest.mark.anyio


# Guards against requests that fail as the endpoint asked next refuses them.
@pytest.mark.parametrize('name', ['look', 'draft'])
async def test_a_refused_move_returns_before_the_answer_has_begun(name):
    refusal = EndpointScript(head=AnswerHead(status=503, did_not_run=True))
    complete = EndpointScript(chunks=[b'id: 1\ndata: x\n\n'])
    harness = RelayHarness(
        EndpointScript(head=None), refusal, complete, names=('e1', 'e2')
    )
    limits = {'timeout_s': 5.0, 'latency_goal_s': 0.1, 'max_attempts': 2}
    harness.tracker.table = build_routing_table(
        routes=(
            build_route('look', RequestKind.IDEMPOTENT, **limits),
            build_route(
                'draft', RequestKind.STREAMING, is_resumable=True, **limits
            ),
        )
    )
    assert (await harness.serve(build_request(name))).is_whole
    first, second, third = (sent.endpoint for sent in harness.gateway.sent)
    assert first == third != second
