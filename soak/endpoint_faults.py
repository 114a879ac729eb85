"""Endpoints that leave, are replaced, fall silent or get a new version."""

import random

import anyio
from anyio.abc import TaskGroup

from soak import bounds
from soak.durations import choose_duration
from soak.fault_journal import FaultJournal
from soak.fleet import DeadlyRequest, Fleet
from standins.deadly import encode_deadly_body
from standins.notices import Notices

# Minimum size of a pool for a withdrawal, and share of withdrawals from a
# random pool, which may not be in use.
MIN_ENDPOINTS = 2
OTHER_POOL_SHARE = 0.3
# Share of requests that get a fault, at endpoints of the pools and at those of
# a bad version.
FAULT_SHARE = 0.12
BAD_VERSION_FAULT_SHARE = 0.7
# Seconds for which a sound endpoint may be silent.
MIN_SILENCE_S = 0.5
MAX_SILENCE_S = 2.0
# Rate limits that endpoints state, in requests per second, and for how long.
MIN_RATE_LIMIT = 0.5
MAX_RATE_LIMIT = 4.0
MIN_LIMIT_S = 5.0
MAX_LIMIT_S = 10.0
# Seconds for which prompts with the deadly part come.
MIN_POISON_S = 6.0
MAX_POISON_S = 15.0
# Seconds for which a deadly request comes again, and the steps of its answer at
# which it crashes endpoints.
MIN_REPEAT_S = 8.0
MAX_REPEAT_S = 16.0
DEADLY_STEPS = (0, 0, 1, 3)


