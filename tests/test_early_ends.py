"""Answers of the chat interface that the daemon ends before they are complete.

Guards against attempts at a silent engine, and requests beside a stop, that
end although nothing takes their place.
"""

import anyio
import pytest
from attrs import evolve

from standins.documents import LARGE_VERSION, LATENCY_WORKSPACE_KEY
from standins.fleet import run_fleet
from tests.helpers import (
    build_chat_body,
    publish_demo_configuration,
    wait_until,
)

pytestmark = pytest.mark.anyio


async def send_chat(fleet, address):
    return await fleet.caller.request(
        'POST',
        f'{address}/v1/chat/completions',
        key=LATENCY_WORKSPACE_KEY,
        body=build_chat_body('a report', model=LARGE_VERSION, stream=True),
    )


async def test_an_answer_outlasts_the_silence_of_the_only_engine(monkeypatch):
    """Every pause is longer than the time-out, and the engine goes on."""
    monkeypatch.setattr(
        'laurelwind.coordination.attempts.PROGRESS_TIMEOUT_S', 0.1
    )
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        first, *others = fleet.standins.engines
        first.switches.part_s = 0.2
        for engine in others:
            engine.switches.down = True
        answer = await send_chat(fleet, address)
        assert answer.body.endswith(b'data: [DONE]\n\n')


async def test_a_request_that_a_stop_ends_gets_an_answer():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        for engine in fleet.standins.engines:
            engine.switches.first_part_s = 30
        (daemon,) = fleet.daemons.values()
        settings = daemon.settings
        daemon.settings = evolve(
            settings, limits=evolve(settings.limits, stop_timeout_s=0.5)
        )
        answers = []

        async def request():
            answers.append(await send_chat(fleet, address))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(request)
                await wait_until(
                    lambda: any(
                        engine.in_flight for engine in fleet.standins.engines
                    )
                )
                await daemon.close()
        assert answers[0].status in {503, 504}
