"""What a daemon believes, while its store is down, slow or forgetful."""

import anyio
import orjson
import pytest

from laurelwind.coordination import reading, statuses
from laurelwind.coordination import tracker as tracking
from laurelwind.coordination.rollouts import RolloutBook
from laurelwind.coordination.tracker import Tracker, TrackerParts
from laurelwind.coordination.verdicts import Outcome
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.protocol.keyed import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    KeyedStore,
    MemberGroup,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.directory import EndpointDirectory
from laurelwind.state.leases import FreshnessLease
from tests.helpers import wait_until
from tests.relay_helpers import quiet_log, record

pytestmark = pytest.mark.anyio


class FakeStore(KeyedStore):
    def __init__(self):
        self.records = {topic: [] for topic in Topic}
        self.first = dict.fromkeys(Topic, 0)
        self.is_down = False
        self.loses_writes = 0

    def put(self, topic, key, body):
        records = self.records[topic]
        raw = None if body is None else orjson.dumps(body)
        records.append(KeyedRecord(key=key, body=raw, offset=len(records)))

    async def read_newest(self, topic):
        self._check()
        newest = {found.key: found for found in self.records[topic]}
        rows = [found for found in newest.values() if found.body is not None]
        rows.sort(key=lambda found: found.offset)
        return Batch(records=rows, next_offset=len(self.records[topic]))

    async def read_after(self, topic, offset, *, wait_s=0, is_strict=False):
        self._check()
        if offset < self.first[topic]:
            raise HistoryLostError
        records = self.records[topic]
        with anyio.move_on_after(min(wait_s, 0.02)):
            while len(records) <= offset:
                await anyio.sleep(0.002)
        self._check()
        return Batch(records=records[offset:], next_offset=len(records))

    async def write(self, topic, key, body, *, expected_end=None):
        self._check()
        if self.loses_writes:
            self.loses_writes -= 1
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'no answer')
        records = self.records[topic]
        if expected_end is not None and expected_end != len(records):
            return False
        records.append(KeyedRecord(key=key, body=body, offset=len(records)))
        return True

    def _check(self):
        if self.is_down:
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'down')


class FakeGroup(MemberGroup):
    def __init__(self, members):
        self.members = members
        self.generation = 1
        self.has_left = False

    async def join(self):
        return self.generation

    async def list_members(self):
        return self.members

    async def leave(self):
        self.has_left = True


def member(name):
    return ListedInstance(
        name=name, zone='a', caller_address=name, peer_address=name
    )


def config(version, routes=()):
    return {'version': version, 'routes': list(routes), 'services': []}


def endpoint(sequence, **fields):
    return {
        'service': 'pool',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'sequence': sequence,
        'born': 1,
        **fields,
    }


class World:
    def __init__(self, store, *, name='d1', others=()):
        self.store = store
        self.lease = FreshnessLease(duration_s=0.3)
        self.directory = EndpointDirectory()
        log = quiet_log()
        self.rollouts = RolloutBook(daemon=name, exposure_share=0.1, log=log)
        own = member(name)
        self.group = FakeGroup([own, *others])
        self.tracker = Tracker(
            own=own,
            parts=TrackerParts(
                store=store,
                group=self.group,
                documents=PlatformDocuments(),
                lease=self.lease,
                directory=self.directory,
                rollouts=self.rollouts,
                log=log,
            ),
            denial_age_s=1.8,
        )

    @property
    def version(self):
        return self.tracker.table and self.tracker.table.version

    @property
    def names(self):
        return [found.name for found in self.directory.list_ready('pool')]


@pytest.fixture(autouse=True)
def _short_periods(monkeypatch):
    monkeypatch.setattr(statuses, 'STATUS_PERIOD_S', 0.02)
    monkeypatch.setattr(tracking, 'MEMBER_PERIOD_S', 0.02)
    monkeypatch.setattr(reading, 'MAX_BACKOFF_S', 0.05)
    monkeypatch.setattr(tracking, 'ENDPOINT_PAUSE_S', 0.01)


async def run(check, *, store=None):
    world = World(store or FakeStore())
    async with anyio.create_task_group() as group:
        world.tracker.start(group)
        await check(world, world.store)
        group.cancel_scope.cancel()


async def test_nothing_is_ready_before_the_first_table():
    async def check(world, store):
        await anyio.sleep(0.05)
        assert not world.tracker.is_ready
        store.put(Topic.OPERATORS, 'config', config(3))
        await wait_until(lambda: world.tracker.is_ready)

    await run(check)


async def test_a_table_never_goes_back():
    async def check(world, store):
        store.put(Topic.OPERATORS, 'config', config(7))
        await wait_until(lambda: world.version == 7)
        store.put(Topic.OPERATORS, 'config', config(5))
        store.put(Topic.OPERATORS, 'config', config(9))
        await wait_until(lambda: world.version == 9)
        store.put(Topic.OPERATORS, 'config', config(8))
        await anyio.sleep(0.05)
        assert world.version == 9

    await run(check)


async def test_a_table_that_cannot_be_read_ends_the_lease():
    async def check(world, store):
        store.put(Topic.OPERATORS, 'config', config(1))
        await wait_until(lambda: world.tracker.is_ready)
        store.put(Topic.OPERATORS, 'config', {'version': 2, 'routes': [{}]})
        await wait_until(lambda: not world.lease.is_valid)
        assert world.version == 1
        store.put(Topic.OPERATORS, 'config', config(3))
        await wait_until(lambda: world.tracker.is_ready)

    await run(check)


