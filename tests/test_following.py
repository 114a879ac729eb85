"""Daemons that read topics from one another instead of from the store.

Answers the load of a large fleet on its store: dozens of daemons a zone,
each of which must know within two seconds what changed.
"""

import contextlib
import math

import anyio
import httpcore
import pytest
from hypothesis import given
from hypothesis import strategies as st

from laurelwind.coordination import following
from laurelwind.coordination.copies import MOST_AGE_S, TopicCopy
from laurelwind.coordination.following import FollowingStore, find_source
from laurelwind.coordination.reading import TopicReader
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.copies import decode_batch, encode_batch
from laurelwind.protocol.keyed import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    KeyedStore,
    PeerTopics,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.leases import read_boot_clock
from laurelwind.transport.server import HttpServer
from laurelwind.transport.topics import HttpPeerTopics, TopicApplication
from tests.relay_helpers import quiet_log

pytestmark = pytest.mark.anyio


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class CountingStore(KeyedStore):
    """A topic in memory that counts who reads it."""

    def __init__(self):
        self.records = []
        self.reads = 0
        self.waits = []
        self.is_down = False

    def put(self, key, body):
        self.records.append(
            KeyedRecord(key=key, body=body, offset=len(self.records))
        )

    async def read_newest(self, topic):
        self.reads += 1
        newest = {found.key: found for found in self.records}
        rows = [found for found in newest.values() if found.body is not None]
        return Batch(records=rows, next_offset=len(self.records))

    async def read_after(self, topic, offset, *, wait_s=0, is_strict=False):
        self.reads += 1
        self.waits.append(wait_s)
        if self.is_down:
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'down')
        await anyio.sleep(0)
        return Batch(
            records=self.records[offset:], next_offset=len(self.records)
        )

    async def write(self, topic, key, body, *, expected_end=None):
        self.put(key, body)
        return True


class DirectPeers(PeerTopics):
    """Other daemons' copies, without any network."""

    def __init__(self):
        self.copies = {}
        self.is_cut = False

    async def read_after(self, peer, topic, offset, *, wait_s):
        if self.is_cut:
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'cut')
        batch = await self.copies[peer].read_after(offset, wait_s=wait_s)
        return decode_batch(encode_batch(batch))


def member(number, zone='a'):
    name = f'd{number:02}:1'
    return ListedInstance(
        name=name, zone=zone, caller_address=name, peer_address=name
    )


def fleet(size, zone='a'):
    return [member(number, zone) for number in range(size)]


class Reader:
    """One daemon that reads a topic."""

    def __init__(self, own, members, store, peers, clock):
        self.copy = TopicCopy(clock=clock)
        peers.copies[own.peer_address] = self.copy
        self.store = store
        self.reader = TopicReader(
            store=FollowingStore(
                own=own,
                store=store,
                peers=peers,
                list_members=lambda: members,
                log=quiet_log(),
            ),
            topic=Topic.OPERATORS,
            copy=self.copy,
            clock=clock,
        )


def put_all(stores, key, body):
    for store in stores:
        store.put(key, body)


def test_small_zones_read_the_store_themselves():
    members = fleet(following.LEAST_ZONE - 1) + fleet(20, zone='b')
    assert find_source(members[0], members) is None


@given(size=st.integers(min_value=following.LEAST_ZONE, max_value=120))
def test_few_daemons_of_a_zone_read_for_all_the_others(size):
    members = fleet(size)
    chosen = [find_source(one, members) for one in members]
    sources = set(chosen)
    assert len(sources) == math.ceil(size / (following.FOLLOWERS + 1))
    assert all(find_source(one, members) == one for one in sources)
    most = max(chosen.count(one) for one in sources)
    assert most <= following.FOLLOWERS + 1


async def test_reads_of_the_store_do_not_grow_with_a_zone():
    clock, peers, members = Clock(), DirectPeers(), fleet(32)
    stores = [CountingStore() for _ in members]
    readers = [
        Reader(own, members, store, peers, clock)
        for own, store in zip(members, stores, strict=True)
    ]
    for one in readers:
        await one.reader.read()
    for version in range(5):
        put_all(stores, 'table', b'%d' % version)
        for one in readers:
            batch = await one.reader.read(wait_s=1.0)
            assert [found.body for found in batch.records] == [b'%d' % version]
    counts = sorted(store.reads for store in stores)
    # Each reads all once when it starts; then two of them go on reading.
    assert counts == [1] * 30 + [6, 6]


async def test_readers_for_others_wait_shortly():
    clock, peers, members = Clock(), DirectPeers(), fleet(8)
    one = Reader(members[0], members, CountingStore(), peers, clock)
    await one.reader.read()
    await one.reader.read(wait_s=2.5)
    assert one.store.waits == [following.SOURCE_WAIT_S]


