"""Steps that send requests as callers."""

import functools

import anyio
import openai
from behave import given, then, when

from standins.documents import (
    CERTAINTY_WORKSPACE_KEY,
    LARGE_VERSION,
    LATENCY_WORKSPACE_KEY,
    SMALL_VERSION,
)
from tests.helpers import (
    build_chat_body,
    read_charges,
    send_deposit,
    wait_until,
)


def make_client(context, key):
    return openai.OpenAI(
        base_url=f'http://{context.addresses[0]}/v1',
        api_key=key,
        max_retries=0,
    )


MESSAGES = [{'role': 'user', 'content': 'a wedding form'}]


@when('Kandyan Lanka requests a draft with the openai client')
def request_draft(context):
    client = make_client(context, LATENCY_WORKSPACE_KEY)
    completion = client.chat.completions.create(
        model='draft', messages=MESSAGES
    )
    context.draft = completion.choices[0].message.content
    context.version = completion.model


@when('Kandyan Lanka requests a streamed draft with the openai client')
def request_streamed_draft(context):
    client = make_client(context, LATENCY_WORKSPACE_KEY)
    context.draft = ''
    for chunk in client.chat.completions.create(
        model='draft', messages=MESSAGES, stream=True
    ):
        context.version = chunk.model
        context.draft += chunk.choices[0].delta.content or ''


@then('the draft has {count:d} words and names the version that generated it')
def check_draft(context, count):
    assert len(context.draft.split()) == count, context.draft
    assert context.version in {SMALL_VERSION, LARGE_VERSION}


@when('a caller requests a draft with a wrong key')
def request_with_wrong_key(context):
    context.error = request_error(make_client(context, 'wrong'), 'draft')


@when('Kandyan Lanka requests model "{model}" with the openai client')
def request_model(context, model):
    context.error = request_error(
        make_client(context, LATENCY_WORKSPACE_KEY), model
    )


def request_error(client, model):
    try:
        client.chat.completions.create(model=model, messages=MESSAGES)
    except openai.APIStatusError as error:
        return error
    return None


@then('the client raises an authentication error')
def check_authentication(context):
    assert isinstance(context.error, openai.AuthenticationError)


@then('the client raises a not-found error')
def check_not_found(context):
    assert isinstance(context.error, openai.NotFoundError)


@when('Kandyan Lanka lists models with the openai client')
def list_models(context):
    client = make_client(context, LATENCY_WORKSPACE_KEY)
    context.names = {model.id for model in client.models.list()}


@then('the list contains "{first}" and "{second}"')
def check_names(context, first, second):
    assert {first, second} <= context.names


async def send_drafts(context, count, names, **fields):
    fleet = context.fleet
    daemons = [
        daemon
        for name, daemon in fleet.daemons.items()
        if not names or name in names
    ]

    async def send_draft(index):
        address = daemons[index % len(daemons)].caller_server.address
        context.answers.append(
            await fleet.caller.request(
                'POST',
                f'{address}/v1/chat/completions',
                key=CERTAINTY_WORKSPACE_KEY,
                body=build_chat_body(f'report {index}', **fields),
            )
        )

    async with anyio.create_task_group() as group:
        for index in range(count):
            group.start_soon(send_draft, index)


@given('Hallmark has requested {count:d} drafts')
@when('Hallmark requests {count:d} drafts')
def request_drafts(context, count):
    context.portal.call(send_drafts, context, count, ())


@when('Hallmark requests {count:d} drafts at "{name}"')
def request_drafts_at(context, count, name):
    context.portal.call(send_drafts, context, count, (name,))


@when('Hallmark streams {count:d} long reports through "{name}" while it stops')
def stream_during_shutdown(context, count, name):
    context.portal.call(send_streams_during_shutdown, context, count, name)


async def send_streams_during_shutdown(context, count, name):
    send_streams = functools.partial(
        send_drafts,
        context,
        count,
        (name,),
        model=LARGE_VERSION,
        stream=True,
        max_tokens=150,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(send_streams)
        await anyio.sleep(0.1)
        await context.fleet.stop_daemon(name)


@then('{count:d} drafts are complete')
def check_complete(context, count):
    assert [answer.status for answer in context.answers] == [200] * count
    for answer in context.answers:
        assert b'[DONE]' in answer.body or b'"stop"' in answer.body


@then('{count:d} drafts are refused as not run')
def check_refused(context, count):
    errors = [answer.read_json()['error'] for answer in context.answers]
    assert [error['run'] for error in errors] == ['not_run'] * count, errors
    context.answers.clear()


@then('a draft succeeds within {seconds:d} seconds')
def check_recovery(context, seconds):
    async def retry_until_success():
        with anyio.fail_after(seconds):
            while not any(answer.status == 200 for answer in context.answers):
                await send_drafts(context, 1, ())
                await anyio.sleep(0.1)

    context.portal.call(retry_until_success)


@then('each complete answer is charged once')
def check_charges(context):
    expected = {
        answer.headers['x-request-id']
        for answer in context.answers
        if answer.status == 200
    }

    def is_charged():
        charged_ids = {
            charge['request_id'] for charge in read_charges(context.fleet)
        }
        return expected <= charged_ids

    context.portal.call(wait_until, is_charged, 15)
    charged_ids = [
        charge['request_id'] for charge in read_charges(context.fleet)
    ]
    assert sorted(charged_ids) == sorted(expected)


@given('Kandyan Lanka has booked "{key}"')
@when('Kandyan Lanka books "{key}" until it succeeds')
def book_until_success(context, key):
    context.portal.call(book_repeatedly, context, key)


async def book_repeatedly(context, key):
    with anyio.fail_after(20):
        while True:
            for daemon in context.fleet.daemons.values():
                address = daemon.caller_server.address
                answer = await send_deposit(context.fleet, address, key)
                if answer.status == 200:
                    return
            await anyio.sleep(0.1)


@when('Kandyan Lanka books "{key}" at every entry concurrently')
def book_everywhere(context, key):
    async def book_at_all():
        async with anyio.create_task_group() as group:
            for daemon in context.fleet.daemons.values():
                address = daemon.caller_server.address
                group.start_soon(send_deposit, context.fleet, address, key)

    context.portal.call(book_at_all)


@then('"{key}" has run {count:d} time')
def check_runs(context, key, count):
    assert context.fleet.standins.plain.runs == {key: count}
