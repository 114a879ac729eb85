"""A store that comes back from an older copy."""

import contextlib

import anyio
import pytest

from laurelwind.coordination.rollouts.order_history import OrderHistory
from laurelwind.errors import PlatformError
from laurelwind.platform.store import LogGroup, LogStore
from laurelwind.platform.store_client import StoreClient
from laurelwind.protocol.keyed_store import (
    HistoryLostError,
    KeyedRecord,
    Topic,
)
from laurelwind.protocol.positions import (
    Position,
    decode_position,
    encode_position,
)
from laurelwind.state.rollouts import RolloutState, RolloutStatus
from laurelwind.transport.server import HttpServer
from standins.store import StoreMode, StoreStandin
from tests.helpers import wait_until
from tests.test_tracker import (
    DaemonHarness,
    build_endpoint,
    build_member,
    build_table,
)

pytestmark = pytest.mark.anyio
# Time between a copy of the store and the writes around it, in seconds.
PAUSE_S = 0.02
ORDER = {'service': 'pool', 'target': 'v2', 'duration_s': 30}


class RestorableStore:
    """The stand-in of the store, and clients of it."""

    def __init__(self, standin, client):
        self.standin = standin
        self.client = client
        self.log = LogStore(client=client)
        self.copied_at = 0

    def put_table(self, version):
        self.standin.put('keyed.op', 'config', build_table(version))

    def put_endpoint(self, name, sequence, **fields):
        record = build_endpoint(sequence, **fields)
        self.standin.put('keyed.servers', name, record)

    async def copy(self):
        """Make the copy that a later restore brings back."""
        await anyio.sleep(PAUSE_S)
        self.copied_at = anyio.current_time()
        await anyio.sleep(PAUSE_S)

    def restore(self):
        self.standin.rewind(anyio.current_time() - self.copied_at)

    def read_status(self):
        return self.standin.read('keyed.status').get('rollout/pool', {})


@contextlib.asynccontextmanager
async def run_store():
    standin = StoreStandin()
    server = HttpServer(address='127.0.0.1:0')
    async with anyio.create_task_group() as group:
        await server.start(group, standin)
        client = StoreClient(address=server.address)
        yield RestorableStore(standin, client)
        await client.close()
        server.abort_connections()
        group.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run_daemon():
    async with run_store() as store, anyio.create_task_group() as group:
        harness = DaemonHarness(store.log)
        harness.lease.duration_s = 4.5
        harness.tracker.start(group)
        with anyio.fail_after(15):
            yield harness, store
        group.cancel_scope.cancel()


def test_positions_of_a_later_era_are_larger():
    last = Position(era=1, offset=9_000_000)
    first = Position(era=2)
    assert encode_position(last) < encode_position(first)
    assert decode_position(encode_position(last)) == last
    # The first era has the offsets of releases without eras.
    assert encode_position(Position(offset=17)) == 17


async def test_an_offset_that_is_given_out_again_is_not_mistaken():
    async with run_store() as store:
        for number in range(4):
            store.standin.put('keyed.op', f'k{number}', {'is': 'old'})
            await anyio.sleep(0.02)
        batch = await store.log.read_newest(Topic.OPERATORS)
        store.standin.rewind(0.05)
        for number in range(4, 9):
            store.standin.put('keyed.op', f'k{number}', {'is': 'new'})
        # The offset exists again, and the records before it were lost.
        with pytest.raises(HistoryLostError):
            await store.log.read_after(Topic.OPERATORS, batch.next_offset)
        with pytest.raises(HistoryLostError):
            await store.log.read_after(Topic.OPERATORS, batch.next_offset)
        newest = await store.log.read_newest(Topic.OPERATORS)
        assert {'k4', 'k8'} <= {record.key for record in newest.records}
        assert all(
            record.offset > batch.next_offset for record in newest.records
        )


async def test_a_conditional_write_fails_after_a_restore():
    async with run_store() as store:
        store.standin.put('keyed.status', 'a', {})
        batch = await store.log.read_newest(Topic.STATUS)
        store.standin.rewind(60)
        await store.log.read_newest(Topic.OPERATORS)
        store.standin.put('keyed.status', 'b', {})
        assert not await store.log.write(
            Topic.STATUS, 'c', b'{}', expected_end_offset=batch.next_offset
        )


async def test_an_answer_of_an_earlier_era_is_dropped():
    async with run_store() as store:
        store.standin.era = 4
        await store.log.read_newest(Topic.OPERATORS)
        store.standin.era = 3
        with pytest.raises(PlatformError, match='era 3'):
            await store.log.read_newest(Topic.OPERATORS)
        assert store.client.era == 4


async def test_a_refusal_tells_the_era_as_well():
    async with run_store() as store:
        store.standin.era = 2
        store.standin.mode = StoreMode.DOWN
        with pytest.raises(PlatformError):
            await store.log.read_newest(Topic.OPERATORS)
        assert store.client.era == 2