@given(
    source_reads=st.floats(min_value=0, max_value=1),
    is_asked=st.floats(min_value=0, max_value=1),
    answers=st.floats(min_value=0, max_value=1),
)
def test_a_copy_is_never_taken_for_newer_than_it_is(
    source_reads, is_asked, answers
):
    """Whatever the delays of question and answer, its age is not too low."""

    async def play():
        clock = Clock()
        copy = TopicCopy(clock=clock)
        read_at = clock.now
        clock.now += source_reads
        copy.take(
            Batch(records=(), next_offset=3), is_whole=True, as_of=read_at
        )
        begun_at = clock.now
        clock.now += is_asked
        try:
            batch = await copy.read_after(3, wait_s=0)
        except PlatformError:
            assert clock.now - read_at > MOST_AGE_S
            return
        clock.now += answers
        assert begun_at - batch.lag_s <= read_at + 1e-9

    anyio.run(play)


async def test_a_read_that_was_held_open_is_as_new_as_its_answer():
    clock = Clock()
    copy = TopicCopy(clock=clock)
    copy.take(Batch(records=(), next_offset=0), is_whole=True, as_of=clock.now)
    begun_at = clock.now
    found = []

    async def follow():
        found.append(await copy.read_after(0, wait_s=1.0))

    async with anyio.create_task_group() as group:
        group.start_soon(follow)
        await anyio.wait_all_tasks_blocked()
        clock.now += 1.0
        record = KeyedRecord(key='k', body=b'1', offset=0)
        batch = Batch(records=(record,), next_offset=1)
        copy.take(batch, is_whole=False, as_of=clock.now - 0.25)
    assert found[0].records == [record]
    assert begun_at - found[0].lag_s == pytest.approx(begun_at + 0.75)


async def test_the_store_is_asked_where_a_copy_has_grown_old():
    clock, peers, members = Clock(), DirectPeers(), fleet(8)
    source = Reader(members[0], members, CountingStore(), peers, clock)
    follower = Reader(members[1], members, CountingStore(), peers, clock)
    await source.reader.read()
    await follower.reader.read()
    follower.store.put('table', b'1')
    clock.now += MOST_AGE_S + 0.01
    batch = await follower.reader.read(wait_s=1.0)
    assert [found.body for found in batch.records] == [b'1']
    # Time has gone by already, so the store was not asked to wait.
    assert follower.store.waits == [0]
    assert follower.reader.as_of == clock.now


async def test_a_daemon_that_does_not_answer_is_left_alone_for_a_while():
    clock, peers, members = Clock(), DirectPeers(), fleet(8)
    source = Reader(members[0], members, CountingStore(), peers, clock)
    follower = Reader(members[1], members, CountingStore(), peers, clock)
    await source.reader.read()
    await follower.reader.read()
    peers.is_cut = True
    await follower.reader.read(wait_s=1.0)
    peers.is_cut = False
    await follower.reader.read(wait_s=1.0)
    assert follower.store.waits == [0, 1.0]


async def test_a_store_in_trouble_does_not_hear_from_all(monkeypatch):
    """An outage under many daemons, each of which would try twice a second."""
    clock, peers, members = Clock(), DirectPeers(), fleet(20)
    monkeypatch.setattr(following, 'read_clock', clock)
    stores = [CountingStore() for _ in members]
    readers = [
        Reader(own, members, store, peers, clock)
        for own, store in zip(members, stores, strict=True)
    ]
    for one in readers:
        await one.reader.read()
    for store in stores:
        store.is_down, store.reads = True, 0
    clock.now += MOST_AGE_S + 0.1
    for _ in range(20):
        clock.now += 0.5
        for one in readers:
            with pytest.raises(PlatformError):
                await one.reader.read(wait_s=1.0)
    # The reader for the others goes on asking; they ask every three seconds.
    assert stores[0].reads == 20
    assert {store.reads for store in stores[1:]} == {4}
    # As soon as it has an answer, the others have one too.
    put_all(stores, 'table', b'1')
    stores[0].is_down = False
    for one in readers:
        assert (await one.reader.read(wait_s=1.0)).records


async def test_a_reader_that_is_gone_holds_nobody_back(monkeypatch):
    clock, peers, members = Clock(), DirectPeers(), fleet(8)
    monkeypatch.setattr(following, 'read_clock', clock)
    source = Reader(members[0], members, CountingStore(), peers, clock)
    follower = Reader(members[1], members, CountingStore(), peers, clock)
    await source.reader.read()
    await follower.reader.read()
    peers.is_cut = True
    follower.store.is_down = True
    with pytest.raises(PlatformError):
        await follower.reader.read(wait_s=1.0)
    follower.store.is_down = False
    clock.now += 0.1
    await follower.reader.read(wait_s=1.0)
    assert follower.store.waits == [0, 1.0]


