"""Relays of an emulated fleet before endpoints that crash and return cold."""

import asyncio
import random
from collections import Counter

import anyio
from attrs import define, evolve, field

from laurelwind.coordination.cold.access import ColdAccess
from laurelwind.coordination.cold.contact import (
    ContactDependencies,
    FleetContact,
)
from laurelwind.coordination.cold.endpoints import (
    ColdDependencies,
    ColdEndpoints,
)
from laurelwind.coordination.cold.gossip import ColdGossip
from laurelwind.coordination.cold.rates import ColdBounds
from laurelwind.coordination.cold.shares import ColdShares
from laurelwind.coordination.limits.endpoint_limits import EndpointLimits
from laurelwind.coordination.limits.endpoint_permits import EndpointPermits
from laurelwind.coordination.limits.holders import HolderChoice
from laurelwind.coordination.limits.limit_gossip import LimitGossip
from laurelwind.coordination.limits.permit_asks import PermitAsks
from laurelwind.coordination.statement_gossip import GossipDependencies
from laurelwind.errors import (
    EndpointError,
    EndpointPausedError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.exchanges import (
    AnswerHead,
    EndpointExchange,
    EndpointGateway,
    LoadReport,
)
from laurelwind.state.rate_limits import COLD_STARTED_MS
from laurelwind.state.routes import Service
from tests.emulated_fleet import build_members
from tests.emulated_gossip import EmulatedChannel, LossyNetwork
from tests.relay_helpers import (
    RelayHarness,
    build_broken_error,
    build_endpoint_record,
    build_request,
    build_routing_table,
    build_silent_log,
)

COLD_START_S = 3.0
COLD_PER_S = 12.0
BOUNDS = ColdBounds(overage=1.5, tolerance=5)
ALLOWED = COLD_PER_S * BOUNDS.overage + BOUNDS.tolerance
# Longest time from a new entry until a daemon has read it.
ENTRY_LAG_S = 1.6
# Age above which a list of endpoints is old.
DRAIN_S = 2.0
ANSWER_S = 0.2
# So few that an endpoint that has just started looks cheaper than the others.
SLOTS = 16
MISDIRECTED = 421


@define
class Process:
    """One lifetime of an endpoint."""

    record: object
    started_at: float
    cold_s: float
    is_up: bool = True
    in_flight: int = 0
    # Share of the answers that break off while the process goes on.
    broken_share: float = 0
    arrivals: list = field(factory=list)
    ended: anyio.Event = field(factory=anyio.Event)

    def find_peak(self):
        """Return the most arrivals in a second of the cold time."""
        cold_until = self.started_at + self.cold_s
        arrivals = [at for at in self.arrivals if at <= cold_until]
        return max(
            (
                sum(last - 1 < at <= last for at in arrivals)
                for last in arrivals
            ),
            default=0,
        )


class ColdExchange(EndpointExchange):
    def __init__(self, process):
        self._process = process
        self._is_read = False

    async def read_head(self):
        if random.random() < self._process.broken_share:
            await anyio.sleep(ANSWER_S / 4)
            raise build_broken_error()
        with anyio.move_on_after(random.uniform(0.5, 1.5) * ANSWER_S):
            await self._process.ended.wait()
            raise build_broken_error()
        return AnswerHead(
            status=200,
            load=LoadReport(
                running=min(self._process.in_flight, SLOTS),
                waiting=max(self._process.in_flight - SLOTS, 0),
                slots=SLOTS,
            ),
        )

    async def read_chunk(self):
        chunk = b'' if self._is_read else b'x'
        self._is_read = True
        return chunk

    async def close(self):
        self._process.in_flight -= 1


class MisdirectedExchange(ColdExchange):
    async def read_head(self):
        return AnswerHead(status=MISDIRECTED)

    async def close(self):
        """Leave the endpoint as it is."""


class ColdGateway(EndpointGateway):
    def __init__(self, fleet):
        self._fleet = fleet

    async def send(self, request, dispatch):
        await anyio.sleep(random.uniform(0.0005, 0.002))
        process = self._fleet.processes[dispatch.address]
        if not process.is_up:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED, 'refused', run=RunState.NOT_RUN
            )
        if not dispatch.accepts_requests():
            raise EndpointPausedError(
                ErrorKind.ENDPOINT_FAILED, 'paused', run=RunState.NOT_RUN
            )
        if process.record.name != dispatch.endpoint:
            return MisdirectedExchange(process)
        process.arrivals.append(asyncio.get_running_loop().time())
        process.in_flight += 1
        return ColdExchange(process)


