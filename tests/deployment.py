"""Starts relay daemons as processes before the stand-in of the store."""

import asyncio
import contextlib
import json
import os
import random
import re
import resource
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

import anyio

from laurelwind.transport.server import HttpServer
from standins.store import StoreStandin
from tests.plain_sockets import Endpoint, Outcome, exchange

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
# An endpoint serves for `drain_ms` after it reported `draining`, and a little
# longer.
LINGER_S = 2.5
READY_TIMEOUT_S = 30.0
# Last octet of the first daemon, the most daemons, and the ports of each.
FIRST_HOST = 100
MAX_DAEMONS = 3
PORTS = (8227, 8220, 8224, 7355, 9464)
_PLACEHOLDER = re.compile(r'{{([\w.]+)(\|json)?}}')
# Sections for values that a platform may lack, as this one does.
_SECTION = re.compile(r'{{#([\w.]+)}}.*?{{/\1}}', re.DOTALL)
_BOUNDS = {
    'revoke_ms': 5000,
    'config_apply_ms': 2000,
    'drain_ms': 2000,
    'grace_s': 8,
    'ttl_max_s': 5,
    'retry_budget_ratio': 0.9,
    'retry_budget_extra': 54,
    'retry_window_s': 10,
    'exposure_share': 0.15,
}


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        ip: str,
        store: str,
        max_fds: int | None = None,
    ) -> None:
        self.name = name
        self._max_fds = max_fds
        self.zone = zone
        self.ip = ip
        self.front = f'{ip}:8227'
        self.ready = f'{ip}:8220'
        self.process: asyncio.subprocess.Process | None = None
        self._fields = {
            'provider': {'address': store},
            'node_name': name,
            'zone': zone,
            'region': 'midlands',
            'ip': ip,
            'internal_ports': {'0': 7340, '1': 7355},
            'listen': {
                'front': self.front,
                'ready': self.ready,
                'directory': f'{ip}:8224',
            },
            'bounds': _BOUNDS,
        }

    async def start(self, folder: Path) -> None:
        """Write the settings by the template, and start the process."""
        template = (ROOT / 'deploy' / 'settings.toml').read_text()
        settings = folder / f'{self.name}.toml'
        required = _SECTION.sub('', template)
        settings.write_text(_PLACEHOLDER.sub(self._fill, required))
        with (folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'laurelwind.platform',
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'LAURELWIND_CONFIG': str(settings)},
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        if self._max_fds is not None:
            limit = (self._max_fds, self._max_fds)
            resource.setrlimit(resource.RLIMIT_NOFILE, limit)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.returncode is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def count_descriptors(self) -> int:
        """Count the open descriptors of the process, for the record."""
        if self.process is None:
            return 0
        return len(list(Path(f'/proc/{self.process.pid}/fd').iterdir()))

    async def kill(self) -> None:
        """End the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness address."""
        outcome = Outcome()
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(1):
                await exchange(
                    self.ready,
                    outcome,
                    b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n',
                )
        return outcome.status == 200

    def _fill(self, match: re.Match[str]) -> str:
        found: object = self._fields
        for name in match[1].split('.'):
            found = found[name]  # type: ignore[index]
        return json.dumps(found) if match[2] else str(found)


class Deployment:
    """A store, endpoints and daemons of a small deployment."""

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.store = StoreStandin()
        self.store_address = ''
        self.endpoints: list[Endpoint] = []
        self.daemons: list[Daemon] = []
        self._network = _choose_network()

    async def add_endpoint(self, endpoint: Endpoint) -> None:
        """Start an endpoint and register it."""
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.beat(endpoint)

    def beat(self, endpoint: Endpoint) -> None:
        """Write an endpoint's entry."""
        self.store.put('keyed.servers', endpoint.name, endpoint.build_entry())

    def configure(self, document: dict) -> None:
        """Write a configuration as the operator."""
        self.store.put('keyed.op', 'config', document)

    async def add_daemon(self, zone: str, max_fds: int | None = None) -> Daemon:
        """Start a daemon, with a limit of its descriptors."""
        number = len(self.daemons)
        daemon = Daemon(
            name=f'edge-{zone}-{number}',
            zone=zone,
            ip=f'{self._network}.{FIRST_HOST + number}',
            store=self.store_address,
            max_fds=max_fds,
        )
        self.daemons.append(daemon)
        await daemon.start(self.folder)
        return daemon

    async def wait_until_ready(self) -> None:
        """Wait until all daemons are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.1)

    async def replace_endpoint(self, old: Endpoint, new: Endpoint) -> None:
        """Start an endpoint; another one drains and then exits."""
        await self.add_endpoint(new)
        old.state = 'draining'
        self.beat(old)
        await asyncio.sleep(LINGER_S)
        self.endpoints.remove(old)
        self.store.put('keyed.servers', old.name, None)
        old.stop()

    async def run_heartbeats(self) -> None:
        """Renew the entries of the endpoints."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for endpoint in self.endpoints:
                self.beat(endpoint)


@contextlib.asynccontextmanager
async def open_deployment() -> AsyncIterator[Deployment]:
    """Open a deployment, and end all its processes."""
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(folder=Path(name))
        server = HttpServer(address='127.0.0.1:0')
        deployment.store_address = server.address
        async with anyio.create_task_group() as group:
            await server.start(group, deployment.store)
            group.start_soon(deployment.run_heartbeats)
            try:
                yield deployment
            finally:
                with anyio.CancelScope(shield=True):
                    for daemon in deployment.daemons:
                        await daemon.kill()
                group.cancel_scope.cancel()


def _choose_network() -> str:
    """Choose a loopback network whose addresses have the ports free."""
    while True:
        network = '127.{}.{}'.format(
            *(random.SystemRandom().randrange(1, 250) for _ in range(2))
        )
        if all(
            _is_free(f'{network}.{FIRST_HOST + number}', port)
            for number in range(MAX_DAEMONS)
            for port in PORTS
        ):
            return network


def _is_free(ip: str, port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    with (
        contextlib.suppress(OSError),
        socket.socket() as stream,
        socket.socket(type=socket.SOCK_DGRAM) as datagram,
    ):
        stream.bind((ip, port))
        datagram.bind((ip, port))
        return True
    return False
