"""Prints how often trials of versions end wrongly, by kind of version.

A seeded model without network or clock: all daemons of a fleet share what they
know after ``REPORT_S``, as they do through the store, and the registry of the
product decides.  A version that is bad under load fails on endpoints whose load
exceeds ``LOAD_LIMIT`` times the load that each has once all sessions moved.

    python -m benchmarks.trials --seeds 40
"""

import argparse
import math
import random
from collections import Counter, deque

from attrs import define, evolve, field, frozen

from laurelwind.coordination.rollouts.evidence import AnswerOutcome
from laurelwind.coordination.rollouts.latencies import Latency
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.state.rollouts import RolloutOrder, RolloutState
from tests.relay_helpers import build_endpoint_record, build_silent_log

# Daemons, and endpoints of each version.
FLEETS = ((8, 4), (85, 45), (371, 120))
REQUESTS_PER_S = (2.0, 7.0)
DURATIONS_S = (16.0, 24.0)
EXPOSURE_SHARE = 0.15
EXPOSURE_TOLERANCE = 30
STEP_S = 0.25
# Seconds until the answers of the other daemons are known.
REPORT_S = 1.7
PACE_S = 0.02
SLOW_FACTOR = 8
SLOW_S = 0.1
LATE_S = 3.0
# Relative to the load of each endpoint once all sessions moved.
LOAD_LIMIT = 1.4
# Seconds over which the load of an endpoint is averaged.
LOAD_S = 1.5
# Bursts of callers: seconds between them, their length, and their factor.
BURST_PERIOD_S = 8.0
BURST_S = 3.0
BURST_FACTOR = 1.7
# Seconds after the time limit in which an accepted version may still fail.
AFTER_S = 12.0


# Share of the answers of a good version that fail.
USUAL_SHARE = 0.005
# Seconds after its 50th bad answer from which a bad version gets no request.
ROLLBACK_S = 5.0
ROLLBACK_ANSWERS = 50


@frozen(kw_only=True)
class Version:
    """How a version behaves.

    :ivar failure_share: share of the answers that fail while it is bad.
    :ivar slow_factor: factor of the time for each event.
    :ivar bad_from_s: seconds after its first request from which it is bad.
    :ivar min_load: relative load above which it is bad.
    :ivar old_share: share of the old version's answers that fail.
    """

    failure_share: float = 0
    slow_factor: float = 1
    bad_from_s: float = 0
    min_load: float = 0
    old_share: float = USUAL_SHARE

    @property
    def is_bad(self):
        return self.failure_share > self.old_share or self.slow_factor > 1

    def answer(self, rng, served_s, load):
        """Return whether an answer fails, and its seconds per event."""
        is_bad = served_s >= self.bad_from_s and load >= self.min_load
        failed = is_bad and rng.random() < self.failure_share
        factor = self.slow_factor if is_bad else 1
        return failed, PACE_S * factor * rng.lognormvariate(0, 0.2)


VERSIONS = {
    'good': Version(failure_share=USUAL_SHARE),
    'errors 0.4': Version(failure_share=0.4),
    'errors 0.6': Version(failure_share=0.6),
    'slow x 8': Version(slow_factor=SLOW_FACTOR),
    'late 0.5': Version(failure_share=0.5, bad_from_s=LATE_S),
    'under load 0.59': Version(failure_share=0.59, min_load=LOAD_LIMIT),
    'good, old 0.1': Version(failure_share=0.1, old_share=0.1),
    'good, old 0.2': Version(failure_share=0.2, old_share=0.2),
    'errors 0.4, old 0.1': Version(failure_share=0.4, old_share=0.1),
    'errors 0.6, old 0.1': Version(failure_share=0.6, old_share=0.1),
    'errors 0.6, old 0.2': Version(failure_share=0.6, old_share=0.2),
}


@frozen(kw_only=True)
class Outcome:
    """What came of a trial.

    :ivar state: the last status.
    :ivar exposed: requests that the version got before the time limit, beyond
        what a bad one may get.
    :ivar failed_later: its failures after the time limit.
    :ivar late: requests that it got later than ROLLBACK_S after its 50th bad
        answer.
    """

    state: RolloutState | None
    exposed: float
    failed_later: int
    late: int


@define
class Clock:
    now: float = 100

    def __call__(self):
        return self.now