class ColdDaemon:
    """A relay that shares permits, or one that is cut from the store."""

    def __init__(self, fleet, member, bounds):
        self.member = member
        self.members = fleet.members
        self.is_running = True
        self.lost_at = float('inf')
        self.outcomes = Counter()
        self.longest_s = 0
        self._fleet = fleet
        log = build_silent_log()
        channel = EmulatedChannel(fleet.network, member.name)
        self.cold = ColdEndpoints(
            dependencies=ColdDependencies(
                bounds=bounds,
                find_service=lambda name: self.harness.tracker.table.services[
                    name
                ],
                has_survived=lambda *_: False,
                record_end=self._record_end,
                log=log,
            )
        )
        limits = EndpointLimits(log=log, cold=self.cold)
        gossip = GossipDependencies(
            channel=channel, list_peers=self._list_peers
        )
        self.contact = FleetContact(
            dependencies=ContactDependencies(
                endpoints=self.cold,
                list_services=lambda: ('pool',),
                list_ready=self._list_ready,
                read_age=self._read_age,
                get_max_age=lambda: DRAIN_S,
                has_peers=lambda: bool(self._list_peers()),
                log=log,
            )
        )
        self.permits = EndpointPermits(
            limits=limits,
            gossip=LimitGossip(limits=limits, dependencies=gossip),
            asks=PermitAsks(
                limits=limits,
                holders=HolderChoice(
                    list_members=lambda: self.members,
                    is_cut_off=lambda: self.contact.is_cut_off,
                ),
                channel=channel,
                local_address=member.name,
            ),
            count=lambda outcome: None,
            cold=ColdAccess(
                shares=ColdShares(
                    local_address=member.name,
                    list_members=lambda: self.members,
                ),
                gossip=ColdGossip(
                    endpoints=self.cold,
                    contact=self.contact,
                    dependencies=gossip,
                ),
                count=lambda outcome: self.outcomes.update([outcome]),
            ),
            log=log,
        )
        self.harness = RelayHarness(
            names=(),
            gateway=ColdGateway(fleet),
            permits=self.permits,
            zone=member.zone,
        )
        self.harness.tracker.table = build_routing_table(
            services={
                'pool': Service(
                    name='pool',
                    cold_start_s=COLD_START_S,
                    cold_per_s=COLD_PER_S,
                )
            }
        )
        self.harness.directory.add_listener(self.cold.record_entry)

    def lose_store(self):
        self.lost_at = min(self.lost_at, asyncio.get_running_loop().time())

    def _list_ready(self, service):
        return self.harness.directory.list_ready(service)

    def _read_age(self):
        return max(asyncio.get_running_loop().time() - self.lost_at, 0)

    def _record_end(self, name, lasted_s):
        self.harness.placement.record_limit_end(name, lasted_s)

    def _list_peers(self):
        return [
            other.name
            for other in self.members
            if other.name != self.member.name
        ]

    def apply(self, name, record, offset, max_age_s=ENTRY_LAG_S):
        if self.lost_at == float('inf'):
            self.harness.directory.apply(
                name, record, offset=offset, max_age_s=max_age_s
            )

    async def run(self, group, requests_per_s):
        self.permits.start(group)
        number = 0
        while True:
            await anyio.sleep(random.expovariate(requests_per_s))
            number += 1
            if self.is_running:
                group.start_soon(self._serve, f'{self.member.name}-{number}')

    async def _serve(self, request_id):
        started_at = asyncio.get_running_loop().time()
        self.harness.lease.renew(self.harness.lease.read_clock())
        try:
            await self.harness.serve(
                build_request(
                    'look',
                    request_id=request_id,
                    body=request_id.encode(),
                    parts=(),
                )
            )
        except LaurelwindError as error:
            self.outcomes[int(error.status)] += 1
        else:
            self.outcomes[200] += 1
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self.longest_s = max(self.longest_s, elapsed_s)


class ColdFleet:
    """Daemons before endpoints in three zones."""

    def __init__(self, size, endpoints=48, *, bounds=BOUNDS, loss=0.0):
        self.network = LossyNetwork(loss)
        self.members = build_members(size, 'abc')
        self.daemons = [
            ColdDaemon(self, member, bounds) for member in self.members
        ]
        self.processes = {}
        self.past = []
        self._offset = 0
        for number in range(endpoints):
            name = f'e{number}'
            record = build_endpoint_record(
                name, zone='abc'[number % 3], slots=SLOTS, cold_s=0.0
            )
            self.processes[record.address] = Process(record, 0, 0)
            for daemon in self.daemons:
                daemon.apply(name, record, number, float('inf'))
        self._offset = endpoints

    def start(self, group, requests_per_s):
        """Start all daemons, each with as many requests a second."""
        for daemon in self.daemons:
            group.start_soon(daemon.run, group, requests_per_s)

    def list_processes(self, zone=None):
        return [
            process
            for process in self.processes.values()
            if zone in {None, process.record.zone}
        ]

    def cut_from_store(self, share=3):
        for daemon in self.daemons[::share]:
            daemon.lose_store()

    def isolate(self, daemons):
        """Cut daemons from the store and from all others."""
        for daemon in daemons:
            daemon.lose_store()
            self.network.cut.add(daemon.member.name)

    def find_holder(self, process):
        holders = HolderChoice(list_members=lambda: self.members)
        record = process.record
        name = holders.find_holder((record.name, COLD_STARTED_MS), record.zone)
        return next(
            daemon for daemon in self.daemons if daemon.member.name == name
        )

    def crash(self, process):
        process.is_up = False
        process.ended.set()

    def restart(self, process, *, group, new_name='', has_entry=True):
        """Start the next process of an endpoint, which is cold."""
        now = asyncio.get_running_loop().time()
        name = new_name or process.record.name
        record = evolve(
            process.record,
            name=name,
            started_ms=process.record.started_ms + 1,
            sequence=0,
            cold_s=COLD_START_S,
        )
        restarted = Process(record, now, COLD_START_S)
        self.processes[record.address] = restarted
        if has_entry:
            for daemon in self.daemons:
                group.start_soon(self._announce, daemon, process, restarted)
        return restarted

    async def _announce(self, daemon, before, process):
        await anyio.sleep(random.uniform(0.1, ENTRY_LAG_S))
        self._offset += 2
        if before.record.name != process.record.name:
            daemon.apply(before.record.name, None, self._offset - 1)
        daemon.apply(process.record.name, process.record, self._offset)

    def count(self):
        return sum((daemon.outcomes for daemon in self.daemons), Counter())
