"""Relay daemons with stand-ins for their environment."""

import random
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from soak import bounds
from soak.daemons import Daemon
from soak.fault_windows import FaultWindows
from soak.tables import (
    PoolShare,
    PublishedTable,
    add_cold_rates,
    encode_table,
)
from standins.link import Link
from standins.relayed_endpoint import RelayedEndpoint
from standins.run_log import RunLog
from standins.store import StoreMode, StoreStandin
from standins.unusual import UnusualBehaviour


@frozen(kw_only=True)
class DeadlyRequest:
    """A request that crashes each endpoint which runs it.

    :ivar route: its route.
    :ivar body: its body, the same each time.
    :ivar until: end of the time in which it comes again.
    """

    route: str
    body: bytes
    until: float


class Fleet:
    """Daemons, store, endpoints and published routing tables.

    :param rng: random generator that chooses the faults of endpoints.
    :param folder: directory of settings and logs.
    :ivar tables: every routing table, oldest first.
    :ivar extra_keys: temporary keys of the newest table.
    :ivar endpoint_zones: zones of endpoints that are added, in turn, a letter
        each.
    :ivar zones: zone of each endpoint.
    :ivar born: start time of each endpoint that has restarted.
    :ivar has_cold: whether services have a cold time.
    :ivar unusual: what endpoints do that are added from now on.
    :ivar deadly_until: end of the time in which prompts have a deadly part.
    :ivar deadly_requests: requests that crash endpoints, and come again.
    :ivar withdrawn_at: acknowledgement time of each endpoint's withdrawal.
    """

    def __init__(self, *, rng: random.Random, folder: Path):
        self.rng = rng
        self.folder = folder
        self.store = StoreStandin()
        self.run_log = RunLog()
        self.fault_windows = FaultWindows()
        self.daemons: list[Daemon] = []
        self.endpoints: dict[str, RelayedEndpoint] = {}
        self.links: dict[str, Link] = {}
        self.tables: list[PublishedTable] = []
        self.extra_keys: set[str] = set()
        self.withdrawn_at: dict[str, float] = {}
        self.deadly_until = float('-inf')
        self.deadly_requests: list[DeadlyRequest] = []
        self.unusual = UnusualBehaviour()
        self.endpoint_zones = 'a'
        self.zones: dict[str, str] = {}
        self.born: dict[str, int] = {}
        self.has_cold = False
        self._number = 0
        # The newest content of each record, by topic and key, oldest first.
        self._written: dict[tuple[str, str], dict | None] = {}

    def write(self, topic: str, key: str, body: dict | None) -> None:
        """Write a record to the store as its operator or an endpoint.

        :param body: its content, or ``None`` to delete it.
        """
        self._written.pop((topic, key), None)
        self._written[topic, key] = body
        self.store.put(topic, key, body)

    def write_lost_records(self) -> None:
        """Write again what the store has lost of the records written here."""
        stored = {topic: self.store.read(topic) for topic, _ in self._written}
        for (topic, key), body in self._written.items():
            if stored[topic].get(key) != body:
                self.store.put(topic, key, body)

    async def add_endpoint(
        self, group: TaskGroup, service: str, **fields
    ) -> RelayedEndpoint:
        """Start an endpoint behind a link and register it."""
        self._number += 1
        endpoint = RelayedEndpoint(
            name=f'{service}-{self._number}',
            service=service,
            run_log=self.run_log,
            rng=self.rng,
            pause_s=bounds.EVENT_PAUSE_S,
            **fields,
        )
        endpoint.unusual = self.unusual
        count = len(self.zones)
        self.zones[endpoint.name] = self.endpoint_zones[
            count % len(self.endpoint_zones)
        ]
        await endpoint.start(group)
        link = Link(target=endpoint.address)
        await link.start(group)
        self.endpoints[endpoint.name] = endpoint
        self.links[endpoint.name] = link
        self.register(endpoint, link.address)
        return endpoint

    def register(
        self,
        endpoint: RelayedEndpoint,
        address: str,
        state: str = 'ready',
        cold_s: float = 0,
    ) -> None:
        """Write the record of an endpoint to the store.

        :param cold_s: seconds for which it is cold.
        """
        self._number += 1
        self.write(
            'keyed.servers',
            endpoint.name,
            {
                'service': endpoint.service,
                'address': address,
                'zone': self.zones[endpoint.name],
                'version': endpoint.version,
                'slots': 8,
                'state': state,
                'cold_remaining_ms': round(max(cold_s, 0) * 1000),
                'sequence': self._number,
                'born': self.born.get(endpoint.name, 1),
            },
        )

    def withdraw_endpoint(self, name: str, *, is_announced: bool) -> None:
        """Withdraw an endpoint from service.

        :param is_announced: whether its record gets the state ``draining``;
            the record is deleted otherwise.
        """
        endpoint = self.endpoints[name]
        if is_announced:
            self.register(endpoint, self.links[name].address, 'draining')
        else:
            self.write('keyed.servers', name, None)
        self.withdrawn_at[name] = anyio.current_time()

    def publish(
        self,
        *shares: PoolShare,
        timeout_s: float = bounds.TIMEOUT_S,
        filler_keys: int = 0,
    ) -> None:
        """Publish a routing table.

        :param shares: pools of the routes ``book`` and ``draft``.
        :param timeout_s: time-out of every route, in seconds.
        :param filler_keys: number of keys that no caller uses.
        """
        keys = frozenset((bounds.PERMANENT_KEY, *self.extra_keys))
        document = encode_table(
            len(self.tables) + 1, shares, keys, timeout_s, filler_keys
        )
        if self.has_cold:
            add_cold_rates(document)
        self.write('keyed.op', 'config', document)
        self.tables.append(
            PublishedTable(
                published_at=anyio.current_time(), shares=shares, keys=keys
            )
        )

    def find_daemon(self, address: str) -> Daemon:
        """Return the daemon that listens for callers on an address."""
        return next(
            daemon
            for daemon in self.daemons
            if daemon.addresses['callers'] == address
        )

    def is_undisturbed(
        self, daemon: Daemon, since: float, until: float
    ) -> bool:
        """Return whether a daemon, its links and its store had no fault.

        Faults that end shortly before count as well.

        :param daemon: a daemon, which other daemons' faults do not excuse.
        :param since: begin of the time, in seconds.
        :param until: its end.
        """
        return all(
            self.fault_windows.is_fault_free(subject, since, until)
            for subject in ('store', daemon.subject, daemon.store_subject)
        )

    def clear_faults(self) -> None:
        """End all faults of the store and of links."""
        self.store.mode = StoreMode.UP
        self.store.address_modes.clear()
        links = [*self.links.values()]
        for daemon in self.daemons:
            links.extend((daemon.caller_link, daemon.store_link))
        for link in links:
            link.delay_s = 0
            link.is_return_blocked = False
            if link.is_blocked:
                link.set_blocked(is_blocked=False)


def choose_network() -> str:
    """Choose a random loopback network, as the first three octets.

    Outgoing connections may use up ports of the default loopback address, but
    not of this one.
    """
    octets = [random.SystemRandom().randrange(1, 250) for _ in range(2)]
    return '127.{}.{}'.format(*octets)
