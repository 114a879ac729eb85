"""End-to-end requests over real sockets."""

import pytest

from standins.documents import (
    CERTAINTY_WORKSPACE_KEY,
    LARGE_VERSION,
    LATENCY_WORKSPACE,
    LATENCY_WORKSPACE_KEY,
    SMALL_VERSION,
)
from standins.fleet import run_fleet
from tests.helpers import (
    build_chat_body,
    find_prompt,
    publish_demo_configuration,
    read_charges,
)

pytestmark = pytest.mark.anyio


async def test_a_cheap_answer_that_passes_is_delivered_and_charged():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        answer = await fleet.caller.request(
            'POST',
            f'{address}/v1/chat/completions',
            key=LATENCY_WORKSPACE_KEY,
            body=build_chat_body(find_prompt(good=True)),
        )
        assert answer.status == 200
        assert answer.headers['x-model-version'] == SMALL_VERSION
        message = answer.read_json()['choices'][0]['message']
        assert message['content'].startswith('[pass] w1')
        (charge,) = read_charges(fleet)
        assert charge['workspace'] == LATENCY_WORKSPACE
        assert charge['request_id'] == answer.headers['x-request-id']
        assert [line['reference'] for line in charge['lines']] == [
            SMALL_VERSION
        ]


async def test_a_failing_answer_is_escalated_within_one_charge():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        answer = await fleet.caller.request(
            'POST',
            f'{address}/v1/chat/completions',
            key=LATENCY_WORKSPACE_KEY,
            body=build_chat_body(find_prompt(good=False), stream=True),
        )
        assert answer.headers['x-model-version'] == LARGE_VERSION
        assert answer.headers['x-escalated'] == 'true'
        assert answer.body.rstrip().endswith(b'data: [DONE]')
        (charge,) = read_charges(fleet)
        lines = [(line['reference'], line['ended']) for line in charge['lines']]
        assert lines == [
            (SMALL_VERSION, 'escalated'),
            (LARGE_VERSION, 'delivered'),
        ]


async def test_a_session_is_pinned_to_its_version():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        session_answer = await fleet.caller.request(
            'POST',
            f'{address}/v1/sessions',
            key=LATENCY_WORKSPACE_KEY,
            body={'model': 'draft'},
        )
        session = session_answer.read_json()
        for index in range(3):
            answer = await fleet.caller.request(
                'POST',
                f'{address}/v1/chat/completions',
                key=LATENCY_WORKSPACE_KEY,
                body=build_chat_body(f'turn {index}'),
                headers={'X-Session': session['session']},
            )
            assert answer.headers['x-model-version'] == session['version']
        rejected_answer = await fleet.caller.request(
            'POST',
            f'{address}/v1/chat/completions',
            key=CERTAINTY_WORKSPACE_KEY,
            body=build_chat_body('turn'),
            headers={'X-Session': session['session']},
        )
        assert rejected_answer.status == 403
        assert rejected_answer.read_json()['error']['kind'] == 'session_invalid'


async def test_an_idempotent_call_reaches_the_plain_service():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        answer = await fleet.caller.request(
            'GET',
            f'{address}/v1/services/bookings/availability?hall=3',
            key=LATENCY_WORKSPACE_KEY,
        )
        assert answer.status == 200
        assert answer.read_json()['path'] == '/availability'
        (charge,) = read_charges(fleet)
        assert charge['lines'][0]['amount'] == 5


async def test_nagle_does_not_delay_answers_on_keep_alive_connections():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        server = fleet.daemons['a0'].caller_server
        assert server.address == address
        assert server.uses_no_delay