async def test_the_generation_of_the_group_rises_with_the_era():
    async with run_store() as store:
        group = LogGroup(client=store.client, local_member=build_member('d1'))
        before = await group.join()
        store.standin.rewind(60)
        assert await group.join() > before


async def test_a_routing_table_does_not_go_back():
    async with run_daemon() as (harness, store):
        store.put_table(3)
        await store.copy()
        store.put_table(5)
        await wait_until(lambda: harness.version == 5)
        store.restore()
        await wait_until(lambda: harness.tracker.era == 1)
        assert harness.version == 5
        assert harness.lease.is_valid
        store.put_table(5)
        store.put_table(6)
        await wait_until(lambda: harness.version == 6)


async def test_changes_are_read_after_the_store_gives_out_offsets_again():
    async with run_daemon() as (harness, store):
        store.put_table(1)
        store.put_endpoint('e1', 1)
        await store.copy()
        for sequence in range(2, 12):
            store.put_endpoint('e2', sequence)
        await wait_until(lambda: harness.ready_names == ['e1', 'e2'])
        store.restore()
        store.put_endpoint('e1', 2, state='draining')
        # More records than were lost, so the offset read last exists again.
        for sequence in range(2, 14):
            store.put_endpoint('e3', sequence)
        await wait_until(lambda: 'e3' in harness.ready_names)
        await wait_until(lambda: 'e1' not in harness.ready_names)


async def test_an_endpoint_that_left_does_not_come_back():
    async with run_daemon() as (harness, store):
        store.put_table(1)
        store.put_endpoint('e1', 1)
        store.put_endpoint('e2', 1)
        await store.copy()
        store.put_endpoint('e1', 2, state='draining')
        store.standin.put('keyed.servers', 'e2', None)
        await wait_until(lambda: not harness.ready_names)
        store.restore()
        await wait_until(lambda: harness.tracker.era == 1)
        # The older copy lists both as ready; this one is read after it.
        store.put_endpoint('e3', 1)
        await wait_until(lambda: harness.ready_names == ['e3'])


async def test_an_endpoint_that_the_copy_lacks_serves_until_it_is_back():
    async with run_daemon() as (harness, store):
        store.put_table(1)
        await store.copy()
        store.put_endpoint('e1', 4)
        await wait_until(lambda: harness.ready_names == ['e1'])
        store.restore()
        await wait_until(lambda: harness.directory.has_lapsed_records)
        assert harness.ready_names == ['e1']
        store.put_endpoint('e1', 4)
        await wait_until(lambda: not harness.directory.has_lapsed_records)
        assert harness.ready_names == ['e1']


async def test_a_lost_rollback_is_written_again_and_not_decided_anew():
    async with run_daemon() as (harness, store):
        store.put_table(1)
        store.standin.put('keyed.op', 'rollout/pool', ORDER)
        store.standin.put(
            'keyed.status',
            'rollout/pool',
            {'target': 'v2', 'state': 'active'},
        )
        await store.copy()
        store.standin.put(
            'keyed.status',
            'rollout/pool',
            {'target': 'v2', 'state': 'rolled_back'},
        )
        await wait_until(lambda: not harness.rollouts.has_unsettled)
        store.restore()
        assert store.read_status()['state'] == 'active'
        await wait_until(
            lambda: store.read_status().get('state') == 'rolled_back'
        )
        await wait_until(lambda: not harness.rollouts.has_unsettled)
        endpoints = harness.rollouts.filter_endpoints('pool', 's', ())
        assert not endpoints


async def test_two_restores_in_a_row_are_followed():
    async with run_daemon() as (harness, store):
        store.put_table(1)
        await wait_until(lambda: harness.version == 1)
        store.standin.rewind(60)
        store.standin.rewind(60)
        await wait_until(lambda: harness.tracker.era == 2)
        assert harness.version == 1
        store.put_table(2)
        await wait_until(lambda: harness.version == 2)


def test_a_replaced_order_of_an_older_copy_is_ignored():
    history = OrderHistory()

    def accept(body, era, offset):
        position = encode_position(Position(era=era, offset=offset))
        record = KeyedRecord(key='rollout/pool', body=body, offset=position)
        return history.accept(record, body)

    assert accept(b'v2', 0, 1)
    assert accept(b'v3', 0, 2)
    # An operator may return to an order in the same era.
    assert accept(b'v2', 0, 3)
    assert accept(b'v3', 0, 4)
    assert not accept(b'v2', 1, 1)
    assert accept(b'v3', 1, 2)
    assert accept(b'v4', 1, 3)


async def test_a_final_status_is_not_reverted():
    async with run_daemon() as (harness, _):
        rollouts = harness.rollouts
        final = RolloutStatus(target='v2', state=RolloutState.ROLLED_BACK)
        rollouts.apply_status('pool', final)
        rollouts.apply_status(
            'pool', RolloutStatus(target='v2', state=RolloutState.ACTIVE)
        )
        assert rollouts._statuses['pool'] == final
