"""The demo: sends requests to a fleet and checks the router's guarantees."""

import abc
import os
import signal
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

import anyio
import orjson
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from standins.documents import (
    CERTAINTY_WORKSPACE,
    CERTAINTY_WORKSPACE_KEY,
    LATENCY_WORKSPACE,
    LATENCY_WORKSPACE_KEY,
    SMALL_VERSION,
    build_document,
)
from standins.fleet import OPERATOR_KEY, HttpAnswer, HttpCaller, LocalFleet

_POLL_S: Final = 0.02
_READY_TIMEOUT_S: Final = 30.0
_STATUS_OK: Final = 200
_STATUS_GONE: Final = 410
_STATUS_UNAUTHORIZED: Final = 401
_DONE_EVENT: Final = b'data: [DONE]\n\n'
_DRAFT_COUNT: Final = 8
_LONG_STREAM_COUNT: Final = 12
_LONG_STREAM_PARTS: Final = 120
_PASS_RATE: Final = 0.5
_PAUSE_BEFORE_STOP_S: Final = 0.15
_ENTRY_REMOVAL_TIMEOUT_S: Final = 5.0


@frozen(kw_only=True)
class DaemonAddresses:
    """Name and addresses of a daemon."""

    name: str
    caller_address: str
    admin_address: str


class DemoFleet(abc.ABC):
    """The daemons and stand-ins that the demo runs against.

    :ivar document: configuration to publish.
    :ivar plain_address: address of the plain service.
    :ivar engine_addresses: addresses of the engines.
    """

    daemons: list[DaemonAddresses]
    document: dict[str, Any]
    plain_address: str
    engine_addresses: Sequence[str]

    @abc.abstractmethod
    async def stop_daemon(self, name: str) -> None:
        """Stop a daemon gracefully and wait until it has ended.

        :param name: name of the daemon.
        """


class LocalDemoFleet(DemoFleet):
    """Daemons and stand-ins in this process.

    :param fleet: the daemons and stand-ins.
    """

    def __init__(self, *, fleet: LocalFleet) -> None:
        self._fleet = fleet
        addresses = fleet.standins.addresses
        self.document = build_document(addresses, fleet.standins.engine_zones)
        self.plain_address = addresses['plain']
        self.engine_addresses = _list_engine_addresses(addresses)
        self.daemons = [
            DaemonAddresses(
                name=name,
                caller_address=daemon.caller_server.address,
                admin_address=daemon.admin_server.address,
            )
            for name, daemon in fleet.daemons.items()
        ]

    async def stop_daemon(self, name: str) -> None:
        """Stop a daemon; see :class:`DemoFleet`."""
        await self._fleet.stop_daemon(name)


class ProcessDemoFleet(DemoFleet):
    """Daemons and stand-ins in separate processes.

    :param folder: directory where they write their addresses.
    """

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, int] = {}

    async def open(self, names: Sequence[str], caller: HttpCaller) -> None:
        """Wait until every daemon is ready, and add them to the instance list.

        :param names: names of the daemons.
        :param caller: HTTP client.
        """
        addresses = await _wait_for_json_file(self._folder / 'standins.json')
        ready_instances = [
            await _wait_for_json_file(self._folder / f'{name}.ready.json')
            for name in names
        ]
        await caller.request(
            'POST',
            f'{addresses["instances"]}/instances',
            body={'instances': ready_instances},
        )
        self._load_addresses(addresses, ready_instances)

    async def stop_daemon(self, name: str) -> None:
        """Stop a daemon; see :class:`DemoFleet`."""
        process_id = self._processes.pop(name)
        os.kill(process_id, signal.SIGTERM)
        while _is_running(process_id):
            await anyio.sleep(_POLL_S)

    def _load_addresses(
        self,
        addresses: Mapping[str, str],
        ready_instances: Sequence[Mapping[str, Any]],
    ) -> None:
        self.document = build_document(addresses)
        self.plain_address = addresses['plain']
        self.engine_addresses = _list_engine_addresses(addresses)
        self._processes = {
            instance['name']: instance['process_id']
            for instance in ready_instances
        }
        self.daemons = [
            DaemonAddresses(
                name=instance['name'],
                caller_address=instance['caller_address'],
                admin_address=instance['admin_address'],
            )
            for instance in ready_instances
        ]


