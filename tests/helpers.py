"""Helpers shared by several tests."""

import anyio
import orjson

from standins.documents import (
    LATENCY_WORKSPACE_KEY,
    SMALL_VERSION,
    build_document,
)
from standins.engine import is_good_answer


def build_chat_body(prompt, **fields):
    message = {'role': 'user', 'content': prompt}
    return {'model': 'draft', 'messages': [message], **fields}


def find_prompt(*, good, rate=0.5):
    index = 0
    while is_good_answer(f'prompt {index}', SMALL_VERSION, rate) is not good:
        index += 1
    return f'prompt {index}'


async def publish_demo_configuration(fleet, *, rate=0.5):
    """Publish the demo's configuration and return caller addresses."""
    published = await fleet.publish(build_document(fleet.standins.addresses))
    assert published.status == 200, published.body
    await fleet.wait_for_configuration(published.read_json()['offset'])
    for engine in fleet.standins.engines:
        engine.switches.pass_rates = {SMALL_VERSION: rate}
    return [daemon.caller_server.address for daemon in fleet.daemons.values()]


async def wait_until(condition, timeout_s=10):
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.01)


async def wait_for_members(fleet):
    """Wait until every daemon lists every other as usable."""
    names = set(fleet.daemons)

    def has_settled():
        return all(
            {member.name for member in daemon.fleet.roster.list_usable()}
            == names
            for daemon in fleet.daemons.values()
        )

    await wait_until(has_settled)


def read_charges(fleet):
    records = fleet.standins.log.get_stream('charges').records
    charges = {}
    for record in records:
        for charge in orjson.loads(record)['charges']:
            charges.setdefault(charge['request_id'], charge)
    return list(charges.values())


async def send_deposit(
    fleet, address, key, *, caller_key=LATENCY_WORKSPACE_KEY, body=None
):
    return await fleet.caller.request(
        'POST',
        f'{address}/v1/services/bookings/deposits',
        key=caller_key,
        body=body or {'hall': 3},
        headers={'Idempotency-Key': key},
    )
