"""Soak test: many requests under faults, checked for lost or repeated work.

Runs daemons in three zones and stand-ins in one process. Bookings are retried
until answered, each time at a random entry; drafts are sent once. Meanwhile
faults drawn from the seed are injected: the log is down, slow or loses
answers, engines are down or cut answers, and daemons crash or stop gracefully
and are replaced. At the end the counts are compared: runs by key, charges by
request, and refusals marked as not run against charges. Exits with 1 on any
difference.
"""

import argparse
import collections
import random
import statistics
import sys
import time

import anyio
import httpcore
import orjson

from standins.documents import LATENCY_WORKSPACE_KEY, build_document
from standins.fleet import HttpCaller, run_fleet

ZONES = 'abcabc'
WORKERS = 100
FAULT_PAUSE_S = 1.5
FAULT_DURATION_S = 0.8


class Soak:
    """One soak run with its requests, faults and counts."""

    def __init__(self, fleet, args):
        self.fleet = fleet
        self.args = args
        self.random = random.Random(args.seed)
        self.remaining = args.requests
        self.counts = collections.Counter()
        self.delivered_ids = set()
        self.not_run_ids = set()
        self.booking_ids = {}
        self.booking_times_s = []
        self.is_finished = False
        self.replacements = 0

    def choose_entry_address(self):
        daemons = list(self.fleet.daemons.values())
        return self.random.choice(daemons).caller_server.address

    async def run_worker(self):
        caller = HttpCaller()
        while self.remaining > 0:
            self.remaining -= 1
            number = self.args.requests - self.remaining
            if number % 3 == 0:
                await self.book(caller, f'key-{number}')
            else:
                await self.draft(caller, number)

    async def send(self, caller, method, path, body, headers):
        address = self.choose_entry_address()
        try:
            with anyio.fail_after(30):
                return await caller.request(
                    method,
                    f'{address}{path}',
                    key=LATENCY_WORKSPACE_KEY,
                    body=body,
                    headers=headers,
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            self.counts['broken connections'] += 1
            return None

    async def draft(self, caller, number):
        answer = await self.send(
            caller,
            'POST',
            '/v1/chat/completions',
            {
                'model': 'draft',
                'stream': number % 2 == 0,
                'messages': [{'role': 'user', 'content': f'draft {number}'}],
            },
            {},
        )
        if answer is None:
            return
        if answer.status == 200 and self.is_complete(answer):
            self.delivered_ids.add(answer.headers['x-request-id'])
            self.counts['drafts delivered'] += 1
        else:
            self.counts[f'drafts refused {answer.status}'] += 1

    def is_complete(self, answer):
        if answer.headers['content-type'] == 'text/event-stream':
            return answer.body.endswith(b'data: [DONE]\n\n')
        return bool(answer.read_json()['choices'])

    async def book(self, caller, key):
        started = time.monotonic()
        for _ in range(self.args.repeats):
            answer = await self.send(
                caller,
                'POST',
                '/v1/services/bookings/deposits',
                {'key': key},
                {'Idempotency-Key': key},
            )
            if answer is None:
                continue
            if answer.status == 200:
                self.booking_ids[key] = answer.headers.get(
                    'x-first-request-id', answer.headers['x-request-id']
                )
                self.counts['bookings answered'] += 1
                self.booking_times_s.append(time.monotonic() - started)
                return
            run_status = answer.read_json()['error']['run']
            self.counts[f'bookings refused as {run_status}'] += 1
            if run_status == 'not_run':
                self.not_run_ids.add(answer.headers['x-request-id'])
            await anyio.sleep(self.random.uniform(0.1, 0.5))
        self.counts['bookings given up'] += 1

    async def inject_faults(self):
        faults = [
            self.log_down,
            self.log_slow,
            self.log_loses,
            self.engine_down,
            self.engine_cuts,
            self.service_down,
            self.crash,
            self.stop,
        ]
        while not self.is_finished:
            selected = self.random.sample(faults, self.random.choice((1, 2)))
            async with anyio.create_task_group() as group:
                for fault in selected:
                    self.counts[f'fault {fault.__name__}'] += 1
                    group.start_soon(fault)
            await anyio.sleep(FAULT_PAUSE_S)

    async def switch_temporarily(
        self, switches, name, faulty_value, normal_value
    ):
        setattr(switches, name, faulty_value)
        await anyio.sleep(FAULT_DURATION_S)
        setattr(switches, name, normal_value)

    async def log_down(self):
        await self.switch_temporarily(
            self.fleet.standins.log.switches, 'down', True, False
        )

    async def log_slow(self):
        await self.switch_temporarily(
            self.fleet.standins.log.switches, 'append_delay_s', 0.15, 0.003
        )

    async def log_loses(self):
        self.fleet.standins.log.switches.lose_answers = 3

    async def engine_down(self):
        engine = self.random.choice(self.fleet.standins.engines)
        await self.switch_temporarily(engine.switches, 'down', True, False)

    async def engine_cuts(self):
        engine = self.random.choice(self.fleet.standins.engines)
        await self.switch_temporarily(engine.switches, 'cut_after', 3, -1)

    async def service_down(self):
        await self.switch_temporarily(
            self.fleet.standins.plain.switches, 'down', True, False
        )

    async def crash(self):
        name = self.random.choice(list(self.fleet.daemons))
        self.fleet.crash_daemon(name)
        await self.replace(name)

    async def stop(self):
        name = self.random.choice(list(self.fleet.daemons))
        await self.fleet.stop_daemon(name)
        await self.replace(name)

    async def replace(self, name):
        self.fleet.standins.instances.instances.pop(name, None)
        self.replacements += 1
        daemon = await self.fleet.start_daemon(
            f'{name[0]}{self.replacements}n', name[0]
        )
        while not daemon.follower.is_ready:
            await anyio.sleep(0.02)

    def count_charges(self):
        charge_counts = collections.Counter()
        for raw in self.fleet.standins.log.get_stream('charges').records:
            for charge in orjson.loads(raw)['charges']:
                charge_counts[charge['request_id']] += 1
        return charge_counts

    def find_missing_charges(self):
        charge_counts = self.count_charges()
        expected = self.delivered_ids | set(self.booking_ids.values())
        return expected - set(charge_counts)

    async def wait_for_charges(self):
        """Wait until buffered charges have reached the log, 60 s at most."""
        with anyio.move_on_after(60):
            while self.find_missing_charges():
                await anyio.sleep(0.2)

    def report(self, seconds):
        runs_by_key = self.fleet.standins.plain.runs
        charge_counts = self.count_charges()
        run_twice = [key for key, count in runs_by_key.items() if count > 1]
        charges_lost = self.find_missing_charges()
        answered_unrun = [
            key for key in self.booking_ids if key not in runs_by_key
        ]
        expected = self.delivered_ids | set(self.booking_ids.values())
        false_not_run = [
            request_id
            for request_id in self.not_run_ids
            if request_id in charge_counts and request_id not in expected
        ]
        log = self.fleet.standins.log
        for name, count in sorted(self.counts.items()):
            print(f'{count:8} {name}')
        repeated_charges = sum(count - 1 for count in charge_counts.values())
        times_s = sorted(self.booking_times_s) or [0.0]
        print(
            f'booking took {statistics.median(times_s) * 1e3:.0f} ms median, '
            f'{times_s[int(len(times_s) * 0.99)] * 1e3:.0f} ms 99 in 100'
        )
        total = self.args.requests
        violations = (
            len(run_twice)
            + len(charges_lost)
            + len(answered_unrun)
            + len(false_not_run)
        )
        print(
            f'requests={total} seconds={seconds:.0f} '
            f'run_twice={len(run_twice)} charges_lost={len(charges_lost)} '
            f'answered_unrun={len(answered_unrun)} '
            f'false_not_run={len(false_not_run)} '
            f'charge_repeats_dropped={repeated_charges} '
            f'appends_per_1000={log.append_count / total * 1000:.0f}'
        )
        return 1 if violations else 0


async def run(args):
    async with run_fleet(zones=ZONES) as fleet:
        fleet.standins.log.switches.append_delay_s = 0.003
        document = build_document(fleet.standins.addresses)
        published = await fleet.publish(document)
        assert published.status == 200, published.body
        await fleet.wait_for_configuration(0)
        for engine in fleet.standins.engines:
            engine.switches.pass_rates = {'drafter@small-1': 0.7}
        soak = Soak(fleet, args)
        started = time.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(soak.inject_faults)
            async with anyio.create_task_group() as workers:
                for _ in range(WORKERS):
                    workers.start_soon(soak.run_worker)
            soak.is_finished = True
        seconds = time.monotonic() - started
        await soak.wait_for_charges()
        return soak.report(seconds)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--requests', type=int, default=3000)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeats', type=int, default=60)
    return anyio.run(run, parser.parse_args())


if __name__ == '__main__':
    sys.exit(main())