@define(kw_only=True)
class DemoReport:
    """Results of a run of the demo.

    :ivar answers: lines with the workspace and version of each answer.
    :ivar checks: description of each check and whether it passed.
    :ivar charges: lines with the charges of each workspace.
    :ivar delivered: number of completely answered requests by workspace.
    """

    answers: list[str] = field(factory=list)
    checks: list[tuple[str, bool]] = field(factory=list)
    charges: list[str] = field(factory=list)
    delivered: dict[str, int] = field(factory=dict)

    @property
    def all_checks_passed(self) -> bool:
        """Whether every check passed."""
        return all(passed for _, passed in self.checks)

    def record_check(self, description: str, *, passed: bool) -> None:
        """Record the result of a check.

        :param description: the guarantee that was checked.
        :param passed: whether the check passed.
        """
        self.checks.append((description, passed))

    def record_delivery(self, workspace: str) -> None:
        """Count a completely answered request.

        :param workspace: workspace that sent the request.
        """
        count = self.delivered.get(workspace, 0)
        self.delivered[workspace] = count + 1


class Scenario:
    """Sequence of requests and checks of the demo.

    :param fleet: daemons and stand-ins to send requests to.
    :param caller: HTTP client.
    """

    def __init__(self, *, fleet: DemoFleet, caller: HttpCaller) -> None:
        self._fleet = fleet
        self._caller = caller
        self.report = DemoReport()

    async def run(self) -> DemoReport:
        """Run every step and return the results."""
        await self._wait_for_members()
        await self._check_publishing()
        await self._check_drafts()
        token = await self._check_session()
        await self._check_deposit()
        await self._check_wrong_key()
        await self._check_graceful_stop()
        await self._check_withdrawal(token)
        await self._check_charges()
        return self.report

    async def _wait_for_members(self) -> None:
        """Wait until every daemon lists all daemons as entries."""
        for daemon in self._fleet.daemons:
            entry_names: list[str] = []
            while len(entry_names) < len(self._fleet.daemons):
                entry_names = await self._list_entry_names(
                    daemon.caller_address
                )
                await anyio.sleep(_POLL_S)

    async def _check_publishing(self) -> None:
        for address in self._fleet.engine_addresses:
            await self._caller.request(
                'POST',
                f'{address}/faults',
                body={'pass_rates': {SMALL_VERSION: _PASS_RATE}},
            )
        first_answer = await self._publish_document(-1)
        self.report.record_check(
            'a configuration with two workspaces is accepted',
            passed=first_answer.status == _STATUS_OK,
        )
        conflict_answer = await self._publish_document(-1)
        self.report.record_check(
            'a second proposal on the same base is refused',
            passed=conflict_answer.status != _STATUS_OK,
        )
        await self._wait_for_offset(0)

    async def _publish_document(self, base: int) -> HttpAnswer:
        return await self._caller.request(
            'POST',
            f'{self._admin_address}/admin/v1/configuration?base={base}',
            key=OPERATOR_KEY,
            body=self._fleet.document,
        )

    async def _wait_for_offset(self, offset: int) -> None:
        for daemon in self._fleet.daemons:
            while await self._read_offset(daemon) < offset:
                await anyio.sleep(_POLL_S)

    async def _read_offset(self, daemon: DaemonAddresses) -> int:
        answer = await self._caller.request(
            'GET', f'{daemon.admin_address}/ready'
        )
        return int(answer.read_json()['offset'])

    async def _check_drafts(self) -> None:
        """Check that streamed and unary drafts of both workspaces complete."""
        complete_count = 0
        for index in range(_DRAFT_COUNT):
            workspace, key = _select_workspace(index)
            answer = await self._send_chat(
                index, key, f'draft {index}', stream=index % 2 == 0
            )
            is_complete = _is_complete(answer)
            complete_count += int(is_complete)
            if is_complete:
                self.report.record_delivery(workspace)
            self._record_answer(workspace, answer)
        self.report.record_check(
            f'{_DRAFT_COUNT} drafts, streamed and whole, are answered whole',
            passed=complete_count == _DRAFT_COUNT,
        )

    async def _check_session(self) -> str:
        """Check that a session keeps its version on every daemon."""
        address = self._fleet.daemons[0].caller_address
        opening_answer = await self._caller.request(
            'POST',
            f'{address}/v1/sessions',
            key=CERTAINTY_WORKSPACE_KEY,
            body={'model': SMALL_VERSION},
        )
        session = opening_answer.read_json()
        versions = set()
        for index, _ in enumerate(self._fleet.daemons):
            answer = await self._send_chat(
                index,
                CERTAINTY_WORKSPACE_KEY,
                f'turn {index}',
                headers={'X-Session': session['session']},
            )
            versions.add(answer.headers.get('x-model-version'))
            self.report.record_delivery(CERTAINTY_WORKSPACE)
            self._record_answer(CERTAINTY_WORKSPACE, answer)
        self.report.record_check(
            'a session keeps its version at every entry',
            passed=versions == {session['version']},
        )
        return str(session['session'])

    async def _check_deposit(self) -> None:
        """Check that a deposit sent to every daemon at once runs once."""
        answers: list[HttpAnswer] = []

        async def send(address: str) -> None:
            answers.append(await self._send_deposit(address, 'deposit-1'))

        async with anyio.create_task_group() as group:
            for daemon in self._fleet.daemons:
                group.start_soon(send, daemon.caller_address)
        repeat_answer = await self._send_deposit(
            self._fleet.daemons[-1].caller_address, 'deposit-1'
        )
        self.report.record_delivery(LATENCY_WORKSPACE)
        plain = self._fleet.plain_address
        runs = await self._caller.request('GET', f'{plain}/runs')
        self.report.record_check(
            'a deposit sent to every entry at once runs once',
            passed=runs.read_json() == {'deposit-1': 1},
        )
        self.report.record_check(
            'its repeat gets the recorded answer',
            passed=repeat_answer.status == _STATUS_OK,
        )
        statuses = sorted(answer.status for answer in answers)
        self.report.answers.append(
            f'{LATENCY_WORKSPACE}: deposit-1 at every entry at once: {statuses}'
        )

    async def _send_deposit(self, address: str, key: str) -> HttpAnswer:
        return await self._caller.request(
            'POST',
            f'{address}/v1/services/bookings/deposits',
            key=LATENCY_WORKSPACE_KEY,
            body={'hall': 3},
            headers={'Idempotency-Key': key},
        )

    async def _check_wrong_key(self) -> None:
        answer = await self._send_chat(0, 'a-key-nobody-has', 'hello')
        error = answer.read_json()['error']
        self.report.record_check(
            'a wrong key is refused and nothing is run',
            passed=answer.status == _STATUS_UNAUTHORIZED
            and error['run'] == 'not_run',
        )

    async def _check_graceful_stop(self) -> None:
        """Check that a graceful stop of a daemon cuts none of its streams."""
        leaving = self._fleet.daemons[-1]
        answers: list[HttpAnswer] = []
        async with anyio.create_task_group() as group:
            for index in range(_LONG_STREAM_COUNT):
                group.start_soon(
                    self._send_long_stream, leaving, index, answers
                )
            await anyio.sleep(_PAUSE_BEFORE_STOP_S)
            await self._fleet.stop_daemon(leaving.name)
        self._fleet.daemons.pop()
        self.report.record_check(
            f'a graceful stop cuts none of {_LONG_STREAM_COUNT} open streams',
            passed=len(answers) == _LONG_STREAM_COUNT
            and all(_is_complete(answer) for answer in answers),
        )
        await self._check_entry_removal(leaving)

    async def _send_long_stream(
        self, daemon: DaemonAddresses, index: int, answers: list[HttpAnswer]
    ) -> None:
        answer = await self._caller.request(
            'POST',
            f'{daemon.caller_address}/v1/chat/completions',
            key=LATENCY_WORKSPACE_KEY,
            body={
                'model': SMALL_VERSION,
                'stream': True,
                'max_tokens': _LONG_STREAM_PARTS,
                'messages': [{'role': 'user', 'content': f'report {index}'}],
            },
        )
        self.report.record_delivery(LATENCY_WORKSPACE)
        answers.append(answer)

    async def _check_entry_removal(self, stopped: DaemonAddresses) -> None:
        address = self._fleet.daemons[0].caller_address
        names = [stopped.name]
        with anyio.move_on_after(_ENTRY_REMOVAL_TIMEOUT_S):
            while stopped.name in names:
                names = await self._list_entry_names(address)
        self.report.record_check(
            'callers are no longer sent to the stopped daemon',
            passed=stopped.name not in names
            and len(names) == len(self._fleet.daemons),
        )

    async def _list_entry_names(self, address: str) -> list[str]:
        answer = await self._caller.request('GET', f'{address}/v1/entries')
        return [entry['name'] for entry in answer.read_json()['entries']]

    async def _check_withdrawal(self, token: str) -> None:
        """Check that a withdrawn version ends its sessions and gets no work."""
        withdrawal = await self._caller.request(
            'PUT',
            f'{self._admin_address}/admin/v1/versions/{SMALL_VERSION}/state',
            key=OPERATOR_KEY,
            body={'state': 'withdrawn'},
        )
        await self._wait_for_offset(withdrawal.read_json()['offset'])
        started_before = await self._count_started_answers()
        session_answer = await self._send_chat(
            0, CERTAINTY_WORKSPACE_KEY, 'turn', headers={'X-Session': token}
        )
        answer = await self._send_chat(
            1, LATENCY_WORKSPACE_KEY, 'one more draft'
        )
        self.report.record_delivery(LATENCY_WORKSPACE)
        self._record_answer(LATENCY_WORKSPACE, answer)
        self.report.record_check(
            'a withdrawn version gets no new work',
            passed=started_before == await self._count_started_answers()
            and _is_complete(answer),
        )
        self.report.record_check(
            'its session ends with an error that says so',
            passed=session_answer.status == _STATUS_GONE,
        )

    async def _count_started_answers(self) -> int:
        total = 0
        for address in self._fleet.engine_addresses:
            answer = await self._caller.request('GET', f'{address}/status')
            total += answer.read_json()['started'].get(SMALL_VERSION, 0)
        return total

    async def _check_charges(self) -> None:
        """Check that each delivered request was charged once."""
        answer = await self._caller.request(
            'GET', f'{self._admin_address}/admin/v1/charges', key=OPERATOR_KEY
        )
        usage = answer.read_json()
        self.report.record_check(
            'each delivered request is charged once, to its workspace',
            passed=usage['requests'] == self.report.delivered,
        )
        self.report.charges = [
            _describe_charge(line) for line in usage['lines']
        ]

    @property
    def _admin_address(self) -> str:
        return self._fleet.daemons[0].admin_address

    async def _send_chat(
        self,
        index: int,
        key: str,
        prompt: str,
        *,
        stream: bool = False,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        daemon = self._fleet.daemons[index % len(self._fleet.daemons)]
        return await self._caller.request(
            'POST',
            f'{daemon.caller_address}/v1/chat/completions',
            key=key,
            body={
                'model': 'draft',
                'stream': stream,
                'messages': [{'role': 'user', 'content': prompt}],
            },
            headers=headers,
        )

    def _record_answer(self, workspace: str, answer: HttpAnswer) -> None:
        version = answer.headers.get('x-model-version', 'nobody')
        suffix = ''
        if answer.headers.get('x-escalated') == 'true':
            suffix = ', after a cheaper answer failed its rating'
        self.report.answers.append(f'{workspace}: {version}{suffix}')


async def run_local_demo(fleet: LocalFleet, group: TaskGroup) -> DemoReport:
    """Run the demo with daemons and stand-ins in this process.

    :param fleet: the daemons and stand-ins, not started yet.
    :param group: task group that the fleet runs in.
    """
    await fleet.start(group)
    scenario = Scenario(fleet=LocalDemoFleet(fleet=fleet), caller=fleet.caller)
    report = await scenario.run()
    await fleet.close()
    return report


async def run_process_demo(folder: Path, names: Sequence[str]) -> DemoReport:
    """Run the demo against daemons in separate processes.

    :param folder: directory where they write their addresses.
    :param names: names of the daemons.
    """
    caller = HttpCaller()
    fleet = ProcessDemoFleet(folder=folder)
    await fleet.open(names, caller)
    report = await Scenario(fleet=fleet, caller=caller).run()
    await caller.close()
    return report


async def _wait_for_json_file(path: Path) -> Any:
    with anyio.fail_after(_READY_TIMEOUT_S):
        while not path.exists() or not path.stat().st_size:
            await anyio.sleep(_POLL_S)
    return orjson.loads(path.read_bytes())


def _is_running(process_id: int) -> bool:
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    status = Path(f'/proc/{process_id}/stat')
    return not status.exists() or ' Z ' not in status.read_text()


def _is_complete(answer: HttpAnswer) -> bool:
    if answer.status != _STATUS_OK:
        return False
    if answer.headers.get('content-type') == 'text/event-stream':
        return answer.body.endswith(_DONE_EVENT)
    return bool(answer.read_json()['choices'][0]['finish_reason'] == 'stop')


def _describe_charge(line: Mapping[str, Any]) -> str:
    workspace, reference = line['workspace'], line['reference']
    steps, amount = line['steps'], line['amount']
    return f'{workspace}: {reference}: {steps} steps, {amount} micro-units'


def _select_workspace(index: int) -> tuple[str, str]:
    if index % 4 < 2:
        return LATENCY_WORKSPACE, LATENCY_WORKSPACE_KEY
    return CERTAINTY_WORKSPACE, CERTAINTY_WORKSPACE_KEY


def _list_engine_addresses(addresses: Mapping[str, str]) -> Sequence[str]:
    return [
        address
        for name, address in addresses.items()
        if name.startswith('engine')
    ]