@define(slots=False)
class Trial:
    """One roll-out of one version before one fleet."""

    rng: random.Random
    daemons: int
    endpoints: int
    version: Version
    clock: Clock = field(factory=Clock)
    pending: deque = field(factory=deque)
    loads: Counter = field(factory=Counter)

    def play(self):
        duration_s = self.rng.uniform(*DURATIONS_S)
        self.registry = RolloutRegistry(
            local_daemon='d0',
            exposure_share=EXPOSURE_SHARE,
            log=build_silent_log(),
            clock=self.clock,
        )
        self.registry.apply_order(
            RolloutOrder(service='pool', target='v2', duration_s=duration_s)
        )
        self.old = [
            build_endpoint_record(f'o{n}') for n in range(self.endpoints)
        ]
        self.new = [
            build_endpoint_record(f'n{n}', version='v2')
            for n in range(self.endpoints)
        ]
        self.rate = self.daemons * self.rng.uniform(*REQUESTS_PER_S)
        self.counts = Counter()
        self.served_at = None
        self.bad_until = math.inf
        begun_at = self.clock.now
        burst_at = self.rng.uniform(0, BURST_PERIOD_S)
        while self.clock.now < begun_at + duration_s + AFTER_S:
            elapsed_s = self.clock.now - begun_at
            in_burst = (elapsed_s + burst_at) % BURST_PERIOD_S < BURST_S
            period = 'before' if elapsed_s < duration_s else 'after'
            self.step(BURST_FACTOR if in_burst else 1, period)
            if period == 'before':
                state = self.read_state()
        allowed = EXPOSURE_SHARE * self.counts['before'] + EXPOSURE_TOLERANCE
        return Outcome(
            state=state,
            exposed=max(self.counts['exposed before'] - allowed, 0),
            failed_later=self.counts['failed after'],
            late=self.counts['late'],
        )

    def step(self, factor, period):
        self.clock.now += STEP_S
        self.registry.record_read()
        expected = self.rate * factor * STEP_S
        count = int(expected) + (self.rng.random() < expected % 1)
        usual = self.rate * LOAD_S / self.endpoints
        for name in self.loads:
            self.loads[name] *= 1 - STEP_S / LOAD_S
        for _ in range(count):
            endpoint = self.choose()
            self.loads[endpoint.name] += 1 / usual
            self.serve(endpoint, self.loads[endpoint.name], period)
        while self.pending and self.pending[0][0] <= self.clock.now:
            self.registry.record_outcome(*self.pending.popleft()[1])
        for service, shift in tuple(self.registry.list_due_shifts(0)):
            self.registry.apply_shift(service, shift)
        for service, status in tuple(self.registry.list_due_statuses(0)):
            self.registry.apply_status(service, status)

    def choose(self):
        session = str(self.rng.getrandbits(48))
        chosen = self.registry.filter_endpoints(
            'pool', session, [*self.old, *self.new]
        )
        candidates = self.rng.choices(chosen, k=2)
        return min(candidates, key=lambda other: self.loads[other.name])

    def serve(self, endpoint, load, period):
        version = Version(failure_share=self.version.old_share)
        self.counts[period] += 1
        if endpoint.version == 'v2':
            version = self.version
            self.counts[f'exposed {period}'] += 1
            self.served_at = self.served_at or self.clock.now
        served_s = self.clock.now - (self.served_at or self.clock.now)
        failed, unit_s = version.answer(self.rng, served_s, load)
        if endpoint.version == 'v2':
            self.counts[f'failed {period}'] += failed
            self.counts['late'] += self.clock.now > self.bad_until
            self.counts['bad'] += failed or unit_s > SLOW_S
            if self.counts['bad'] == ROLLBACK_ANSWERS:
                self.bad_until = self.clock.now + ROLLBACK_S
        latency = None if failed else Latency(unit_s=unit_s, elapsed_s=unit_s)
        outcome = AnswerOutcome(route='draft', failed=failed, latency=latency)
        self.pending.append((self.clock.now + REPORT_S, (endpoint, outcome)))

    def read_state(self):
        rollout = self.registry._rollouts['pool']
        return rollout.state


def measure(daemons, endpoints, name, seeds):
    """Return the counts of wrong ends of a kind of version."""
    counts = Counter()
    for seed in range(seeds):
        rng = random.Random(f'{daemons}/{name}/{seed}')
        version = VERSIONS[name]
        if version.failure_share == 0.5:
            version = evolve(version, failure_share=rng.uniform(0.4, 0.6))
        outcome = Trial(rng, daemons, endpoints, version).play()
        counts[outcome.state] += 1
        counts['exposed'] += version.is_bad and outcome.exposed > 0
        counts['failed later'] += outcome.failed_later > 0
        counts['late'] += version.is_bad and outcome.late > 0
    return counts


def run():
    """Play all versions before all fleets, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--fleets', type=int, default=len(FLEETS))
    parser.add_argument('--versions', nargs='*', default=tuple(VERSIONS))
    arguments = parser.parse_args()
    print(
        '| daemons | version | succeeded | rolled back | open | overexposed '
        '| fails later | late |'
    )
    print('|---|---|---|---|---|---|---|---|')
    for daemons, endpoints in FLEETS[: arguments.fleets]:
        for name in arguments.versions:
            counts = measure(daemons, endpoints, name, arguments.seeds)
            succeeded = counts[RolloutState.SUCCEEDED]
            rolled_back = counts[RolloutState.ROLLED_BACK]
            print(
                f'| {daemons} | {name} | {succeeded} | {rolled_back} '
                f'| {arguments.seeds - succeeded - rolled_back} '
                f'| {counts["exposed"]} | {counts["failed later"]} '
                f'| {counts["late"]} |',
                flush=True,
            )


if __name__ == '__main__':
    run()
