"""A daemon process, its environment, and callers that misuse it.

The crowds and the bounds were fixed on commit 807512a, before there were
limits on callers.  They stay as they are.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import anyio
import attrs
import httpcore
import pytest

from laurelwind.relay_settings import RelaySettings
from laurelwind.transport.server import HttpServer
from standins.addresses import find_free_addresses
from standins.relayed_endpoint import RelayedEndpoint
from standins.run_log import RunLog
from standins.store import StoreStandin

HOST = 'forms.example'
KEY = 'key-of-forms'
# The smallest instance.
MEMORY_MB = 128
MAX_FDS = 128
# Documented limits of a table.
MAX_BODY_BYTES = 4_194_304
MAX_HEADER_BYTES = 16_384
# Size at which a test ends the process, so that it leaves memory for others.
MAX_TEST_MB = 3 * MEMORY_MB
# Buffer of what a caller has sent and of answers it has not read.
BUFFER_BYTES = 65_536
# Seconds without progress after which a caller stops to send and stays open.
STALL_S = 3
TRIES = 5
_LISTENERS = ('callers', 'readiness', 'entries', 'metrics', 'peers')
_SETTINGS = """\
store = "{store}"
[daemon]
name = "d0"
zone = "a"
[listen]
callers = "{callers}"
readiness = "{readiness}"
entries = "{entries}"
metrics = "{metrics}"
peers = "{peers}"
"""
# Settings of commit 807512a have no such section, and unknown ones are refused.
_LIMITS = f"""\
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_FDS}
"""
_KB = 1024


class DaemonProcess:
    """A daemon of the platform program, with a store and one endpoint."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.store = StoreStandin()
        self.endpoint = RelayedEndpoint(
            name='e1',
            service='pool',
            run_log=RunLog(),
            rng=random.Random(1),
        )
        self.addresses = dict(
            zip(_LISTENERS, find_free_addresses(len(_LISTENERS)), strict=True)
        )
        self.process = None
        self.last_peak_mb = 0

    async def start(self, group):
        server = HttpServer(address='127.0.0.1:0')
        await server.start(group, self.store)
        await self.endpoint.start(group)
        self.store.put('keyed.op', 'config', build_table())
        self._register('e1', 'pool', self.endpoint.address)
        # It accepts connections, and reads nothing.
        self._unread = socket.create_server(('127.0.0.1', 0))
        port = self._unread.getsockname()[1]
        self._register('s1', 'slow', f'127.0.0.1:{port}')
        text = _SETTINGS.format(store=server.address, **self.addresses)
        if 'limits' in attrs.fields_dict(RelaySettings):
            text += _LIMITS
        settings = self.folder / 'd0.toml'
        settings.write_text(text)
        with (self.folder / 'd0.log').open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'laurelwind.platform'],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'LAURELWIND_CONFIG': str(settings)},
            )
        with anyio.fail_after(60):
            while not await self._is_ready():
                assert self.is_running, self.read_log()
                await anyio.sleep(0.05)
            # The other listeners start after that of the readiness probe.
            for address in self.addresses.values():
                await self._wait_until_listening(address)

    @property
    def is_running(self):
        return self.process.poll() is None

    @property
    def peak_mb(self):
        """Largest resident size of the process so far, in MB of 2**20 bytes."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM'):
                self.last_peak_mb = int(line.split()[1]) // _KB
        # A process that is just ending has no such line.
        return self.last_peak_mb

    @property
    def open_descriptors(self):
        return len(list(Path(f'/proc/{self.process.pid}/fd').iterdir()))

    @property
    def is_within_memory(self):
        return self.is_running and self.peak_mb <= MEMORY_MB

    async def watch_memory(self):
        """Kill the process once it has grown far beyond its bound."""
        while self.is_running:
            if self.peak_mb > MAX_TEST_MB:
                self.process.kill()
                return
            await anyio.sleep(0.01)

    def read_log(self):
        return (self.folder / 'd0.log').read_text()[-2000:]

    def kill(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self._unread.close()

    async def send_ordinary_request(self):
        """Return the status of a request, which is repeated if refused."""
        status = None
        for number in range(TRIES):
            with contextlib.suppress(OSError, *_FAILURES):
                status = await self._send_once(number)
            if status == 200:
                break
            await anyio.sleep(1)
        return status

    async def check(self):
        """Check what must hold whatever callers send."""
        if self.is_running:
            status = await self.send_ordinary_request()
        if not self.is_running:
            print(f'ended; peak {self.last_peak_mb} MB')
            pytest.fail(f'the process ended at {self.last_peak_mb} MB')
        peak_mb = self.peak_mb
        descriptors = self.open_descriptors
        seen = f'peak {peak_mb} MB, {descriptors} descriptors, status {status}'
        print(seen)
        assert peak_mb <= MEMORY_MB, seen
        assert descriptors <= MAX_FDS, seen
        assert status == 200, seen

    async def _send_once(self, number):
        with anyio.fail_after(10):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    'POST',
                    f'http://{self.addresses["callers"]}/book/{number}/10',
                    headers={
                        'Host': HOST,
                        'X-Request-Id': f'ordinary-{number}',
                        'Authorization': f'Bearer {KEY}',
                        'Content-Length': '6',
                    },
                    content=b'hall 3',
                )
        return answer.status

    async def _is_ready(self):
        with contextlib.suppress(OSError, *_FAILURES):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    'GET', f'http://{self.addresses["readiness"]}/readiness'
                )
                return answer.status == 200
        return False

    async def _wait_until_listening(self, address):
        host, _, port = address.rpartition(':')
        while True:
            with contextlib.suppress(OSError):
                async with await anyio.connect_tcp(host, int(port)):
                    return
            await anyio.sleep(0.05)

    def _register(self, name, service, address):
        entry = {
            'service': service,
            'address': address,
            'zone': 'a',
            'version': 'v1',
            'slots': 64,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1,
        }
        self.store.put('keyed.servers', name, entry)


class ChatDaemonProcess(DaemonProcess):
    """A daemon of the chat program, with the stand-ins that it needs."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.process = None
        self.last_peak_mb = 0
        self._standins = None

    async def start(self, group):
        scripts = Path(sys.executable).parent
        self._standins = self._spawn(
            scripts / 'laurelwind-standins', 'standins', self.folder
        )
        await self._read_json('standins.json')
        settings = self.folder / 'a0.toml'
        ready = self.folder / 'ready.json'
        self.process = self._spawn(
            scripts / 'laurelwindd', settings, '--ready-file', ready
        )
        running = await self._read_json('ready.json')
        self.addresses = {
            'callers': running['caller_address'],
            'admin': running['admin_address'],
        }

    def kill(self):
        for process in (self.process, self._standins):
            if process is not None:
                process.kill()
                process.wait()

    async def _send_once(self, number):
        with anyio.fail_after(10):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    'GET', f'http://{self.addresses["callers"]}/v1/entries'
                )
        return answer.status

    async def _read_json(self, name):
        path = self.folder / name
        with anyio.fail_after(60):
            while not path.exists() or not path.stat().st_size:
                await anyio.sleep(0.05)
        return json.loads(path.read_bytes())

    def _spawn(self, *command):
        with (self.folder / 'd0.log').open('ab') as log:
            return subprocess.Popen(command, stdout=log, stderr=log)


