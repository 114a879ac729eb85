"""Stand-ins for the platform, replicas and callers, on loopback addresses.

They need nothing beyond the standard library.  The store follows the page
PROTOCOL.md, as far as the daemon calls it.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
PARTITIONS = 24
# Below the range of outgoing channels.
PORTS = range(20000, 32000)
_given_ports: set[int] = set()
KEY = 'n2ctnfzs989anu6wsjnb'
CALLER_HOST = 'ficu95.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2

Headers = dict[str, str]


def find_free_port() -> int:
    """Return a port that is free, and that no outgoing channel gets."""
    for port in random.SystemRandom().sample(PORTS, len(PORTS)):
        if port in _given_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            _given_ports.add(port)
            return port
    raise RuntimeError('no free port')


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the first line and the headers of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, Headers, bytes]:
    """Read a request with a length or without a body."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ')
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length) if length else b''
    return method, target, headers, body


class Server:
    """An HTTP server on a free port."""

    def __init__(self) -> None:
        self.address = ''
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, HOST, port, limit=2**24
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    def reset_all(self) -> None:
        """Reset all connections, as a process that is killed does."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's log store: keyed topics and one consumer group."""

    def __init__(self) -> None:
        super().__init__()
        # Seconds by which each answer is late.
        self.delay_s = 0.0
        self._topics: dict[str, list[bytes]] = {}
        self._changed = asyncio.Event()
        self._members: dict[str, float] = {}
        self._topic_names: list[str] = []
        self._generation = 1

    def put(self, topic: str, key: str, document: Any) -> None:
        """Write a record as the operator or a replica."""
        body = b'' if document is None else json.dumps(document).encode()
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + body)

    def get(self, topic: str, key: str) -> Any:
        """Return the newest content of a key, or ``None``."""
        found = self._list_newest(topic).get(key)
        return None if found is None else json.loads(found[1])

    def list_members(self) -> list[str]:
        """Return the names of the members."""
        self._expire()
        return sorted(self._members)

    def _append(self, topic: str, record: bytes) -> int:
        records = self._topics.setdefault(topic, [])
        records.append(record)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def _list_newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        newest = {}
        for offset, record in enumerate(self._topics.get(topic, ())):
            size = record[0]
            newest[record[1 : size + 1].decode()] = (offset, record[size + 1 :])
        return {key: entry for key, entry in newest.items() if entry[1]}

    def _expire(self) -> None:
        now = time.monotonic()
        for name, ends_at in tuple(self._members.items()):
            if ends_at < now:
                self._members.pop(name)
                self._generation += 1

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve calls."""
        while True:
            method, target, _, body = await read_request(reader)
            path, _, text = target.partition('?')
            query = dict(
                pair.partition('=')[::2] for pair in text.split('&') if pair
            )
            status, answer = await self._answer(method, path, query, body)
            await asyncio.sleep(self.delay_s)
            head = (
                f'HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n\r\n'
            )
            writer.write(head.encode() + answer)
            await writer.drain()

    async def _answer(
        self, method: str, path: str, query: Headers, body: bytes
    ) -> tuple[int, bytes]:
        if path == '/log-read':
            return await self._read(query)
        answers = {
            '/log-newest': lambda: self._answer_newest(query),
            '/log-append': lambda: self._answer_append(query, body),
            '/log-join': lambda: self._join(json.loads(body)),
            '/log-leave': lambda: self._leave(json.loads(body)),
            '/log-owners': self._answer_owners,
        }
        return answers.get(path, lambda: (404, b'{}'))()

    async def _read(self, query: Headers) -> tuple[int, bytes]:
        topic, start = query['topic'], int(query['from'])
        ends_at = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            records = self._topics.get(topic, [])
            left_s = ends_at - time.monotonic()
            if start > len(records):
                return 410, b'{"first":0}'
            if len(records) > start or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        rows = [struct.pack('>I', len(row)) + row for row in records[start:]]
        return 200, struct.pack('>QQ', len(records), 0) + b''.join(rows)

    def _answer_newest(self, query: Headers) -> tuple[int, bytes]:
        topic = query['topic']
        rows = [
            {
                'key': key,
                'value': base64.b64encode(body).decode(),
                'offset': offset,
            }
            for key, (offset, body) in self._list_newest(topic).items()
        ]
        page = {
            'items': rows,
            'has_more': False,
            'end_offset': len(self._topics.get(topic, ())),
        }
        return 200, json.dumps(page).encode()

    def _answer_append(self, query: Headers, body: bytes) -> tuple[int, bytes]:
        topic = query['topic']
        end = len(self._topics.get(topic, ()))
        if 'at' in query and int(query['at']) != end:
            return 412, json.dumps({'end_offset': end}).encode()
        self._append(topic, body[4:])
        page = {'offset': end, 'end_offset': end + 1}
        return 200, json.dumps(page).encode()

    def _join(self, call: Any) -> tuple[int, bytes]:
        self._expire()
        if call['member'] not in self._members:
            self._generation += 1
        self._topic_names = call['topics']
        ends_at = time.monotonic() + call['ttl_ms'] / 1000
        self._members[call['member']] = ends_at
        page = {'generation': self._generation, 'parts': []}
        return 200, json.dumps(page).encode()

    def _leave(self, call: Any) -> tuple[int, bytes]:
        if self._members.pop(call['member'], None):
            self._generation += 1
        return 200, b'{}'

    def _answer_owners(self) -> tuple[int, bytes]:
        members = self.list_members()
        rows = []
        for index in range(PARTITIONS * len(self._topic_names)):
            topic = self._topic_names[index // PARTITIONS]
            member = members[index % len(members)] if members else ''
            rows.append([topic, index % PARTITIONS, member, 0])
        return 200, json.dumps({'parts': rows}).encode()


class Daemon:
    """A daemon process, started with the command of the deploy file."""

    def __init__(
        self, *, name: str, folder: Path, store: str, memory_mb: int = 150
    ) -> None:
        ports = {
            listener: f'{HOST}:{find_free_port()}'
            for listener in (
                'callers',
                'readiness',
                'entries',
                'metrics',
                'peers',
            )
        }
        self.name = name
        self.address = ports['callers']
        self.ready = ports['readiness']
        self.log = folder / f'{name}.log'
        self._settings = folder / f'{name}.toml'
        self._process: asyncio.subprocess.Process | None = None
        listen = '\n'.join(f'{k} = "{v}"' for k, v in ports.items())
        self._settings.write_text(
            f'store = "{store}"\n'
            f'[daemon]\nname = "{name}"\nzone = "lk-west-a"\n'
            f'region = "lk-west"\n[listen]\n{listen}\n'
            '[bounds]\nrevocation_s = 5000e-3\napply_s = 2000e-3\n'
            'drain_s = 2000e-3\nstop_s = 8\nentries_life_s = 5\n'
            'retry_share = 0.9\nretry_extra = 56\nretry_window_s = 10\n'
            'exposure_share = 0.15\ncontact_s = 3000e-3\n'
            '[regions]\n"lk-west-a" = "lk-west"\n'
            f'[limits]\nmemory_mb = {memory_mb}\nmax_fds = 4100\n'
            '[admission]\nstart_wait_s = 1.0\n'
            '[load]\nuses_pace = true\nplaces_by_forecast = true\n'
        )

    @property
    def pid(self) -> int:
        """Number of the process."""
        if self._process is None:
            raise RuntimeError('not started')
        return self._process.pid

    @property
    def status(self) -> int | None:
        """Exit status, or ``None`` while it runs."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['relay']['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['LAURELWIND_CONFIG'] = str(self._settings)
        with self.log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait until its readiness probe gives 200."""
        for _ in range(200):
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                answer = await asyncio.wait_for(
                    send_request(self.ready, 'GET', '/readiness', {}), 1
                )
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} did not become ready')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class Answer:
    """What a caller got."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = {}
        self.body = b''
        self.is_complete = False
        self.elapsed_s = 0.0


