"""How long load decisions stay active."""

import pytest

from laurelwind.coordination.shedding.load_decisions import (
    ACTIVE_TTL_S,
    LoadDecisions,
)
from laurelwind.protocol.exchanges import AnswerHead, LoadReport
from tests.relay_helpers import EndpointScript, RelayHarness, build_request
from tests.test_load_decisions import build_forecast, build_load_request


def test_decisions_end_with_the_reports_of_a_pace():
    """Load: endpoints report their pace, and then do no longer.

    Guards against delays of an outage for callers of services that are to be
    served as before.
    """
    decisions = LoadDecisions()
    request = build_load_request()
    decisions.review(request, None, 100.0)
    assert not decisions.is_active(100.0)
    decisions.review(request, build_forecast(), 100.0)
    assert decisions.is_active(130.0)
    assert not decisions.is_active(100.0 + ACTIVE_TTL_S + 1)


@pytest.mark.anyio
@pytest.mark.parametrize('tokens', [0, 100])
async def test_reports_count_only_for_requests_with_a_prompt(tokens):
    """Bookings followed reports that had changed before they arrived."""
    load = LoadReport(running=1, waiting=0, slots=6, slowdown=1.5)
    harness = RelayHarness(
        EndpointScript(head=AnswerHead(status=200, load=load), chunks=[b'a'])
    )
    await harness.serve(build_request('look', prompt_tokens=tokens))
    assert harness.placement.is_paced('pool') is bool(tokens)