_FAILURES = (
    TimeoutError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def build_table():
    return {
        'version': 1,
        'routes': [
            {
                'name': name,
                'host': HOST,
                'path_prefix': f'/{name}/',
                'kind': 'non_idempotent',
                'timeout_ms': 3000,
                'target_latency_ms': 1000,
                'max_attempts': 2,
                'service': service,
            }
            for name, service in (('book', 'pool'), ('slow', 'slow'))
        ],
        'services': [{'name': 'pool'}, {'name': 'slow'}],
        'tenants': [{'name': 'forms', 'api_keys': [KEY]}],
        'limits': {
            'max_body_bytes': MAX_BODY_BYTES,
            'max_header_bytes': MAX_HEADER_BYTES,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def build_head(path='/book/1/10', method='POST', **headers):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Authorization: Bearer {KEY}',
        'X-Request-Id: r1',
        *(f'{name}: {text}' for name, text in headers.items()),
    ]
    return '\r\n'.join((*lines, '', '')).encode()


class Crowd:
    """Callers that send without reading, and keep their connections open.

    :ivar daemon: the daemon that they send to; once it has exceeded the bound
        of its memory, nothing more is sent.
    :ivar sent_bytes: bytes that were sent so far.
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.sent_bytes = 0
        self._sockets = []

    async def send(self, listener, count, pieces, buffer_bytes=BUFFER_BYTES):
        """Send from some connections at once until nothing gets through.

        :param listener: name of the listener.
        :param count: number of connections.
        :param pieces: what each of them sends, piece by piece.
        :param buffer_bytes: size of the buffers of its socket.
        """
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(
                    self._run_caller, listener, pieces, buffer_bytes
                )

    def close(self):
        for caller in self._sockets:
            caller.close()

    async def _run_caller(self, listener, pieces, buffer_bytes):
        host, _, port = self.daemon.addresses[listener].rpartition(':')
        caller = socket.socket()
        self._sockets.append(caller)
        caller.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            caller.setsockopt(socket.SOL_SOCKET, option, buffer_bytes)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            with anyio.fail_after(STALL_S):
                await loop.sock_connect(caller, (host, int(port)))
            for piece in pieces:
                if not self.daemon.is_within_memory:
                    return
                with anyio.fail_after(STALL_S):
                    await loop.sock_sendall(caller, piece)
                self.sent_bytes += len(piece)


@contextlib.asynccontextmanager
async def run_daemon(folder, program=DaemonProcess):
    daemon = program(folder)
    crowd = Crowd(daemon)
    async with anyio.create_task_group() as group:
        try:
            await daemon.start(group)
            group.start_soon(daemon.watch_memory)
            with anyio.fail_after(100):
                yield daemon, crowd
        finally:
            crowd.close()
            daemon.kill()
        group.cancel_scope.cancel()
