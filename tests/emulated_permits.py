"""Daemons that share the permits of endpoints over an emulated network."""

import random

import anyio

from laurelwind.coordination.limits.endpoint_limits import EndpointLimits
from laurelwind.coordination.limits.endpoint_permits import EndpointPermits
from laurelwind.coordination.limits.holders import HolderChoice
from laurelwind.coordination.limits.limit_gossip import LimitGossip
from laurelwind.coordination.limits.permit_asks import PermitAsks
from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.coordination.statement_gossip import GossipDependencies
from laurelwind.state.load import read_monotonic_clock
from tests.emulated_fleet import build_members
from tests.emulated_gossip import EmulatedChannel, LossyNetwork
from tests.relay_helpers import build_endpoint_record, build_silent_log

# What may reach an endpoint in some WINDOW_S, beyond CHECKED_AFTER_S after its
# first statement of a limit, from daemons informed HEEDED_S before.
WINDOW_S = 4.0
CHECKED_AFTER_S = 3.0
HEEDED_S = 0.5
FACTOR = 1.5
EXTRA = 5


class LimitedEndpoint:
    """Counts its requests, and states a limit in its answers."""

    def __init__(self, record, rate):
        self.record = record
        self.rate = rate
        self.limited_at = read_monotonic_clock()
        self.arrivals = []
        self.informed_at = {}
        # Daemons with a fault, and the moment until which it excuses them.
        self.excused_until = {}

    async def serve(self, daemon):
        arrived_at = read_monotonic_clock()
        self.arrivals.append((arrived_at, daemon.name))
        await anyio.sleep(random.uniform(0.01, 0.3))
        texts = [] if self.rate is None else [str(self.rate)]
        if texts:
            self.informed_at.setdefault(daemon.name, read_monotonic_clock())
        attempt = Attempt(
            endpoint=self.record, exchange=None, sent_at=arrived_at
        )
        attempt.first_byte_at = read_monotonic_clock()
        daemon.permits.limits.record_answer(attempt, texts)

    def find_excess(self):
        """Return the most requests beyond what the limit allows."""
        never = float('inf')
        counted = [
            arrived_at
            for arrived_at, name in self.arrivals
            if arrived_at >= self.informed_at.get(name, never) + HEEDED_S
            and arrived_at >= self.excused_until.get(name, 0)
        ]
        allowed = self.rate * WINDOW_S * FACTOR + EXTRA
        return max(
            (
                sum(last - WINDOW_S < at <= last for at in counted) - allowed
                for last in counted
                if last >= self.limited_at + CHECKED_AFTER_S
            ),
            default=-allowed,
        )

    def measure_rate(self, since, until):
        """Return the requests per second between two moments."""
        count = sum(since <= at < until for at, _ in self.arrivals)
        return count / (until - since)


class PermitDaemon:
    """The permits of one daemon."""

    def __init__(self, fleet, member):
        self.member = member
        self.name = member.name
        self.is_running = True
        self.members = fleet.members
        log = build_silent_log()
        limits = EndpointLimits(log=log)
        channel = EmulatedChannel(fleet.network, member.name)
        self.permits = EndpointPermits(
            limits=limits,
            gossip=LimitGossip(
                limits=limits,
                dependencies=GossipDependencies(
                    channel=channel,
                    list_peers=lambda: [
                        other.name
                        for other in self.members
                        if other.name != member.name
                    ],
                ),
            ),
            asks=PermitAsks(
                limits=limits,
                holders=HolderChoice(list_members=lambda: self.members),
                channel=channel,
                local_address=member.name,
            ),
            count=lambda outcome: None,
            log=log,
        )

    async def run(self, group, endpoints, requests_per_s, max_wait_s):
        """Send requests to endpoints at random, where there is a permit."""
        self.permits.start(group)
        while True:
            await anyio.sleep(random.expovariate(requests_per_s))
            endpoint = random.choice(endpoints)
            group.start_soon(self._send, endpoint, max_wait_s)

    def _may_ask(self, endpoint, max_wait_s):
        refusals = self.permits.refusals
        if refusals.find_rate_limit(endpoint.record) is None:
            return True
        list_refusing = (
            refusals.list_without_queue
            if max_wait_s
            else refusals.list_refusing
        )
        return not list_refusing([endpoint.record])

    async def _send(self, endpoint, max_wait_s):
        if not self.is_running or not self._may_ask(endpoint, max_wait_s):
            return
        permit = await self.permits.acquire('r1', endpoint.record, max_wait_s)
        if permit is None:
            return
        await anyio.sleep(max(permit.due_at - read_monotonic_clock(), 0))
        if self.permits.is_valid(permit):
            await endpoint.serve(self)


class PermitFleet:
    """Daemons, and endpoints that state a limit from the start."""

    def __init__(self, size, rates, *, loss=0.0, zones='abc'):
        self.network = LossyNetwork(loss)
        self.members = build_members(size, zones)
        # The members as the store lists them.
        self.listed = self.members
        self.endpoints = [
            LimitedEndpoint(build_endpoint_record(f'e{number}'), rate)
            for number, rate in enumerate(rates)
        ]
        self.daemons = [PermitDaemon(self, member) for member in self.members]

    def start(self, group, requests_per_s, max_wait_s=0.0):
        """Start all daemons.

        :param requests_per_s: requests of all daemons together.
        """
        share = requests_per_s / len(self.daemons)
        for daemon in self.daemons:
            group.start_soon(
                daemon.run, group, self.endpoints, share, max_wait_s
            )

    def find_excess(self):
        return max(endpoint.find_excess() for endpoint in self.endpoints)

    def excuse(self, daemon, until):
        for endpoint in self.endpoints:
            endpoint.excused_until[daemon.name] = until

    def find_holder(self, endpoint):
        holders = HolderChoice(list_members=lambda: self.listed)
        name = holders.find_holder(
            (endpoint.record.name, 1), endpoint.record.zone
        )
        return next(peer for peer in self.daemons if peer.name == name)
