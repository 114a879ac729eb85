"""Answers that are buffered before they begin count as held bytes."""

from types import SimpleNamespace

import pytest

from laurelwind.coordination.plain_answers import (
    MAX_BUFFERED_BYTES,
    AnswerBuffers,
)
from laurelwind.errors import EndpointError
from laurelwind.protocol.exchanges import AnswerHead
from laurelwind.transport.limits.account import (
    CallerAccount,
    EndReason,
    HeldConnection,
)
from laurelwind.transport.limits.machine import MachineLimits
from tests.relay_helpers import (
    EndpointScript,
    FakeExchange,
    FakeGateway,
    RelayHarness,
    build_broken_error,
    build_request,
)

pytestmark = pytest.mark.anyio

LIMIT = 100


class HeldBody(HeldConnection):
    """A connection whose caller has stopped within a body."""

    address = ''
    is_unread = False
    waits_since = 0

    def __init__(self, account):
        self.account = account
        self.ends = []

    def count_held_bytes(self):
        return self.held_bytes

    def end(self, reason):
        self.ends.append(reason)
        self.account.remove(self)

    def parse_more(self):
        """Have nothing to parse."""


def build_account():
    limits = MachineLimits(held_bytes=LIMIT, connections=9)
    return CallerAccount(limits=limits)


async def read(account, chunks, *, needs_whole=False):
    """Read an answer; return it and the totals beside each of its chunks."""
    totals = []
    steps = []
    for chunk in chunks:
        steps.extend((lambda: totals.append(account.total_bytes), chunk))
    attempt = SimpleNamespace(
        exchange=FakeExchange(EndpointScript(chunks=steps))
    )
    buffers = AnswerBuffers(hold=account.hold_answer)
    answer = await buffers.read(attempt, needs_whole=needs_whole)
    assert account.total_bytes <= LIMIT
    return *answer, totals


async def test_buffered_bytes_count_until_the_answer_begins():
    """On 128 MB, 16 MB of buffered answers came on top of 48 MB."""
    account = build_account()
    chunks = [b'a' * 30] * 3
    assert await read(account, chunks) == (b'a' * 90, True, [0, 30, 60])
    assert account.total_bytes == 0


@pytest.mark.parametrize('needs_whole', [False, True])
async def test_an_answer_beyond_the_held_bytes_begins_early(needs_whole):
    """Callers that all wait for answers made the process hold any total."""
    account = build_account()
    chunks = [b'a' * 60] * 3
    body, is_whole, _ = await read(account, chunks, needs_whole=needs_whole)
    assert (body, is_whole) == (b'a' * 120, False)
    assert account.total_bytes == 0


async def test_a_stalled_body_is_ended_for_an_answer():
    """Callers that hold bytes for nothing took the retries of others."""
    account = build_account()
    stalled = HeldBody(account)
    account.add(stalled)
    account.hold(stalled, 80)
    chunks = [b'a' * 30] * 3
    assert (await read(account, chunks))[:2] == (b'a' * 90, True)
    assert stalled.ends == [EndReason.MEMORY]
    assert account.total_bytes == 0


async def test_a_part_of_a_failure_is_not_delivered_as_the_whole():
    """Of a failure that was too long to be buffered the caller got a part."""
    failure = EndpointScript(
        head=AnswerHead(status=500), chunks=[bytes(MAX_BUFFERED_BYTES), b'end']
    )
    broken = EndpointScript(head=build_broken_error())
    harness = RelayHarness(gateway=FakeGateway([failure, broken, broken]))
    with pytest.raises(EndpointError):
        await harness.serve(build_request('look'))