async def send_request(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b'',
) -> Answer:
    """Send a request on a new channel and read its answer to the end."""
    host, port = address.split(':')
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(host, int(port))
    answer = Answer()
    try:
        lines = [f'{method} {target} HTTP/1.1', f'Host: {CALLER_HOST}']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        await read_answer(reader, answer)
    except (OSError, EOFError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    answer.elapsed_s = time.monotonic() - started_at
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer."""
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split(' ')[1])
    if 'content-length' in answer.headers:
        length = int(answer.headers['content-length'])
        answer.body = await reader.readexactly(length)
        answer.is_complete = True
        return
    while answer.headers.get('transfer-encoding') == 'chunked':
        size = int(await reader.readline() or b'0', 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        answer.body += chunk
        if not size:
            answer.is_complete = True
            return


def build_headers(request_id: str, deadline_ms: int, **more: str) -> Headers:
    """Build the headers of a caller's request."""
    return {
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
        **{name.replace('_', '-'): text for name, text in more.items()},
    }


Case = Callable[[Record, Path, bool], Awaitable[bool]]


def run_case(
    case: Case, path: Path, *, has_trouble: bool, limit_s: float = 110
) -> None:
    """Run a case, and exit with its status.

    :param case: returns whether the rule held.
    :param path: file of its record.
    :param has_trouble: whether the case has its disruption.
    :param limit_s: longest time of the case in seconds.
    """
    # The daemons end with the script, also if it is stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(path)
    record.write(f'trouble: {has_trouble}')
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as work:
            held = asyncio.run(
                asyncio.wait_for(case(record, Path(work), has_trouble), limit_s)
            )
            status = HELD if held else BROKEN
    except (Exception, KeyboardInterrupt) as error:  # It could not run.
        record.write(f'could not run: {error!r}')
    record.write(f'exit status {status}')
    sys.exit(status)


async def stop_all(daemons: Iterable[Daemon]) -> None:
    """Kill daemons."""
    for daemon in daemons:
        await daemon.stop()
