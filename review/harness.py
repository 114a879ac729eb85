"""Starts relay daemons before small stand-ins, for the cases of the review.

The store is the project's own stand-in.  Replicas and consumers are written
here on plain sockets, so that a case decides each byte that they send.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import resource
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from laurelwind.transport.server import HttpServer
from standins.store import StoreStandin

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
# A replica serves for `drain_ms` after it reported `draining`, and a little
# longer.
LINGER_S = 2.5
READY_TIMEOUT_S = 30.0
CASE_TIMEOUT_S = 112.0
# Last octet of the first daemon, the most daemons, and the ports of each.
FIRST_HOST = 100
MAX_DAEMONS = 3
PORTS = (8227, 8220, 8224, 7355, 9464)
HOST = 'shop.example'
KEY = 'key-of-the-shop'
TENANT = 'shop'
# A linger time of zero makes closing a socket reset its channel.
_ZERO_LINGER = struct.pack('ii', 1, 0)
_END_OF_HEAD = b'\r\n\r\n'
_PLACEHOLDER = re.compile(r'{{([\w.]+)(\|json)?}}')
# The bounds of both sheets.
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


class Record:
    """Writes what was sent, run and answered.

    :param path: file to write, ``record.txt`` in the folder of a case.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f'{elapsed_s:8.3f} s  {text}\n')
        self._file.flush()


@dataclass
class Request:
    """A request as a replica received it."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The consumer's id of the attempt."""
        return self.headers.get('x-request-id', '')


