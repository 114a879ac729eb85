"""Outbox of charges: copies, draining, and memory during an hour's outage."""

import time

import anyio
import pytest

from laurelwind.coordination.outbox import (
    CHARGES_LIMIT,
    Outbox,
    OutboxDependencies,
    _StoredBatch,
)
from laurelwind.coordination.roster import LocalStateSources, Roster
from laurelwind.errors import ErrorKind, PeerError
from laurelwind.protocol.messages import ChargesForget, ChargesKeep, Done
from laurelwind.protocol.peer_network import PeerNetwork
from laurelwind.state.identity import create_identifier
from laurelwind.state.members import Member
from laurelwind.state.records import (
    Charge,
    ChargeLine,
    ChargesRecord,
    StepResult,
)

pytestmark = pytest.mark.anyio

BUDGET_BYTES = 64_000_000
IDLE_BYTES = 48_000_000
CHARGES_PER_BATCH = 12


class FakePeers(PeerNetwork):
    """Peers that acknowledge every message unless marked unresponsive."""

    def __init__(self):
        self.requests = []
        self.unresponsive = set()

    async def send_request(self, address, message, timeout_s):
        self.requests.append((address, message))
        if address in self.unresponsive:
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, 'silent')
        return Done()

    def register_handlers(self, handlers):
        raise NotImplementedError


def build_member(name):
    return Member(
        name=name,
        zone=name[0],
        caller_address='127.0.0.1:1',
        peer_address=name,
        incarnation=1,
    )


def build_batch(count=CHARGES_PER_BATCH):
    line = ChargeLine(
        reference='drafter@small-1',
        prompt_tokens=412,
        completion_tokens=268,
        amount=95,
        ended=StepResult.DELIVERED,
    )
    charges = tuple(
        Charge(
            request_id=create_identifier(),
            workspace='kandyan-lanka',
            charged_at=time.time(),
            lines=(line,),
        )
        for _ in range(count)
    )
    return ChargesRecord(batch_id=create_identifier(), charges=charges)


class OutboxFixture:
    def __init__(self, names=('b1', 'c1', 'b2')):
        self.appended = []
        self.is_down = True
        self.peers = FakePeers()
        self.roster = Roster(
            local_member=build_member('a0'),
            state=LocalStateSources(read_load=int, read_configuration=int),
        )
        for name in names:
            self.roster.merge_member(build_member(name))
        self.outbox = Outbox(
            dependencies=OutboxDependencies(
                roster=self.roster, peers=self.peers, append=self.append
            )
        )

    async def append(self, batch):
        if not self.is_down:
            self.appended.append(batch)
        return not self.is_down


async def test_a_batch_is_copied_to_two_other_zones_and_drained_once():
    fixture = OutboxFixture()
    batch = build_batch()
    assert await fixture.outbox.replicate(batch)
    zones = {address[0] for address, _ in fixture.peers.requests}
    assert zones == {'b', 'c'}
    fixture.is_down = False
    await fixture.outbox.drain()
    await fixture.outbox.drain()
    assert fixture.appended == [batch]
    assert isinstance(fixture.peers.requests[-1][1], ChargesForget)
    assert fixture.outbox.is_empty


async def test_a_batch_is_not_durable_while_a_zone_does_not_answer():
    fixture = OutboxFixture()
    fixture.peers.unresponsive = {'c1'}
    assert not await fixture.outbox.replicate(build_batch())


async def test_a_copy_holder_appends_only_for_an_unusable_origin(monkeypatch):
    monkeypatch.setattr(
        'laurelwind.coordination.outbox._ORPHAN_TIMEOUT_S', 0.01
    )
    fixture = OutboxFixture()
    fixture.is_down = False
    handle_keep = fixture.outbox.get_handlers()[ChargesKeep]
    batch = build_batch()
    await handle_keep(ChargesKeep(batch=batch, origin='b1'))
    await anyio.sleep(0.05)
    await fixture.outbox.drain()
    assert not fixture.appended
    fixture.roster.suspect('b1')
    await fixture.outbox.drain()
    assert fixture.appended == [batch]


async def test_the_outbox_is_bounded(monkeypatch):
    monkeypatch.setattr('laurelwind.coordination.outbox.CHARGES_LIMIT', 20)
    fixture = OutboxFixture()
    handle_keep = fixture.outbox.get_handlers()[ChargesKeep]
    answers = [
        await handle_keep(ChargesKeep(batch=build_batch(), origin='b1'))
        for _ in range(3)
    ]
    assert [answer.is_safe for answer in answers] == [True, True, False]


def test_an_hour_of_charges_fits_the_memory_budget():
    charges_per_hour = 24 * 3600 * 3
    assert charges_per_hour < CHARGES_LIMIT
    stored_batches = [
        _StoredBatch.pack(build_batch(), 'b1') for _ in range(200)
    ]
    size = sum(len(batch.packed) + 200 for batch in stored_batches) / (
        200 * CHARGES_PER_BATCH
    )
    assert size * charges_per_hour < BUDGET_BYTES - IDLE_BYTES
