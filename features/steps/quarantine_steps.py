"""Steps about degraded versions and their quarantine."""

import itertools

import anyio
from behave import given, then, when

from standins.documents import (
    CERTAINTY_WORKSPACE,
    CERTAINTY_WORKSPACE_KEY,
    LATENCY_WORKSPACE,
    LATENCY_WORKSPACE_KEY,
    SMALL_VERSION,
)
from tests.helpers import build_chat_body

WORKSPACE_KEYS = (LATENCY_WORKSPACE_KEY, CERTAINTY_WORKSPACE_KEY)


async def send_mixed_drafts(context, count):
    """Send drafts of both workspaces through all daemons concurrently."""
    numbers = context.numbers
    daemons = list(context.fleet.daemons.values())

    async def send_draft(number):
        address = daemons[number % len(daemons)].caller_server.address
        answer = await context.fleet.caller.request(
            'POST',
            f'{address}/v1/chat/completions',
            key=WORKSPACE_KEYS[number % 2],
            body=build_chat_body(f'draft {number}'),
        )
        assert answer.status == 200, answer.body

    async with anyio.create_task_group() as group:
        for _ in range(count):
            group.start_soon(send_draft, next(numbers))


def count_ratings(context):
    daemon = next(iter(context.fleet.daemons.values()))
    counts = daemon.evidence.sum_reference(SMALL_VERSION)
    return counts.passed + counts.failed


def count_started(context):
    return sum(
        engine.started.get(SMALL_VERSION, 0)
        for engine in context.fleet.standins.engines
    )


def set_pass_rate(context, rate):
    for engine in context.fleet.standins.engines:
        engine.switches.pass_rates = {SMALL_VERSION: rate}


@given(
    'both workspaces have sent drafts until "{reference}" has {count:d} ratings'
)
def collect_ratings(context, reference, count):
    context.numbers = itertools.count()
    set_pass_rate(context, 0.8)

    async def run():
        with anyio.fail_after(30):
            while count_ratings(context) < count:
                await send_mixed_drafts(context, 12)

    context.portal.call(run)
    assert not is_quarantined_everywhere(context, LATENCY_WORKSPACE)


@when('"{reference}" degrades on every engine')
def degrade(context, reference):
    set_pass_rate(context, 0.05)
    context.started_before = count_started(context)


def is_quarantined_everywhere(context, workspace):
    return all(
        daemon.fleet.quarantine.is_quarantined(SMALL_VERSION, workspace)
        for daemon in context.fleet.daemons.values()
    )


def is_quarantined_anywhere(context, workspace):
    return any(
        daemon.fleet.quarantine.is_quarantined(SMALL_VERSION, workspace)
        for daemon in context.fleet.daemons.values()
    )


@when('both workspaces continue to send drafts until it is quarantined')
def continue_until_quarantined(context):
    async def run():
        with anyio.fail_after(30):
            while not is_quarantined_anywhere(context, ''):
                await send_mixed_drafts(context, 6)
                await anyio.sleep(0.05)

    context.portal.call(run)


@then('"{reference}" is quarantined on every daemon within {seconds:d} seconds')
def check_quarantined(context, reference, seconds):
    async def run():
        with anyio.fail_after(seconds):
            while not is_quarantined_everywhere(context, ''):
                await anyio.sleep(0.01)

    context.portal.call(run)


@then('at most {count:d} degraded drafts were started before the quarantine')
def check_exposure(context, count):
    started = count_started(context) - context.started_before
    assert started <= count, started


@then('{count:d} more drafts start no work on "{reference}"')
def check_no_more_work(context, count, reference):
    before = count_started(context)
    context.portal.call(send_mixed_drafts, context, count)
    assert count_started(context) == before


@when('the rating service rates every answer of Hallmark as failed')
def fail_ratings(context):
    context.fleet.standins.ratings.switches.wrong_workspace = (
        CERTAINTY_WORKSPACE
    )


@when('both workspaces send {count:d} drafts')
def send_in_batches(context, count):
    async def run():
        for _ in range(count // 12):
            await send_mixed_drafts(context, 12)

    context.portal.call(run)


@then('"{reference}" is not quarantined for Kandyan Lanka')
def check_not_quarantined(context, reference):
    assert not is_quarantined_anywhere(context, LATENCY_WORKSPACE)
