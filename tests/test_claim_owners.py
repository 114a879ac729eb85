"""Partition owners and claim tables under crashes, lost and late appends."""

import anyio
import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from laurelwind.coordination.partition import PartitionOwner
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.metrics import Metrics
from laurelwind.protocol.messages import ClaimAsk, ClaimVerdict
from laurelwind.protocol.platform import Log, LogPage
from laurelwind.state.claims import ClaimTable
from laurelwind.state.records import (
    ClaimRecord,
    Entry,
    ReleaseRecord,
    dump_record,
    load_record,
)

OWNERS = (0, 1, 2)
KEYS = ('k0', 'k1', 'k2')


class MemoryLog(Log):
    """In-memory log with one stream; ``fault`` applies to the next append."""

    def __init__(self):
        self.records = []
        self.late_appends = []
        self.fault = ''

    async def append(self, stream, records):
        fault, self.fault = self.fault, ''
        raw = [dump_record(record) for record in records]
        if fault == 'down':
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'down')
        if fault == 'late':
            self.late_appends.append(raw)
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'late')
        first = len(self.records)
        self.records.extend(raw)
        if fault == 'lost':
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'lost')
        return first

    async def read(self, stream, offset, *, wait_s=0):
        entries = tuple(
            Entry(offset=position, record=load_record(self.records[position]))
            for position in range(offset, len(self.records))
        )
        return LogPage(
            entries=entries, earliest=0, next_offset=len(self.records)
        )

    def apply_late_append(self):
        if self.late_appends:
            self.records.extend(self.late_appends.pop(0))


class ClaimsMachine(RuleBasedStateMachine):
    """Owners that all act as the current owner of one partition."""

    @initialize()
    def set_up(self):
        self.log = MemoryLog()
        self.owners = [self.create_owner() for _ in OWNERS]
        self.granted = {}
        self.refused = set()
        self.request_count = 0

    def create_owner(self):
        return PartitionOwner(
            partition=0,
            name='owner',
            log=self.log,
            metrics=Metrics(),
            appends_per_s=1e9,
        )

    @rule(
        owner=st.sampled_from(OWNERS),
        key=st.sampled_from(KEYS),
        fault=st.sampled_from(('', '', '', 'down', 'lost', 'late')),
        should_release=st.booleans(),
    )
    def request_claim(self, owner, key, fault, should_release):
        self.request_count += 1
        request_id = f'r{self.request_count}'
        self.log.fault = fault
        answer = self.run(self.owners[owner], key, request_id)
        if answer.verdict is ClaimVerdict.GRANTED:
            self.granted.setdefault(key, set()).add(request_id)
            return
        self.refused.add(request_id)
        undecided = {ClaimVerdict.UNAVAILABLE, ClaimVerdict.SUPERSEDED}
        if answer.verdict in undecided and should_release:
            record = ReleaseRecord(key=key, request_id=request_id)
            self.log.records.append(dump_record(record))

    def run(self, owner, key, request_id):
        request = ClaimAsk(
            partition=0,
            key=key,
            idempotency_key=key,
            request_id=request_id,
            fingerprint='f',
        )

        async def claim():
            async with anyio.create_task_group() as group:
                group.start_soon(owner.run)
                answer = await owner.claim(request)
                group.cancel_scope.cancel()
            return answer

        return anyio.run(claim)

    @rule(owner=st.sampled_from(OWNERS))
    def crash(self, owner):
        self.owners[owner] = self.create_owner()

    @precondition(lambda self: self.log.late_appends)
    @rule()
    def apply_late_append(self):
        self.log.apply_late_append()

    @invariant()
    def each_key_runs_one_request(self):
        assert all(
            len(request_ids) == 1 for request_ids in self.granted.values()
        )

    @invariant()
    def every_reader_sees_the_granted_claims(self):
        table = ClaimTable()
        for position, raw in enumerate(self.log.records):
            table.apply(Entry(offset=position, record=load_record(raw)))
        for key, request_ids in self.granted.items():
            existing_claim = table.find(key)
            assert existing_claim is not None
            assert existing_claim.request_id in request_ids


ClaimsMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
TestClaims = ClaimsMachine.TestCase


def test_the_table_counts_void_claims():
    table = ClaimTable()
    record = ClaimRecord(
        epoch=7, key='k', request_id='r', fingerprint='f', claimed_at=1.0
    )
    table.apply(Entry(offset=0, record=record))
    assert table.find('k') is None
    assert table.invalid_claims == 1
