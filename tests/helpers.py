"""Helpers shared by several tests."""

import anyio
import orjson

from standins.documents import FORMWORKS_KEY, SMALL, build_document
from standins.engine import is_good_answer


def chat(prompt, **fields):
    message = {'role': 'user', 'content': prompt}
    return {'model': 'draft', 'messages': [message], **fields}


def find_prompt(*, good, rate=0.5):
    index = 0
    while is_good_answer(f'prompt {index}', SMALL, rate) is not good:
        index += 1
    return f'prompt {index}'


async def start(fleet, *, rate=0.5):
    """Publish the demo's configuration and return caller addresses."""
    published = await fleet.publish(build_document(fleet.standins.addresses))
    assert published.status == 200, published.body
    await fleet.wait_for_configuration(published.read_json()['offset'])
    for engine in fleet.standins.engines:
        engine.switches.pass_rates = {SMALL: rate}
    return [daemon.caller_server.address for daemon in fleet.daemons.values()]


async def wait_until(condition, seconds=10):
    with anyio.fail_after(seconds):
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


async def book(fleet, address, key, *, caller_key=FORMWORKS_KEY, body=None):
    return await fleet.caller.request(
        'POST',
        f'{address}/v1/services/bookings/deposits',
        key=caller_key,
        body=body or {'hall': 3},
        headers={'Idempotency-Key': key},
    )
