"""Answers of the chat interface that the daemon ends before they are complete.

Guards against attempts at a silent engine, and requests beside a stop, that
end although nothing takes their place.
"""

import functools

import anyio
import pytest
from attrs import evolve

from laurelwind.protocol.messages import OutcomeReport
from standins.documents import LARGE_VERSION, LATENCY_WORKSPACE_KEY
from standins.fleet import run_fleet
from tests.helpers import (
    build_chat_body,
    publish_demo_configuration,
    read_charges,
    send_deposit,
    wait_for_members,
    wait_until,
)

pytestmark = pytest.mark.anyio


async def send_chat(fleet, address, *, stream=True):
    return await fleet.caller.request(
        'POST',
        f'{address}/v1/chat/completions',
        key=LATENCY_WORKSPACE_KEY,
        body=build_chat_body('a report', model=LARGE_VERSION, stream=stream),
    )


def take_engines_down(fleet):
    for engine in fleet.standins.engines[1:]:
        engine.switches.down = True


def fill_engines(fleet):
    (daemon,) = fleet.daemons.values()
    for index in range(1, len(fleet.standins.engines)):
        load = daemon.loads.get(fleet.standins.addresses[f'engine{index}'])
        load.in_flight = 10_000


def spend_retries(fleet):
    (daemon,) = fleet.daemons.values()
    while daemon.budget.try_spend():
        """Spend the next one."""


@pytest.mark.parametrize(
    'rule_out_others', [take_engines_down, fill_engines, spend_retries]
)
async def test_an_answer_outlasts_the_silence_of_the_only_engine(
    monkeypatch, rule_out_others
):
    """Every pause is longer than the time-out, and the engine goes on."""
    monkeypatch.setattr(
        'laurelwind.coordination.attempts.PROGRESS_TIMEOUT_S', 0.1
    )
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        for engine in fleet.standins.engines:
            engine.switches.part_s = 0.2
        rule_out_others(fleet)
        answer = await send_chat(fleet, address)
        assert answer.body.endswith(b'data: [DONE]\n\n')


async def stop_during_request(fleet, send, is_begun):
    """Stop the first daemon during a request; return the caller's answer."""
    daemon = next(iter(fleet.daemons.values()))
    settings = daemon.settings
    daemon.settings = evolve(
        settings, limits=evolve(settings.limits, stop_timeout_s=2)
    )
    answers = []

    async def request():
        answers.append(await send())

    with anyio.fail_after(5):
        async with anyio.create_task_group() as group:
            group.start_soon(request)
            await wait_until(is_begun)
            await daemon.close()
    return answers[0]


async def stop_during_chat(fleet, address, *, stream=True):
    return await stop_during_request(
        fleet,
        functools.partial(send_chat, fleet, address, stream=stream),
        lambda: any(engine.in_flight for engine in fleet.standins.engines),
    )


async def test_a_request_that_a_stop_ends_gets_an_answer():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        for engine in fleet.standins.engines:
            engine.switches.first_part_s = 30
        answer = await stop_during_chat(fleet, address)
        assert answer.status in {503, 504}


async def test_an_answer_that_a_stop_ends_has_an_error_and_is_charged():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        for engine in fleet.standins.engines:
            engine.switches.part_s = 30
        answer = await stop_during_chat(fleet, address)
        assert b'event: error' in answer.body
        (charge,) = read_charges(fleet)
        assert charge['lines'][0]['ended'] == 'cancelled'


async def test_an_answer_at_a_stop_does_not_wait_for_the_log():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        for engine in fleet.standins.engines:
            engine.switches.part_s = 30
        fleet.standins.log.switches.down = True
        answer = await stop_during_chat(fleet, address, stream=False)
        assert answer.status == 504


async def test_a_stop_keeps_the_outcome_of_a_call_that_ran(monkeypatch):
    """Without it, a repeated call cannot be answered."""
    async with run_fleet() as fleet:
        address, *_ = await publish_demo_configuration(fleet)
        await wait_for_members(fleet)
        daemon = fleet.daemons['a0']
        claims = daemon.fleet.claims
        send = claims._send
        recorded = []

        async def send_after_drain(owner, message, timeout_s):
            if not isinstance(message, OutcomeReport):
                return await send(owner, message, timeout_s)
            await wait_until(lambda: not daemon.caller_server.has_connections)
            done = await send(owner, message, timeout_s)
            recorded.append(done.is_safe)
            return done

        monkeypatch.setattr(claims, '_send', send_after_drain)
        answer = await stop_during_request(
            fleet,
            functools.partial(send_deposit, fleet, address, 'deposit-1'),
            lambda: fleet.standins.plain.runs,
        )
        assert answer.status == 504
        assert recorded == [True]


async def test_no_slot_stays_reserved_after_an_engine_has_taken_over(
    monkeypatch,
):
    """The slot of a retry is reserved before the silent engine is left."""
    monkeypatch.setattr(
        'laurelwind.coordination.attempts.PROGRESS_TIMEOUT_S', 0.1
    )
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        for engine in fleet.standins.engines:
            engine.switches.silent_after = 3
            engine.switches.faulty_answers = 1
        answer = await send_chat(fleet, address)
        assert answer.body.endswith(b'data: [DONE]\n\n')
        (daemon,) = fleet.daemons.values()
        loads = [
            daemon.loads.get(fleet.standins.addresses[f'engine{index}'])
            for index in range(len(fleet.standins.engines))
        ]
        assert [load.in_flight for load in loads] == [0, 0, 0]
