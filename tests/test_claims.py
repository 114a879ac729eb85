"""At-most-once execution across entries, crashes, outages, lost answers."""

import anyio
import pytest

from laurelwind.coordination.partition_owners import choose_owner
from standins.fleet import run_fleet
from tests.helpers import (
    publish_demo_configuration,
    read_charges,
    send_deposit,
    wait_for_members,
    wait_until,
)

pytestmark = pytest.mark.anyio


async def test_a_repeat_at_another_entry_gets_the_recorded_answer():
    async with run_fleet() as fleet:
        first, second, _ = await publish_demo_configuration(fleet)
        await wait_for_members(fleet)
        first_answer = await send_deposit(fleet, first, 'deposit-1')
        second_answer = await send_deposit(fleet, second, 'deposit-1')
        assert first_answer.status == second_answer.status == 200, (
            first_answer.body,
            second_answer.body,
        )
        assert second_answer.body == first_answer.body
        assert second_answer.headers['x-repeated'] == 'true'
        assert fleet.standins.plain.runs == {'deposit-1': 1}
        assert len(read_charges(fleet)) == 1


async def test_duplicates_sent_at_once_run_once():
    async with run_fleet() as fleet:
        addresses = await publish_demo_configuration(fleet)
        await wait_for_members(fleet)
        answers = []

        async def send(address, key):
            answers.append(await send_deposit(fleet, address, key))

        async with anyio.create_task_group() as group:
            for index in range(20):
                for address in addresses:
                    group.start_soon(send, address, f'deposit-{index}')
        runs = fleet.standins.plain.runs
        assert runs == {f'deposit-{index}': 1 for index in range(20)}
        statuses = {answer.status for answer in answers}
        assert statuses <= {200, 409}
        assert sum(answer.status == 200 for answer in answers) >= 20


async def test_a_key_used_for_another_call_is_refused():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        await send_deposit(fleet, address, 'deposit-1')
        other = await send_deposit(
            fleet, address, 'deposit-1', body={'hall': 4}
        )
        assert other.status == 422
        assert other.read_json()['error']['kind'] == 'idempotency_key_reused'
        assert fleet.standins.plain.runs == {'deposit-1': 1}


async def test_a_call_without_a_key_is_not_run():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        answer = await send_deposit(fleet, address, '')
        assert answer.status == 400
        error = answer.read_json()['error']
        assert error['kind'] == 'idempotency_key_missing'
        assert error['run'] == 'not_run'
        assert fleet.standins.plain.runs == {}
        assert not read_charges(fleet)


async def test_a_log_outage_reports_not_run_and_a_later_repeat_runs():
    async with run_fleet() as fleet:
        first, second, _ = await publish_demo_configuration(fleet)
        await wait_for_members(fleet)
        fleet.standins.log.switches.down = True
        refused = await send_deposit(fleet, first, 'deposit-1')
        assert refused.status == 503
        error = refused.read_json()['error']
        assert error['run'] == 'not_run'
        assert error['retry_after_s'] > 0
        assert fleet.standins.plain.runs == {}
        fleet.standins.log.switches.down = False
        repeated = await send_deposit(fleet, second, 'deposit-1')
        assert repeated.status == 200
        assert fleet.standins.plain.runs == {'deposit-1': 1}


async def test_a_lost_append_answer_is_released_and_runs_on_repeat():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        await send_deposit(fleet, address, 'deposit-0')
        daemon = fleet.daemons['a0']
        fleet.standins.log.switches.lose_answers = 1
        refused = await send_deposit(fleet, address, 'deposit-1')
        assert refused.read_json()['error']['run'] == 'not_run'
        await wait_until(lambda: daemon.fleet.claims.pending_reports == 0)
        repeated = await send_deposit(fleet, address, 'deposit-1')
        assert repeated.status == 200
        assert fleet.standins.plain.runs['deposit-1'] == 1


async def test_a_crashed_owner_is_replaced_and_its_claims_stay_valid():
    async with run_fleet(zones='abc') as fleet:
        await publish_demo_configuration(fleet)
        await wait_for_members(fleet)
        keys = [f'deposit-{index}' for index in range(12)]
        survivor = fleet.daemons['a0']
        for key in keys:
            address = survivor.caller_server.address
            assert (await send_deposit(fleet, address, key)).status == 200
        crashed_owner = next(
            choose_owner(survivor.fleet.roster, partition).name
            for partition in range(4)
            if choose_owner(survivor.fleet.roster, partition).name != 'a0'
        )
        fleet.crash_daemon(crashed_owner)
        for key in keys:
            address = survivor.caller_server.address
            answer = await send_deposit(fleet, address, key)
            assert answer.status == 200, answer.body
            assert answer.headers['x-repeated'] == 'true'
        assert set(fleet.standins.plain.runs.values()) == {1}
        assert len(read_charges(fleet)) == len(keys)


async def test_a_lost_service_answer_is_reported_unknown_and_never_rerun():
    async with run_fleet() as fleet:
        first, second, _ = await publish_demo_configuration(fleet)
        await wait_for_members(fleet)
        fleet.standins.plain.switches.lose_answers = 1
        lost = await fleet.caller.request(
            'POST',
            f'{first}/v1/services/bookings/deposits',
            key='key-of-kandyan-lanka',
            body={},
            headers={'Idempotency-Key': 'deposit-1', 'X-Timeout-S': '0.5'},
        )
        assert lost.status == 409
        assert lost.read_json()['error']['run'] == 'unknown'
        repeated = await fleet.caller.request(
            'POST',
            f'{second}/v1/services/bookings/deposits',
            key='key-of-kandyan-lanka',
            body={},
            headers={'Idempotency-Key': 'deposit-1'},
        )
        assert repeated.status == 409
        assert repeated.read_json()['error']['run'] == 'unknown'
        assert fleet.standins.plain.runs == {'deposit-1': 1}
        assert not read_charges(fleet)
