"""Relay daemons as separate processes, with stand-ins for their environment."""

import contextlib
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import anyio
from anyio.abc import Process, TaskGroup
from attrs import define, field

from soak import bounds
from standins.addresses import find_free_addresses
from standins.link import Link
from standins.relayed_endpoint import RelayedEndpoint, RunLog
from standins.store import StoreMode, StoreStandin

_SETTINGS = """\
store = "{store}"
[daemon]
name = "{name}"
zone = "{zone}"
[listen]
callers = "{callers}"
readiness = "{readiness}"
entries = "{entries}"
metrics = "{metrics}"
peers = "{peers}"
[bounds]
revocation_s = {revocation_s}
apply_s = {apply_s}
stop_s = {stop_s}
retry_share = 0.9
retry_extra = 50
exposure_share = {exposure_share}
"""


@define
class FaultWindows:
    """Periods with faults, for which guarantees are not checked.

    :ivar spans: start and end of each period, by subject.
    """

    spans: dict[str, list[list[float]]] = field(factory=dict)

    @contextlib.contextmanager
    def record(self, *subjects: str):
        """Record the body of the ``with`` block as a fault of some subjects."""
        span = [anyio.current_time(), float('inf')]
        for subject in subjects:
            self.spans.setdefault(subject, []).append(span)
        try:
            yield
        finally:
            span[1] = anyio.current_time()

    def is_fault_free(
        self,
        subject: str,
        since: float,
        until: float,
        settle_s: float = bounds.SETTLE_S,
    ) -> bool:
        """Return whether a subject had no fault from ``since`` to ``until``.

        :param settle_s: seconds after a fault that count as part of it.
        """
        return not any(
            started_at <= until and since <= ended_at + settle_s
            for started_at, ended_at in self.spans.get(subject, ())
        )


class Daemon:
    """One daemon process, with links to its callers and its store."""

    command: tuple[str, ...] = (sys.executable, '-m', 'laurelwind.platform')

    def __init__(
        self, *, name: str, zone: str, folder: Path, store: str, host: str
    ):
        self.name = name
        self.zone = zone
        self.start_count = 0
        self.is_stopping = False
        self.process: Process | None = None
        self.store_link = Link(target=store)
        listeners = ('callers', 'readiness', 'entries', 'metrics', 'peers')
        self.addresses = dict(
            zip(
                listeners,
                find_free_addresses(len(listeners), host),
                strict=True,
            )
        )
        self.caller_link = Link(target=self.addresses['callers'])
        self._folder = folder

    @property
    def subject(self) -> str:
        """Name of the daemon as a subject of faults."""
        return f'daemon {self.name}'

    @property
    def incarnation(self) -> str:
        """Name of the current process; changes with every start."""
        return f'{self.name}/{self.start_count}'

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def start_links(self, group: TaskGroup) -> None:
        """Start to forward connections."""
        await self.store_link.start(group)
        await self.caller_link.start(group)

    async def start(self) -> None:
        """Write the settings and start the process."""
        settings = self._folder / f'{self.name}.toml'
        text = _SETTINGS.format(
            name=self.name,
            zone=self.zone,
            store=self.store_link.address,
            revocation_s=bounds.REVOCATION_S,
            apply_s=bounds.APPLY_S,
            stop_s=bounds.STOP_S,
            exposure_share=bounds.EXPOSURE_SHARE,
            **self.addresses,
        )
        await anyio.Path(settings).write_text(text)
        self.start_count += 1
        self.is_stopping = False
        log = os.open(
            self._folder / f'{self.name}.log',
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
        )
        try:
            self.process = await anyio.open_process(
                list(self.command),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'LAURELWIND_CONFIG': str(settings)},
            )
        finally:
            os.close(log)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def stop(self) -> bool:
        """Stop the process gracefully, or kill it after the bound.

        :returns: whether the process ended within the bound.
        """
        self.is_stopping = True
        self.send_signal(signal.SIGTERM)
        with anyio.move_on_after(bounds.STOP_S):
            await self.process.wait()
            return True
        await self.kill()
        return False

    async def kill(self) -> None:
        """Kill the process, as in a crash."""
        if self.process is None:
            return
        self.send_signal(signal.SIGKILL)
        with anyio.CancelScope(shield=True):
            await self.process.wait()


class Fleet:
    """Daemons, store, endpoints and published routing tables.

    :param rng: random generator that chooses the faults of endpoints.
    :param folder: directory of settings and logs.
    :ivar tables: acknowledgement time, pool and keys of each routing table.
    :ivar extra_keys: temporary keys of the newest table.
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
        self.tables: list[tuple[float, str, frozenset[str]]] = []
        self.extra_keys: set[str] = set()
        self.withdrawn_at: dict[str, float] = {}
        self._number = 0

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
        await endpoint.start(group)
        link = Link(target=endpoint.address)
        await link.start(group)
        self.endpoints[endpoint.name] = endpoint
        self.links[endpoint.name] = link
        self.register(endpoint, link.address)
        return endpoint

    def register(
        self, endpoint: RelayedEndpoint, address: str, state: str = 'ready'
    ) -> None:
        """Write the record of an endpoint to the store."""
        self._number += 1
        self.store.put(
            'keyed.servers',
            endpoint.name,
            {
                'service': endpoint.service,
                'address': address,
                'zone': 'a',
                'version': endpoint.version,
                'slots': 8,
                'state': state,
                'cold_remaining_ms': 0,
                'sequence': self._number,
                'born': 1,
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
            self.store.put('keyed.servers', name, None)
        self.withdrawn_at[name] = anyio.current_time()

    def publish(self, pool: str) -> None:
        """Publish a routing table."""
        keys = frozenset((bounds.PERMANENT_KEY, *self.extra_keys))
        version = len(self.tables) + 1
        self.store.put('keyed.op', 'config', _build_table(version, pool, keys))
        self.tables.append((anyio.current_time(), pool, keys))

    def find_daemon(self, address: str) -> Daemon:
        """Return the daemon that listens for callers on an address."""
        return next(
            daemon
            for daemon in self.daemons
            if daemon.addresses['callers'] == address
        )

    def clear_faults(self) -> None:
        """End all faults of the store and of links."""
        self.store.mode = StoreMode.UP
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


def _build_table(version: int, pool: str, keys: frozenset[str]) -> dict:
    routes = [
        {
            'name': name,
            'host': bounds.HOST,
            'path_prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': int(bounds.TIMEOUT_S * 1000),
            'target_latency_ms': 500,
            'target_gap_ms': 300,
            'service': service,
            'max_attempts': bounds.MAX_ATTEMPTS,
            'resumable': kind == 'streaming',
        }
        for name, kind, service in (
            ('book', 'non_idempotent', pool),
            ('draft', 'streaming', pool),
            ('look', 'idempotent', bounds.ROLLOUT_SERVICE),
        )
    ]
    temporary = sorted(keys - {bounds.PERMANENT_KEY})
    return {
        'version': version * 3,
        'routes': routes,
        'services': [
            {'name': name} for name in (*bounds.POOLS, bounds.ROLLOUT_SERVICE)
        ],
        'tenants': [
            {'name': bounds.WORKSPACE, 'api_keys': [bounds.PERMANENT_KEY]},
            {'name': bounds.EXTRA_WORKSPACE, 'api_keys': temporary},
        ],
    }