async def test_dropped_keys_are_passed_on():
    clock = Clock()
    copy = TopicCopy(clock=clock)
    first = KeyedRecord(key='k', body=b'1', offset=0)
    copy.take(
        Batch(records=(first,), next_offset=1), is_whole=True, as_of=clock.now
    )
    dropped = KeyedRecord(key='k', body=None, offset=1)
    copy.take(
        Batch(records=(dropped,), next_offset=2),
        is_whole=False,
        as_of=clock.now,
    )
    batch = await copy.read_after(1, wait_s=0)
    assert batch.records == [dropped]
    assert batch.next_offset == 2


async def test_a_copy_that_may_miss_dropped_keys_is_not_read_on():
    clock = Clock()
    copy = TopicCopy(clock=clock)
    copy.take(Batch(records=(), next_offset=5), is_whole=True, as_of=clock.now)
    with pytest.raises(HistoryLostError):
        await copy.read_after(4, wait_s=0)


async def test_an_older_copy_does_not_take_a_reader_back():
    clock = Clock()
    copy = TopicCopy(clock=clock)
    copy.take(Batch(records=(), next_offset=5), is_whole=True, as_of=clock.now)
    batch = await copy.read_after(7, wait_s=0)
    assert batch.next_offset == 7
    assert not batch.records


def test_batches_of_another_form_are_refused():
    for text in (b'', b'[]', b'{"records":[[1]],"next_offset":1,"lag_ms":0}'):
        with pytest.raises(PlatformError):
            decode_batch(text)


async def test_what_must_be_the_newest_is_asked_of_the_store():
    clock, peers, members = Clock(), DirectPeers(), fleet(8)
    source = Reader(members[0], members, CountingStore(), peers, clock)
    follower = Reader(members[1], members, CountingStore(), peers, clock)
    await source.reader.read()
    await follower.reader.read()
    follower.store.put('table', b'1')
    assert not (await follower.reader.read(wait_s=0.01)).records
    assert (await follower.reader.read(is_strict=True)).records
    assert (await follower.reader.peek()).next_offset == 1


async def test_a_topic_that_is_read_rarely_is_still_of_use():
    clock = Clock()
    copy = TopicCopy(clock=clock, most_age_s=2.6)
    copy.take(Batch(records=(), next_offset=0), is_whole=True, as_of=clock.now)
    clock.now += 2.5
    batch = await copy.read_after(0, wait_s=0)
    assert batch.lag_s == pytest.approx(2.5)
    clock.now += 0.2
    with pytest.raises(PlatformError):
        await copy.read_after(0, wait_s=0)


@contextlib.asynccontextmanager
async def serving(copies):
    server = HttpServer(address='127.0.0.1:0')
    peers = HttpPeerTopics()
    async with anyio.create_task_group() as group:
        await server.start(group, TopicApplication(copies=copies))
        yield server.address, peers
        await peers.close()
        server.cut_off()
        group.cancel_scope.cancel()


async def test_copies_are_read_over_http():
    copies = {topic: TopicCopy() for topic in Topic}
    records = (
        KeyedRecord(key='k', body=b'\x00\xff', offset=4),
        KeyedRecord(key='gone', body=None, offset=5),
    )
    now = read_boot_clock()
    copies[Topic.ENDPOINTS].take(
        Batch(records=(), next_offset=4), is_whole=True, as_of=now
    )
    copies[Topic.ENDPOINTS].take(
        Batch(records=records, next_offset=6), is_whole=False, as_of=now
    )
    async with serving(copies) as (address, peers):
        batch = await peers.read_after(address, Topic.ENDPOINTS, 4, wait_s=1)
        assert batch.records == records
        assert batch.next_offset == 6
        assert batch.is_copy
        assert batch.lag_s >= 0
        with pytest.raises(HistoryLostError):
            await peers.read_after(address, Topic.ENDPOINTS, 3, wait_s=1)
        with pytest.raises(PlatformError):
            # Nothing has been read of this topic yet.
            await peers.read_after(address, Topic.STATUS, 0, wait_s=1)


async def test_a_daemon_that_froze_is_noticed_in_time():
    """It takes connections, and answers nothing."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    peers = HttpPeerTopics()
    with anyio.fail_after(10), pytest.raises(PlatformError):
        await peers.read_after(
            f'127.0.0.1:{port}', Topic.OPERATORS, 0, wait_s=0.05
        )
    await peers.close()
    await listener.aclose()


async def test_questions_of_another_form_are_refused():
    copies = {topic: TopicCopy() for topic in Topic}
    async with (
        serving(copies) as (address, _),
        httpcore.AsyncConnectionPool() as pool,
    ):
        for path in ('/topics/other?from=1', '/topics/status', '/'):
            found = await pool.request('GET', f'http://{address}{path}')
            assert found.status == 400