async def test_a_lost_history_is_made_up_from_the_newest_records():
    async def check(world, store):
        store.put(Topic.OPERATORS, 'config', config(1))
        store.put(Topic.ENDPOINTS, 'e1', endpoint(1))
        store.put(Topic.ENDPOINTS, 'e2', endpoint(1))
        await wait_until(lambda: world.names == ['e1', 'e2'])
        store.is_down = True
        store.put(Topic.OPERATORS, 'config', config(2))
        store.put(Topic.ENDPOINTS, 'e1', None)
        store.first = {
            topic: len(records) for topic, records in store.records.items()
        }
        store.is_down = False
        await wait_until(lambda: world.version == 2)
        await wait_until(lambda: world.names == ['e2'], seconds=4)

    await run(check)


async def test_the_lease_ends_with_the_store_and_comes_back_with_it():
    async def check(world, store):
        store.put(Topic.OPERATORS, 'config', config(1))
        await wait_until(lambda: world.tracker.is_ready)
        store.is_down = True
        await wait_until(lambda: not world.lease.is_valid)
        assert not world.tracker.is_ready
        store.is_down = False
        await wait_until(lambda: world.tracker.is_ready)

    await run(check)


async def test_an_unreadable_endpoint_harms_no_other():
    async def check(world, store):
        store.put(Topic.ENDPOINTS, 'e1', endpoint(1))
        store.put(Topic.ENDPOINTS, 'e3', {'service': 'pool'})
        store.put(Topic.ENDPOINTS, 'e4', endpoint(1, state='odd'))
        store.put(Topic.ENDPOINTS, 'e5', endpoint(1, slots='4'))
        store.put(Topic.ENDPOINTS, 'e6', endpoint(1))
        await wait_until(lambda: world.names == ['e1', 'e6'])

    await run(check)


async def test_a_removal_on_a_calm_day_counts_at_once():
    async def check(world, store):
        store.put(Topic.ENDPOINTS, 'e1', endpoint(1))
        await wait_until(lambda: world.names == ['e1'])
        store.put(Topic.ENDPOINTS, 'e1', None)
        await wait_until(lambda: world.names == [], seconds=0.5)

    await run(check)


async def test_a_removal_after_an_outage_has_time_but_not_too_much(
    monkeypatch,
):
    monkeypatch.setattr(tracking, 'LONGEST_HOLD_S', 0.15)

    async def check(world, store):
        store.put(Topic.ENDPOINTS, 'e1', endpoint(1))
        await wait_until(lambda: world.names == ['e1'])
        store.is_down = True
        await anyio.sleep(0.05)
        store.put(Topic.ENDPOINTS, 'e1', None)
        store.is_down = False
        await wait_until(lambda: world.directory.has_lapsed)
        assert world.names == ['e1']
        await wait_until(lambda: world.names == [], seconds=1)

    await run(check)


async def test_endpoints_that_change_one_by_one_cost_few_reads(monkeypatch):
    monkeypatch.setattr(tracking, 'ENDPOINT_PAUSE_S', 0.2)
    store = FakeStore()
    reads = []
    read_after = store.read_after

    async def count(topic, offset, **limits):
        if topic is Topic.ENDPOINTS:
            reads.append(offset)
        return await read_after(topic, offset, **limits)

    store.read_after = count

    async def check(world, store):
        await wait_until(lambda: world.tracker.has_endpoints)
        reads.clear()
        for number in range(40):
            store.put(Topic.ENDPOINTS, f'e{number:02}', endpoint(1))
            await anyio.sleep(0.005)
        await wait_until(lambda: len(world.names) == 40)
        assert len(reads) < 20

    await run(check, store=store)


async def test_a_status_is_written_by_one_and_only_once():
    store = FakeStore()
    store.put(
        Topic.OPERATORS,
        'rollout/pool',
        {'service': 'pool', 'target': 'v2', 'duration_s': 20},
    )
    worlds = [World(store, name=f'd{number}') for number in range(4)]
    store.loses_writes = 1
    async with anyio.create_task_group() as group:
        for world in worlds:
            world.tracker.start(group)
        await wait_until(lambda: store.records[Topic.STATUS])
        await anyio.sleep(0.2)
        group.cancel_scope.cancel()
    keys = [
        found.key
        for found in store.records[Topic.STATUS]
        if found.key == 'rollout/pool'
    ]
    assert len(keys) == 1


async def test_a_rejection_is_written_by_the_only_daemon_that_saw_it():
    async def check(world, store):
        order = {'service': 'pool', 'target': 'v2', 'duration_s': 20}
        store.put(Topic.OPERATORS, 'rollout/pool', order)
        await wait_until(lambda: world.rollouts.has_unsettled)
        new = record('n1', version='v2')
        for _ in range(3):
            world.rollouts.note_outcome(new, Outcome(route='r', failed=True))
        await wait_until(
            lambda: any(
                found.body and b'rolled_back' in found.body
                for found in store.records[Topic.STATUS]
            ),
            seconds=0.5,
        )

    await run(check)


async def test_a_denial_is_confirmed_by_one_read_for_many():
    async def check(world, store):
        store.put(Topic.OPERATORS, 'config', config(1))
        await wait_until(lambda: world.tracker.is_ready)
        assert await world.tracker.confirm()
        world.tracker.denial_age_s = -1
        store.put(Topic.OPERATORS, 'config', config(2))
        assert await world.tracker.confirm()
        assert world.version == 2
        store.is_down = True
        assert not await world.tracker.confirm()

    await run(check)


async def test_a_daemon_that_left_joins_no_more():
    async def check(world, store):
        await world.tracker.leave()
        assert world.group.has_left

    await run(check)


async def test_members_are_read_when_they_change():
    async def check(world, store):
        await wait_until(lambda: len(world.tracker.members) == 1)
        world.group.members.append(member('d0'))
        world.group.generation = 2
        await wait_until(lambda: len(world.tracker.members) == 2)
        assert world.tracker.members[0].name == 'd0'

    await run(check)