class EndpointFaults:
    """Disturbs and replaces endpoints.

    :param fleet: fleet to disturb.
    :param journal: records the faults.
    :param group: task group for endpoints that are added.
    :ivar rollout_is_bad: whether the roll-out's version fails; ``None`` before
        the roll-out is ordered.
    :ivar rollout_ordered_at: time of the order, infinity before it.
    """

    def __init__(
        self, *, fleet: Fleet, journal: FaultJournal, group: TaskGroup
    ):
        self.rollout_is_bad: bool | None = None
        self.rollout_ordered_at = float('inf')
        self._fleet = fleet
        self._journal = journal
        self._group = group

    async def silence(self, rng: random.Random) -> None:
        """Let endpoints of one service fall silent and go on by themselves.

        This is no fault of theirs, so guarantees are checked all the while.
        """
        fleet = self._fleet
        services = [
            *(share.pool for share in fleet.tables[-1].shares),
            bounds.ROLLOUT_SERVICE,
        ]
        service = rng.choice(services)
        endpoints = [
            endpoint
            for endpoint in fleet.endpoints.values()
            if endpoint.service == service
        ]
        for endpoint in rng.sample(endpoints, rng.randint(1, len(endpoints))):
            duration_s = rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
            self._journal.record('silence', endpoint.name, duration_s)
            endpoint.fall_silent(duration_s)

    async def poison(self, rng: random.Random) -> None:
        """Let some prompts crash the endpoints that begin to answer them."""
        duration_s = rng.uniform(MIN_POISON_S, MAX_POISON_S)
        until = anyio.current_time() + duration_s
        self._journal.record('poison', bounds.DEADLY_PART, duration_s)
        self._fleet.deadly_until = max(self._fleet.deadly_until, until)

    async def repeat_deadly_request(self, rng: random.Random) -> None:
        """Let a request come again that crashes each endpoint that runs it."""
        route = rng.choice(('book', 'draft', 'look'))
        step = rng.choice(DEADLY_STEPS)
        duration_s = rng.uniform(MIN_REPEAT_S, MAX_REPEAT_S)
        self._journal.record('repeat', f'{route} step {step}', duration_s)
        requests = self._fleet.deadly_requests
        requests.append(
            DeadlyRequest(
                route=route,
                body=encode_deadly_body(len(requests), step),
                until=anyio.current_time() + duration_s,
            )
        )

    async def withdraw(self, rng: random.Random) -> None:
        """Withdraw an endpoint; later another one takes its address."""
        name = self._choose_removable(rng)
        if name is not None:
            await self._replace(name, rng)

    async def announce_leaving(self, rng: random.Random) -> None:
        """Let an endpoint announce in answers that it leaves, then go."""
        name = self._choose_removable(rng)
        if name is None:
            return
        self._journal.record('announce', name)
        self._fleet.endpoints[name].notices.is_leaving = True
        await anyio.sleep(choose_duration(rng))
        await self._replace(name, rng)

    async def ask_for_pause(self, rng: random.Random) -> None:
        """Let an endpoint refuse all requests and ask for a pause."""
        pool = self._fleet.tables[-1].shares[0].pool
        endpoint = rng.choice(
            [
                candidate
                for candidate in self._fleet.endpoints.values()
                if candidate.service == pool
            ]
        )
        duration_s = choose_duration(rng)
        self._journal.record('ask for pause', endpoint.name, duration_s)
        endpoint.notices.pause_ends_at = anyio.current_time() + duration_s

    async def limit_rate(self, rng: random.Random) -> None:
        """Let some or all endpoints of a pool state a rate limit."""
        pool = self._fleet.tables[-1].shares[0].pool
        endpoints = [
            endpoint
            for endpoint in self._fleet.endpoints.values()
            if endpoint.service == pool and endpoint.notices.rate_limit is None
        ]
        least = min(1, len(endpoints))
        chosen = rng.sample(endpoints, rng.randint(least, len(endpoints)))
        duration_s = rng.uniform(MIN_LIMIT_S, MAX_LIMIT_S)
        limited = []
        for endpoint in chosen:
            rate = round(rng.uniform(MIN_RATE_LIMIT, MAX_RATE_LIMIT), 1)
            self._journal.record(f'limit {rate}', endpoint.name, duration_s)
            endpoint.notices.rate_limit = rate
            # The endpoint may have left before the limit ends.
            limited.append(endpoint.notices)
        await anyio.sleep(duration_s)
        for notices in limited:
            notices.rate_limit = None

    def _choose_removable(self, rng: random.Random) -> str | None:
        """Choose an endpoint of a pool that has others."""
        fleet = self._fleet
        pool = fleet.tables[-1].shares[0].pool
        if rng.random() < OTHER_POOL_SHARE:
            pool = rng.choice(bounds.POOLS)
        names = [
            name
            for name, endpoint in fleet.endpoints.items()
            if endpoint.service == pool
            and name not in fleet.withdrawn_at
            and not endpoint.notices.is_leaving
        ]
        if len(names) < MIN_ENDPOINTS:
            return None
        return rng.choice(names)

    async def _replace(self, name: str, rng: random.Random) -> None:
        fleet = self._fleet
        is_announced = rng.random() < 0.6
        self._journal.record('leave', name)
        # After the withdrawal the address serves under another name.
        fleet.withdraw_endpoint(name, is_announced=is_announced)
        withdrawn = fleet.endpoints[name]
        await anyio.sleep(bounds.DRAIN_S + choose_duration(rng))
        fleet.write('keyed.servers', name, None)
        successor = await fleet.add_endpoint(
            self._group, withdrawn.service, fault_share=withdrawn.fault_share
        )
        withdrawn.name = f'{successor.name}-in-place-of-{name}'
        withdrawn.notices = Notices()

    async def roll_out(self, rng: random.Random) -> None:
        """Order a roll-out of a version, good or bad, once in a run."""
        if self.rollout_is_bad is not None:
            return
        self.rollout_is_bad = rng.random() < 0.7
        fault_share = BAD_VERSION_FAULT_SHARE if self.rollout_is_bad else 0
        for _ in range(2):
            await self._fleet.add_endpoint(
                self._group,
                bounds.ROLLOUT_SERVICE,
                version='v2',
                fault_share=fault_share,
            )
        self._journal.record(
            'rollout', 'bad' if self.rollout_is_bad else 'good'
        )
        self.rollout_ordered_at = anyio.current_time()
        self._fleet.write(
            'keyed.op',
            f'rollout/{bounds.ROLLOUT_SERVICE}',
            {
                'service': bounds.ROLLOUT_SERVICE,
                'target': 'v2',
                'duration_s': bounds.ROLLOUT_S,
            },
        )
