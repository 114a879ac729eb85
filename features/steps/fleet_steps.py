"""Steps that start fleets and inject faults."""

import time

import anyio
from behave import given, then, when
from environment import start_fleet

from laurelwind.coordination.claims import Claim
from laurelwind.coordination.partition_owners import choose_owner
from laurelwind.state.digests import hash_fields
from standins.documents import LATENCY_WORKSPACE, build_document
from standins.link import Link
from tests.helpers import publish_demo_configuration, wait_for_members


@given('{count:d} daemons in zones "{zones}" with the demo configuration')
def run_daemons(context, count, zones):
    assert count == len(zones)
    start_fleet(context, zones)
    context.addresses = context.portal.call(
        publish_demo_configuration, context.fleet
    )
    context.portal.call(wait_for_members, context.fleet)


@given('the log is down')
@when('the log is down')
def take_log_down(context):
    context.fleet.standins.log.switches.down = True


@when('the log recovers')
def bring_log_up(context):
    context.fleet.standins.log.switches.down = False


@given('the log takes {seconds:g} seconds for an append')
def delay_log_appends(context, seconds):
    context.fleet.standins.log.switches.append_delay_s = seconds


@given('the log will lose {count:d} answers')
def lose_log_answers(context, count):
    context.fleet.standins.log.switches.lose_answers = count


@given('every engine is down')
def take_engines_down(context):
    for engine in context.fleet.standins.engines:
        engine.switches.down = True


@when('every engine is up')
def bring_engines_up(context):
    for engine in context.fleet.standins.engines:
        engine.switches.down = False


@given('the engines are connected through links')
def connect_through_links(context):
    context.links = context.portal.call(start_links, context)


async def start_links(context):
    fleet = context.fleet
    document = build_document(fleet.standins.addresses)
    links = []
    for endpoint in document['pools']['engines']['endpoints'].values():
        link = Link(target=endpoint['address'])
        await link.start(fleet.group)
        endpoint['address'] = link.address
        links.append(link)
    published = await fleet.publish(document, base=0)
    await fleet.wait_for_configuration(published.read_json()['offset'])
    return links


@when('the open connections of every link become unresponsive')
def lose_connections(context):
    for link in context.links:
        context.portal.call(link.stall_connections)


@when('daemon "{name}" crashes')
def crash_daemon(context, name):
    context.portal.call(context.fleet.crash_daemon, name)


@when('the owner of "{key}" crashes')
def crash_owner(context, key):
    claim = Claim(
        key=hash_fields(LATENCY_WORKSPACE.encode(), b'bookings', key.encode()),
        idempotency_key=key,
        request_id='',
        fingerprint='',
    )
    daemon = next(iter(context.fleet.daemons.values()))
    owner = choose_owner(daemon.fleet.roster, claim.partition)
    context.portal.call(context.fleet.crash_daemon, owner.name)


@when('every daemon is replaced in turn')
def replace_all_daemons(context):
    for name in tuple(context.fleet.daemons):
        context.portal.call(replace_daemon, context, name)


async def replace_daemon(context, name):
    fleet = context.fleet
    fleet.crash_daemon(name)
    daemon = await fleet.start_daemon(f'{name}r', name[0])
    with anyio.fail_after(5):
        while not daemon.follower.is_ready:
            await anyio.sleep(0.01)


@then('"{name}" is no longer listed as an entry')
def check_entries(context, name):
    deadline = time.monotonic() + 5
    daemon = next(iter(context.fleet.daemons.values()))
    address = daemon.caller_server.address
    names = [name]
    while name in names and time.monotonic() < deadline:
        answer = context.portal.call(
            context.fleet.caller.request, 'GET', f'{address}/v1/entries'
        )
        names = [entry['name'] for entry in answer.read_json()['entries']]
    assert name not in names, names