class Channel:
    """A replica's end of one channel."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def read_request(self) -> Request:
        """Read the next request."""
        head = await self._reader.readuntil(_END_OF_HEAD)
        method, target, headers = _parse_head(head)
        length = int(headers.get('content-length', '0'))
        body = await self._reader.readexactly(length) if length else b''
        return Request(method, target.split(' ')[0], headers, body)

    async def send(self, sent: bytes) -> None:
        """Send bytes; raises ``ConnectionError`` once the peer has closed."""
        if self._writer.is_closing() or self._reader.at_eof():
            raise ConnectionResetError
        self._writer.write(sent)
        await self._writer.drain()

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()

    def reset(self) -> None:
        """Reset the channel."""
        raw = self._writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
        self._writer.transport.abort()


Answer = Callable[['Replica', Request, Channel], Awaitable[bool]]


class Replica:
    """A replica that registers itself and answers as a case says."""

    def __init__(
        self, *, name: str, service: str, zone: str, answer: Answer
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self.address = ''
        self.slots = 6
        self.version = 'v1'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._channels: set[Channel] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stop listening, and close all channels."""
        if self._server is not None:
            self._server.close()
        for channel in tuple(self._channels):
            channel.close()

    def build_entry(self) -> dict:
        """Build the next entry for the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._serve_request(channel):
                pass
        channel.close()

    async def _serve_request(self, channel: Channel) -> bool:
        request = await channel.read_request()
        expected = request.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            await channel.send(
                b'HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n'
                b'X-Request-Id: %b\r\nContent-Length: 0\r\n\r\n'
                % request.id.encode()
            )
            return True
        return await self._answer(self, request, channel)


@dataclass
class Outcome:
    """What a consumer got for one attempt."""

    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False

    def __str__(self) -> str:
        """Describe it for the record."""
        if not self.status:
            return 'no answer'
        end = 'complete' if self.is_complete else 'cut off'
        return f'{self.status}, {len(self.body)} bytes, {end}'


async def send_request(
    address: str,
    *,
    request_id: str,
    method: str = 'POST',
    path: str = '/',
    deadline_ms: int = 10000,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
    patience_s: float | None = None,
) -> Outcome:
    """Send one request on a new channel, and wait for its answer."""
    sent = _encode_request(
        f'{method} {path} HTTP/1.1',
        {
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {KEY}',
            **(headers or {}),
        },
        body,
    )
    outcome = Outcome()
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError
    ):
        async with asyncio.timeout(patience_s or deadline_ms / 1000 + 1):
            await _exchange(address, outcome, sent)
    return outcome


def _encode_request(
    start: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    lines = [
        start,
        f'Host: {HOST}',
        f'Content-Length: {len(body)}',
        *(f'{name}: {text}' for name, text in headers.items()),
    ]
    return '\r\n'.join((*lines, '', '')).encode() + body


async def _exchange(address: str, outcome: Outcome, sent: bytes) -> None:
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(sent)
        await writer.drain()
        head = await reader.readuntil(_END_OF_HEAD)
        _, status, outcome.headers = _parse_head(head)
        outcome.status = int(status.split(' ')[0])
        if 'content-length' in outcome.headers:
            await _read_exactly(
                reader, outcome, int(outcome.headers['content-length'])
            )
        else:
            while size := await _read_chunk_size(reader):
                await _read_exactly(reader, outcome, size)
                await reader.readline()
        outcome.is_complete = True
    finally:
        writer.close()


async def _read_chunk_size(reader: asyncio.StreamReader) -> int:
    line = await reader.readline()
    if not line:
        raise asyncio.IncompleteReadError(b'', None)
    return int(line, 16)


async def _read_exactly(
    reader: asyncio.StreamReader, outcome: Outcome, size: int
) -> None:
    while size:
        piece = await reader.read(size)
        if not piece:
            raise asyncio.IncompleteReadError(b'', size)
        outcome.body += piece
        size -= len(piece)


def _parse_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    start, *lines = head.decode('latin-1').split('\r\n')
    first, _, rest = start.partition(' ')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, rest, headers


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
        settings.write_text(_PLACEHOLDER.sub(self._fill, template))
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
                await _exchange(
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


_started: list[Daemon] = []


def _end_at_signal(_number: int, _frame: object) -> None:
    for daemon in _started:
        daemon.signal(signal.SIGKILL)
    os._exit(NOT_RUN)


class Deployment:
    """A store, replicas and daemons of a small deployment."""

    def __init__(self, *, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = StoreStandin()
        self.store_address = ''
        self.replicas: list[Replica] = []
        self.daemons: list[Daemon] = []
        self._network = _choose_network()

    async def add_replica(self, replica: Replica) -> None:
        """Start a replica and register it."""
        await replica.start()
        self.replicas.append(replica)
        self.beat(replica)

    def beat(self, replica: Replica) -> None:
        """Write a replica's entry."""
        self.store.put('keyed.servers', replica.name, replica.build_entry())

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
        _started.append(daemon)
        await daemon.start(self.folder)
        return daemon

    async def wait_until_ready(self) -> None:
        """Wait until all daemons are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.1)

    async def replace_replica(self, old: Replica, new: Replica) -> None:
        """Start a replica; another one drains and then exits."""
        await self.add_replica(new)
        old.state = 'draining'
        self.beat(old)
        await asyncio.sleep(LINGER_S)
        self.replicas.remove(old)
        self.store.put('keyed.servers', old.name, None)
        old.stop()

    async def run_heartbeats(self) -> None:
        """Renew the entries of the replicas."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas:
                self.beat(replica)


@contextlib.asynccontextmanager
async def open_deployment(record: Record) -> AsyncIterator[Deployment]:
    """Open a deployment, and end all its processes."""
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(record=record, folder=Path(name))
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


def run_case(play: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Run a case, and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    signal.signal(signal.SIGTERM, _end_at_signal)
    try:
        record = Record(Path(os.environ['RECORD']))
        has_trouble = os.environ.get('TROUBLE', '1') != '0'
        record.write(f'trouble: {has_trouble}')

        async def run() -> bool:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                return await play(record, has_trouble)

        is_broken = anyio.run(run)
    except Exception as error:
        sys.stderr.write(f'the case could not run: {error!r}\n')
        sys.exit(NOT_RUN)
    record.write('the rule was broken' if is_broken else 'the rule held')
    sys.exit(BROKEN if is_broken else HELD)


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
