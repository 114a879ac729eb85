"""Relay daemons as plain objects on an emulated clock, store and network.

Hundreds of daemons run their real readers of topics, members and statuses in
one event loop whose clock jumps to the next timer, so that a minute of a large
fleet takes seconds and repeats from its seed.
"""

import asyncio
import contextlib
import random
import selectors
from collections import Counter

import anyio
import orjson

from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.topics.budgets import TopicBounds, build_budgets
from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.platform.headers import PLATFORM_HEADERS
from laurelwind.platform.store import MEMBER_TTL_MS
from laurelwind.protocol.batches import decode_batch, encode_batch
from laurelwind.protocol.headers import NamedHeaderCodec
from laurelwind.protocol.keyed_store import (
    Batch,
    HistoryLostError,
    KeyedRecord,
    KeyedStore,
    MemberGroup,
    PeerTopics,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.protocol.positions import (
    Position,
    decode_position,
    encode_position,
)
from laurelwind.relay_tracking import (
    PlatformAdapters,
    TrackedState,
    build_tracking,
)
from laurelwind.state.directory import EndpointDirectory
from laurelwind.state.evacuated_zones import EvacuatedZones
from laurelwind.state.leases import FreshnessLease
from laurelwind.transport.topics import ANSWER_TIMEOUT_S
from tests.relay_helpers import build_silent_log

STORE_DELAY_S = 0.004
PEER_DELAY_S = 0.002
# A call that the store leaves open ends after the client's time-out.
HANGING_CALL_S = 1.0
# The store charges a renewal of a membership as a tenth of a call.
JOIN_PRICE = 0.1
LEASE_S = 4.5


class _JumpingSelector(selectors.SelectSelector):
    """Moves the emulated clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events:
            self.now += timeout or 0
        return events


class EmulatedLoop(asyncio.SelectorEventLoop):
    """Event loop on an emulated clock."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self):
        return self._jumping_selector.now


class _EmulatedTime:
    """Stands in for the module ``time`` where clocks are read."""

    CLOCK_BOOTTIME = 7

    def __init__(self, loop):
        self._loop = loop

    def monotonic(self):
        return self._loop.time()

    def clock_gettime(self, _clock):
        return self._loop.time()


def run_emulated(check, monkeypatch, seed=1):
    """Run a coroutine function on an emulated clock."""
    random.seed(seed)
    loop = EmulatedLoop()
    for module in ('laurelwind.state.load', 'laurelwind.state.leases'):
        monkeypatch.setattr(f'{module}.time', _EmulatedTime(loop))
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(check())


class EmulatedStore:
    """Topics and group of all daemons; counts their calls by kind."""

    def __init__(self):
        self.calls = Counter()
        self.era = 0
        self.is_down = False
        self.refused_daemons = set()
        self.unanswered_daemons = set()
        self.generation = 0
        self._member_expiry = {}
        self._members = {}
        self._records = {topic: [] for topic in Topic}
        self._appended = {topic: asyncio.Event() for topic in Topic}

    @property
    def price(self):
        """Number of calls, weighted as the store charges them."""
        return self.calls.total() - self.calls['join'] * (1 - JOIN_PRICE)

    def put(self, topic, key, document):
        body = None if document is None else orjson.dumps(document)
        self.append(topic, key, body)

    def append(self, topic, key, body):
        self._records[topic].append((key, body))
        self._appended[topic].set()
        self._appended[topic] = asyncio.Event()

    async def answer(self, kind, daemon):
        """Count a call, and fail it while the store is down."""
        self.calls[kind] += 1
        await anyio.sleep(STORE_DELAY_S)
        if daemon in self.unanswered_daemons:
            await anyio.sleep(HANGING_CALL_S)
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'no answer')
        if self.is_down or daemon in self.refused_daemons:
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'down')

    def get_end(self, topic):
        return self.encode_offset(len(self._records[topic]))

    def list_records(self, topic, first=0):
        return [
            KeyedRecord(key=key, body=body, offset=self.encode_offset(number))
            for number, (key, body) in enumerate(self._records[topic])
            if number >= first
        ]

    def encode_offset(self, offset):
        return encode_position(Position(era=self.era, offset=offset))

    def copy(self):
        """Return what a later restore brings back."""
        return {topic: len(rows) for topic, rows in self._records.items()}

    def restore(self, copy):
        self.era += 1
        for topic, count in copy.items():
            del self._records[topic][count:]
        self._member_expiry.clear()
        self.generation = 0

    async def wait_for_record(self, topic):
        await self._appended[topic].wait()

    def join(self, member):
        self._expire()
        if member not in self._member_expiry:
            self.generation += 1
        now = asyncio.get_running_loop().time()
        self._member_expiry[member] = now + MEMBER_TTL_MS / 1000
        return self.encode_offset(self.generation)

    def leave(self, member):
        if self._member_expiry.pop(member, None) is not None:
            self.generation += 1

    def list_members(self):
        self._expire()
        return list(self._member_expiry)

    def _expire(self):
        now = asyncio.get_running_loop().time()
        expired = [
            member
            for member, ends_at in self._member_expiry.items()
            if ends_at < now
        ]
        for member in expired:
            self.leave(member)


