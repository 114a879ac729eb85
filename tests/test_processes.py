"""Daemons as separate processes: frozen owners, kills, graceful stops."""

import json
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import httpcore
import pytest

from standins.documents import LATENCY_WORKSPACE_KEY, build_document
from standins.fleet import OPERATOR_KEY, HttpCaller

pytestmark = pytest.mark.anyio

SCRIPTS_FOLDER = Path(sys.executable).parent
NAMES = ('a0', 'b1', 'c2')


class Processes:
    """Stand-ins and three daemons, each in a separate process."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}
        self.caller = HttpCaller()

    async def start(self):
        self.spawn(
            'standins', SCRIPTS_FOLDER / 'laurelwind-standins', 'standins'
        )
        self.standins = await self.wait_for('standins.json')
        self.daemons = {}
        for name in NAMES:
            self.spawn(
                name,
                SCRIPTS_FOLDER / 'laurelwindd',
                self.folder / f'{name}.toml',
                '--ready-file',
                self.folder / f'{name}.ready.json',
                folder=False,
            )
        for name in NAMES:
            self.daemons[name] = await self.wait_for(f'{name}.ready.json')
        await self.caller.request(
            'POST',
            f'{self.standins["instances"]}/instances',
            body={'instances': list(self.daemons.values())},
        )
        for name in NAMES:
            while len(await self.list_entries(name)) < len(NAMES):
                await anyio.sleep(0.05)
        published = await self.caller.request(
            'POST',
            f'{self.daemons["a0"]["admin_address"]}'
            '/admin/v1/configuration?base=-1',
            key=OPERATOR_KEY,
            body=build_document(self.standins),
        )
        assert published.status == 200, published.body

    def spawn(self, name, program, *arguments, folder=True):
        folder_arguments = (self.folder,) if folder else ()
        with (self.folder / f'{name}.log').open('wb') as log:
            self.running[name] = subprocess.Popen(
                [program, *arguments, *folder_arguments], stderr=log, stdout=log
            )

    async def wait_for(self, name):
        path = self.folder / name
        with anyio.fail_after(30):
            while not path.exists() or not path.stat().st_size:
                await anyio.sleep(0.05)
        return json.loads(path.read_bytes())

    async def list_entries(self, name):
        address = self.daemons[name]['caller_address']
        answer = await self.caller.request('GET', f'{address}/v1/entries')
        return [entry['name'] for entry in answer.read_json()['entries']]

    async def book(self, name, key):
        address = self.daemons[name]['caller_address']
        return await self.caller.request(
            'POST',
            f'{address}/v1/services/bookings/deposits',
            key=LATENCY_WORKSPACE_KEY,
            body={},
            headers={'Idempotency-Key': key},
        )

    async def book_until_answered(self, names, key):
        with anyio.fail_after(30):
            while True:
                for name in names:
                    if (await self.book(name, key)).status == 200:
                        return
                await anyio.sleep(0.1)

    async def read_runs(self):
        answer = await self.caller.request(
            'GET', f'{self.standins["plain"]}/runs'
        )
        return answer.read_json()

    async def read_owned_partitions(self, name):
        answer = await self.caller.request(
            'GET',
            f'{self.daemons[name]["admin_address"]}/admin/v1/instances',
            key=OPERATOR_KEY,
        )
        return answer.read_json()['owned_partitions']

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def close(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


@pytest.fixture
async def processes(tmp_path):
    fleet_processes = Processes(tmp_path)
    try:
        await fleet_processes.start()
        yield fleet_processes
        await fleet_processes.caller.close()
    finally:
        fleet_processes.close()


async def test_a_frozen_owner_that_resumes_runs_no_call_twice(
    processes,
):
    keys = [f'deposit-{index}' for index in range(16)]
    for key in keys[:8]:
        await processes.book_until_answered(NAMES, key)
    owned_partitions = {
        name: await processes.read_owned_partitions(name) for name in NAMES
    }
    frozen = max(NAMES, key=lambda name: len(owned_partitions[name]))
    others = [name for name in NAMES if name != frozen]
    new_keys = [f'new-{index}' for index in range(8)]
    frozen_answers = []

    async def book_at_frozen(key):
        try:
            frozen_answers.append(await processes.book(frozen, key))
        except httpcore.ReadError:
            return

    async with anyio.create_task_group() as group:
        for key in keys[8:]:
            group.start_soon(book_at_frozen, key)
        await anyio.sleep(0.005)
        processes.signal(frozen, signal.SIGSTOP)
        # Keys in flight at the frozen entry may stay unanswered until it
        # resumes, and no other daemon runs them; all others are answered.
        for key in (*keys[:8], *new_keys):
            await processes.book_until_answered(others, key)
        for key in keys[8:]:
            assert (await processes.book(others[0], key)).status in {200, 409}
        processes.signal(frozen, signal.SIGCONT)
    for key in keys:
        await processes.book_until_answered(NAMES, key)
    runs = await processes.read_runs()
    assert runs == dict.fromkeys((*keys, *new_keys), 1)


async def test_a_killed_daemon_leaves_the_entries_and_its_claims_stay_valid(
    processes,
):
    for index in range(6):
        await processes.book_until_answered(NAMES, f'deposit-{index}')
    processes.signal('b1', signal.SIGKILL)
    with anyio.fail_after(15):
        while 'b1' in await processes.list_entries('a0'):
            await anyio.sleep(0.05)
    for index in range(6):
        await processes.book_until_answered(('a0', 'c2'), f'deposit-{index}')
    runs = await processes.read_runs()
    assert set(runs.values()) == {1}
    assert len(runs) == 6


async def test_a_stop_signal_lets_open_streams_finish(processes):
    address = processes.daemons['c2']['caller_address']
    answers = []

    async def stream(index):
        answers.append(
            await processes.caller.request(
                'POST',
                f'{address}/v1/chat/completions',
                key=LATENCY_WORKSPACE_KEY,
                body={
                    'model': 'drafter@large-1',
                    'stream': True,
                    'max_tokens': 200,
                    'messages': [{'role': 'user', 'content': str(index)}],
                },
            )
        )

    async with anyio.create_task_group() as group:
        for index in range(10):
            group.start_soon(stream, index)
        await anyio.sleep(0.2)
        processes.signal('c2', signal.SIGTERM)
    assert len(answers) == 10
    assert all(answer.body.endswith(b'[DONE]\n\n') for answer in answers)
    with anyio.fail_after(10):
        while processes.running['c2'].poll() is None:
            await anyio.sleep(0.05)
    assert processes.running['c2'].returncode == 0
