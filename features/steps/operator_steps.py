"""Steps that change the configuration as operators."""

import anyio
from behave import given, then, when
from cleo.testers.command_tester import CommandTester

from laurelwind.cli.versions import WithdrawCommand
from standins.documents import SMALL_VERSION, build_document
from standins.fleet import OPERATOR_KEY
from tests.helpers import build_chat_body


@when(
    '{count:d} operators publish on the same base at three daemons concurrently'
)
def race_publications(context, count):
    context.portal.call(publish_concurrently, context, count)


async def publish_concurrently(context, count):
    fleet = context.fleet
    daemons = list(fleet.daemons.values())

    async def publish(index):
        document = build_document(fleet.standins.addresses)
        document['services']['bookings']['price'] = 100 + index
        answer = await fleet.caller.request(
            'POST',
            f'{daemons[index].admin_server.address}'
            '/admin/v1/configuration?base=0',
            key=OPERATOR_KEY,
            body=document,
        )
        context.answers.append((index, answer))

    async with anyio.create_task_group() as group:
        for index in range(count):
            group.start_soon(publish, index)


@then('exactly 1 is accepted and every refusal names its offset')
def check_accepted(context):
    accepted_pairs = [
        (index, answer)
        for index, answer in context.answers
        if answer.status == 200
    ]
    assert len(accepted_pairs) == 1
    context.accepted_index, accepted = accepted_pairs[0]
    context.accepted_offset = accepted.read_json()['offset']
    for _, answer in context.answers:
        if answer is accepted:
            continue
        error = answer.read_json()['error']
        assert error['kind'] == 'configuration_conflict'
        assert str(context.accepted_offset) in error['message']


@then('the accepted document is in force on every daemon')
def check_in_force(context):
    context.portal.call(wait_for_offset, context, context.accepted_offset)
    for daemon in context.fleet.daemons.values():
        price = daemon.follower.current.document.services['bookings'].price
        assert price == 100 + context.accepted_index


async def wait_for_offset(context, offset):
    with anyio.fail_after(5):
        await context.fleet.wait_for_configuration(offset)


@given('an operator withdraws "{reference}" on the command line')
@when('an operator withdraws "{reference}" on the command line')
def withdraw(context, reference):
    daemon = next(iter(context.fleet.daemons.values()))
    tester = CommandTester(WithdrawCommand())
    code = tester.execute(
        f'{reference} --admin {daemon.admin_server.address} '
        f'--key {OPERATOR_KEY}'
    )
    assert code == 0, tester.io.fetch_error()
    assert 'withdrawn' in tester.io.fetch_output()
    context.portal.call(wait_for_offset, context, daemon.follower.status.offset)


@then('"{reference}" is withdrawn on every daemon')
def check_withdrawn(context, reference):
    model, _, version = reference.partition('@')
    for daemon in context.fleet.daemons.values():
        document = daemon.follower.current.document
        assert document.models[model].versions[version].state == 'withdrawn'


@then('{count:d} drafts start no work on "{reference}"')
def check_no_work(context, count, reference):
    async def send_sequentially():
        for index in range(count):
            address = context.addresses[index % len(context.addresses)]
            answer = await context.fleet.caller.request(
                'POST',
                f'{address}/v1/chat/completions',
                key='key-of-hallmark',
                body=build_chat_body(f'draft {index}'),
            )
            assert answer.status == 200, answer.body

    context.portal.call(send_sequentially)
    for engine in context.fleet.standins.engines:
        assert reference not in engine.started


@when('an operator publishes a document with 2 faults')
def publish_invalid(context):
    document = build_document(context.fleet.standins.addresses)
    document['services']['bookings']['price'] = -1
    document['workspaces']['hallmark']['versions'].append('nobody@1')
    context.answer = context.portal.call(publish_document, context, document)


async def publish_document(context, document):
    return await context.fleet.publish(document, base=0)


@then('the refusal names 2 paths')
def check_faults(context):
    assert context.answer.status == 422
    faults = context.answer.read_json()['error']['faults']
    assert [fault['path'] for fault in faults] == [
        'services.bookings.price',
        'workspaces.hallmark.versions.2',
    ]


@then('the configuration in force is unchanged')
def check_unchanged(context):
    for daemon in context.fleet.daemons.values():
        assert daemon.follower.status.offset == 0
        versions = daemon.follower.current.document.models['drafter'].versions
        assert SMALL_VERSION.endswith('small-1')
        assert versions['small-1'].state == 'serving'