class _StoreClient(KeyedStore, MemberGroup):
    """The calls of one daemon."""

    def __init__(self, store, member):
        self._store = store
        self._member = member
        self._era = 0

    async def read_newest(self, topic):
        await self._answer('newest')
        newest = {
            record.key: record for record in self._store.list_records(topic)
        }
        return Batch(
            records=[record for record in newest.values() if record.body],
            next_offset=self._store.get_end(topic),
        )

    async def read_after(self, topic, offset, *, wait_s=0, is_strict=False):
        position = decode_position(offset)
        if position.era != self._era:
            raise HistoryLostError
        await self._answer('read')
        if self._store.get_end(topic) <= offset:
            with anyio.move_on_after(wait_s):
                await self._store.wait_for_record(topic)
        if self._store.era != position.era:
            raise HistoryLostError
        return Batch(
            records=self._store.list_records(topic, position.offset),
            next_offset=self._store.get_end(topic),
        )

    async def write(self, topic, key, body, *, expected_end_offset=None):
        await self._answer('write')
        if expected_end_offset not in {None, self._store.get_end(topic)}:
            return False
        self._store.append(topic, key, body)
        return True

    async def join(self):
        await self._answer('join')
        return self._store.join(self._member)

    async def list_members(self):
        await self._answer('list')
        return self._store.list_members()

    async def leave(self):
        await self._answer('leave')
        self._store.leave(self._member)

    async def _answer(self, kind):
        await self._store.answer(kind, self._member.name)
        self._era = self._store.era


class _Peers(PeerTopics):
    """The copies of running daemons, by address."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def read_after(
        self, peer, topic, offset, *, wait_s, refresh_wait_s=0
    ):
        daemon = self._fleet.daemons.get(peer)
        await anyio.sleep(PEER_DELAY_S * (daemon.slowness if daemon else 1))
        if daemon is None or not daemon.is_running:
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'reset')
        if daemon.is_frozen:
            await anyio.sleep(ANSWER_TIMEOUT_S + max(wait_s, refresh_wait_s))
            raise PlatformError(ErrorKind.LOG_UNAVAILABLE, 'no answer')
        batch = await daemon.copies[topic].read_after(
            offset, wait_s=wait_s, refresh_wait_s=refresh_wait_s
        )
        return decode_batch(encode_batch(batch))


class EmulatedDaemon:
    """One daemon: its membership, tracker and copies."""

    def __init__(self, fleet, member):
        self.member = member
        self.is_running = False
        self.is_frozen = False
        # Factor of the time that an answer to a peer takes.
        self.slowness = 1
        self._fleet = fleet

    @property
    def is_ready(self):
        return self.is_running and self.tracker.is_ready

    def start(self, group):
        """Start with empty state, as a new process does."""
        log = build_silent_log()
        client = _StoreClient(self._fleet.store, self.member)
        self.budgets = build_budgets(
            TopicBounds(
                apply_s=self._fleet.bound_s, drain_s=self._fleet.bound_s
            )
        )
        self.lease = FreshnessLease(duration_s=LEASE_S)
        self.directory = EndpointDirectory()
        self.zones = EvacuatedZones(is_enabled=True)
        self.rollouts = RolloutRegistry(
            local_daemon=self.member.name, exposure_share=0.1, log=log
        )
        tracking = build_tracking(
            local_instance=self.member,
            adapters=PlatformAdapters(
                store=client,
                group=client,
                documents=PlatformDocuments(),
                headers=NamedHeaderCodec(names=PLATFORM_HEADERS),
            ),
            peers=_Peers(self._fleet),
            state=TrackedState(
                lease=self.lease,
                directory=self.directory,
                rollouts=self.rollouts,
                zones=self.zones,
            ),
            budgets=self.budgets,
            log=log,
            contact_s=MEMBER_TTL_MS / 1000,
        )
        self.copies = tracking.copies
        self.membership = tracking.membership
        self.tracker = tracking.tracker
        self.tracker.max_absence_age_s = 3.6
        self.is_running = True
        group.start_soon(self._run)

    def kill(self):
        self.is_running = False
        self._scope.cancel()

    async def _run(self):
        async with anyio.create_task_group() as group:
            self._scope = group.cancel_scope
            self.tracker.start(group)
            await anyio.sleep_forever()


def build_members(size, zones):
    """Build the member records of daemons, which take the zones in turn."""
    names = [f'10.0.0.{number:03}:1' for number in range(size)]
    return [
        ListedInstance(
            name=name,
            zone=zones[number % len(zones)],
            caller_address=name,
            peer_address=name,
        )
        for number, name in enumerate(names)
    ]


class EmulatedFleet:
    """Daemons in zones before one store.

    ``bound_s`` is the time in which changes must be in force.
    """

    def __init__(self, size, zones='abcde', *, bound_s=2.0):
        self.bound_s = bound_s
        self.store = EmulatedStore()
        self.store.put(
            Topic.OPERATORS,
            'config',
            {'version': 1, 'routes': [], 'services': []},
        )
        self.daemons = {
            member.name: EmulatedDaemon(self, member)
            for member in build_members(size, zones)
        }

    @contextlib.asynccontextmanager
    async def run(self, settle_s=6.0):
        """Start all daemons within 0.3 s, and wait until they have settled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for daemon in self.daemons.values():
                await anyio.sleep(0.3 / len(self.daemons))
                daemon.start(group)
            await anyio.sleep(settle_s)
            yield
            group.cancel_scope.cancel()

    async def restart(self, daemon, down_s=0.9, *, leaves=False):
        """Kill a daemon, or stop it after it has left the group."""
        if leaves:
            await daemon.membership.leave()
        daemon.kill()
        await anyio.sleep(down_s)
        daemon.start(self._group)

    def count_ready(self):
        return sum(daemon.is_ready for daemon in self.daemons.values())

    async def measure_until_ready(self, limit_s=20.0):
        """Return the seconds until every daemon is ready."""
        started_at = anyio.current_time()
        with anyio.fail_after(limit_s):
            while self.count_ready() < len(self.daemons):
                await anyio.sleep(0.05)
        return anyio.current_time() - started_at
