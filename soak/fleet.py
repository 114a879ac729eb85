"""Relay daemons as separate processes, and what surrounds them."""

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
from standins.addresses import take_address
from standins.link import Link
from standins.relayed import Ledger, RelayedEndpoint
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
class Troubles:
    """When what was in trouble, so that its promises are excused."""

    spans: dict[str, list[list[float]]] = field(factory=dict)

    @contextlib.contextmanager
    def note(self, *subjects: str):
        """Note a trouble of some subjects while it lasts."""
        span = [anyio.current_time(), float('inf')]
        for subject in subjects:
            self.spans.setdefault(subject, []).append(span)
        try:
            yield
        finally:
            span[1] = anyio.current_time()

    def is_calm(
        self,
        subject: str,
        since: float,
        until: float,
        settle_s: float = bounds.SETTLE_S,
    ) -> bool:
        """Tell whether a subject had no trouble from then to then."""
        return not any(
            begun <= until and since <= ended + settle_s
            for begun, ended in self.spans.get(subject, ())
        )


class Daemon:
    """One daemon process, behind links to its callers and its store."""

    command: tuple[str, ...] = (sys.executable, '-m', 'laurelwind.platform')

    def __init__(self, *, name: str, zone: str, folder: Path, store: str):
        self.name = name
        self.zone = zone
        self.lives = 0
        self.is_stopping = False
        self.process: Process | None = None
        self.store_link = Link(target=store)
        host = draw_host()
        self.addresses = {
            use: take_address(host)
            for use in ('callers', 'readiness', 'entries', 'metrics', 'peers')
        }
        self.caller_link = Link(target=self.addresses['callers'])
        self._folder = folder

    @property
    def subject(self) -> str:
        """Names it among what may be in trouble."""
        return f'daemon {self.name}'

    @property
    def life(self) -> str:
        """Names one life of its processes."""
        return f'{self.name}/{self.lives}'

    @property
    def is_running(self) -> bool:
        """Whether its process is there."""
        return self.process is not None and self.process.returncode is None

    async def start_links(self, group: TaskGroup) -> None:
        """Begin to forward its connections."""
        await self.store_link.start(group)
        await self.caller_link.start(group)

    async def start(self) -> None:
        """Start the process; its settings are written anew."""
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
        self.lives += 1
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
        """Send a signal, if the process is there."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def stop(self) -> bool:
        """Stop as an operator does; tell whether it ended in time."""
        self.is_stopping = True
        self.send_signal(signal.SIGTERM)
        with anyio.move_on_after(bounds.STOP_S):
            await self.process.wait()
            return True
        await self.kill()
        return False

    async def kill(self) -> None:
        """End the process at once, as a crash does."""
        if self.process is None:
            return
        self.send_signal(signal.SIGKILL)
        with anyio.CancelScope(shield=True):
            await self.process.wait()


class Fleet:
    """Daemons, store, endpoints and the tables that are in force.

    :param luck: draws what endpoints do.
    :param folder: where settings and logs are kept.
    """

    def __init__(self, *, luck: random.Random, folder: Path):
        self.luck = luck
        self.folder = folder
        self.store = StoreStandin()
        self.ledger = Ledger()
        self.troubles = Troubles()
        self.daemons: list[Daemon] = []
        self.endpoints: dict[str, RelayedEndpoint] = {}
        self.links: dict[str, Link] = {}
        # When each table was acknowledged, with its pool and its keys.
        self.tables: list[tuple[float, str, frozenset[str]]] = []
        self.extra_keys: set[str] = set()
        # When each endpoint was acknowledged as leaving.
        self.left_at: dict[str, float] = {}
        self._number = 0

    async def add_endpoint(
        self, group: TaskGroup, service: str, **fields
    ) -> RelayedEndpoint:
        """Start an endpoint behind a link, and register it."""
        self._number += 1
        endpoint = RelayedEndpoint(
            name=f'{service}-{self._number}',
            service=service,
            ledger=self.ledger,
            luck=self.luck,
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
        """Write an endpoint's record."""
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

    def leave(self, name: str, *, is_told: bool) -> None:
        """Let an endpoint leave, by its record's state or removal."""
        endpoint = self.endpoints[name]
        if is_told:
            self.register(endpoint, self.links[name].address, 'draining')
        else:
            self.store.put('keyed.servers', name, None)
        self.left_at[name] = anyio.current_time()

    def publish(self, pool: str) -> None:
        """Put a table in force."""
        keys = frozenset((bounds.KEY, *self.extra_keys))
        version = len(self.tables) + 1
        self.store.put('keyed.op', 'config', _build_table(version, pool, keys))
        self.tables.append((anyio.current_time(), pool, keys))

    def find_daemon(self, address: str) -> Daemon:
        """Find the daemon with a callers' address."""
        return next(
            one for one in self.daemons if one.addresses['callers'] == address
        )

    def lift_troubles(self) -> None:
        """Put store and links right."""
        self.store.mode = StoreMode.UP
        links = [*self.links.values()]
        for daemon in self.daemons:
            links.extend((daemon.caller_link, daemon.store_link))
        for link in links:
            link.delay_s = 0
            link.is_mute = False
            if link.is_cut:
                link.cut(is_cut=False)


def draw_host() -> str:
    """Draw an address of loopback that nobody else connects from.

    Ports of the usual one may be taken by connections that go out.
    """
    words = [random.SystemRandom().randrange(1, 250) for _ in range(3)]
    return '127.{}.{}.{}'.format(*words)


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
            ('look', 'idempotent', bounds.DESK),
        )
    ]
    passing = sorted(keys - {bounds.KEY})
    return {
        'version': version * 3,
        'routes': routes,
        'services': [{'name': name} for name in (*bounds.POOLS, bounds.DESK)],
        'tenants': [
            {'name': bounds.WORKSPACE, 'api_keys': [bounds.KEY]},
            {'name': bounds.EXTRA_WORKSPACE, 'api_keys': passing},
        ],
    }
