"""A fleet of daemons and engines in virtual time, for load decisions."""

import heapq
import math
import random

import orjson
from attrs import define, field, frozen

from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.shedding.decisions import LoadRequest
from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.load_gossip import (
    FANOUT,
    INTERVAL_S,
    LoadGossip,
)
from tests.relay_helpers import SilentChannel

STEP_S = 0.02
SLOTS = 8
REPORT_DELAY_S = 0.4


@frozen(kw_only=True)
class Kind:
    """Requests of one route: the share of arrivals and what they need."""

    name: str
    share: float
    priority: int
    goal_s: float
    timeout_s: float
    tokens: int
    service_s: float


KINDS = (
    Kind(
        name='ask',
        share=0.3,
        priority=1,
        goal_s=2,
        timeout_s=5,
        tokens=1500,
        service_s=0.7,
    ),
    Kind(
        name='edit',
        share=0.4,
        priority=3,
        goal_s=4,
        timeout_s=15,
        tokens=4000,
        service_s=1.0,
    ),
    Kind(
        name='report',
        share=0.3,
        priority=7,
        goal_s=6,
        timeout_s=20,
        tokens=15000,
        service_s=1.4,
    ),
)
MEAN_SERVICE_S = sum(kind.share * kind.service_s for kind in KINDS)


@define(kw_only=True)
class Call:
    """One request of a caller."""

    kind: Kind
    workspace: str
    session: str
    arrived_at: float
    tokens: int
    repeats: int = 0
    started_at: float = math.inf
    outcome: str = ''
    daemon: object = None
    sent_at: float = 0

    def forget(self, now):
        if self.daemon is None:
            return
        place = (str(id(self)), 'pool', self.kind.priority)
        if now is None:
            self.daemon.discard(*place)
        else:
            self.daemon.record_answer(*place, now)

    @property
    def service_s(self):
        return self.kind.service_s * self.tokens / self.kind.tokens


@define
class Engine:
    """Runs SLOTS requests at a time, the most urgent first."""

    zone: str
    is_up: bool = True
    running: list = field(factory=list)
    queue: list = field(factory=list)
    reported: tuple = (0, {}, 0)
    history: list = field(factory=list)

    def advance(self, now):
        while self.running and self.running[0][0] <= now:
            heapq.heappop(self.running)
        while self.queue and len(self.running) < SLOTS:
            _, _, call = heapq.heappop(self.queue)
            if now - call.arrived_at > call.kind.timeout_s:
                call.outcome = 'timeout'
                call.forget(None)
                continue
            call.started_at = now
            call.forget(now)
            heapq.heappush(self.running, (now + call.service_s, id(call), call))
        waiting = {}
        for _, _, call in self.queue:
            priority = call.kind.priority
            waiting[priority] = waiting.get(priority, 0) + call.service_s
        self.history.append((now, len(self.running), waiting))
        while now - self.history[0][0] > REPORT_DELAY_S:
            self.history.pop(0)

    def forecast(self, call, now):
        reported_at, running, waiting = self.history[0]
        ahead = sum(
            work
            for priority, work in waiting.items()
            if priority <= call.kind.priority
        )
        total = sum(waiting.values())
        start_s = ahead / SLOTS
        if running >= SLOTS:
            start_s += MEAN_SERVICE_S / SLOTS
        return Forecast(
            start_s=start_s,
            first_s=start_s + 0.1,
            finish_s=start_s + call.service_s,
            occupancy=running / SLOTS + total / MEAN_SERVICE_S / SLOTS,
            age_s=now - reported_at,
        )


class EmulatedLoad:
    """Daemons that place on the best of a few engines, or reject.

    Capacity is a load of 1: arrivals occupy all slots on average.
    """

    def __init__(
        self,
        *,
        seed,
        daemons=20,
        engines=12,
        workspaces=8,
        is_deciding=True,
        is_sharing=True,
        loss=0.1,
    ):
        self.random = random.Random(seed)
        self.now = 0
        self.is_deciding = is_deciding
        self.engines = [Engine(zone='abc'[i % 3]) for i in range(engines)]
        self.daemons = [LoadDecisions() for _ in range(daemons)]
        self.workspaces = {f'w{i}': 1.0 for i in range(workspaces)}
        self.kinds = {kind.name: (kind, kind.share) for kind in KINDS}
        self.calls = []
        self.wrong_refusals = 0
        self.returns = []
        self.repeats_at_once = False
        self.loss = loss
        self.gossips = [
            LoadGossip(
                decisions=daemon,
                channel=SilentChannel(),
                local_address=f'd{number}',
                list_peers=list,
                clock=lambda: self.now,
            )
            for number, daemon in enumerate(self.daemons if is_sharing else ())
        ]
        self._sent = 0

    def run(self, until, load):
        """Run with arrivals of ``load`` times the full capacity."""
        while self.now < until:
            self.now += STEP_S
            for engine in self.engines:
                if engine.is_up:
                    engine.advance(self.now)
            rate = load * len(self.engines) * SLOTS / MEAN_SERVICE_S
            total = sum(share for _, share in self.kinds.values())
            expected = rate * STEP_S * total
            count = int(expected) + (self.random.random() < expected % 1)
            for _ in range(count):
                self._arrive(self._draw_call())
            while self.returns and self.returns[0][0] <= self.now:
                self._arrive(heapq.heappop(self.returns)[-1])
            self._exchange_reports()

    def _exchange_reports(self):
        due = STEP_S / INTERVAL_S
        for gossip in self.gossips:
            if self.random.random() >= due:
                continue
            datagram = gossip.encode()
            for peer in self.random.sample(self.gossips, FANOUT):
                if datagram and self.random.random() >= self.loss:
                    peer.receive(orjson.loads(datagram))

    def _draw_call(self):
        kinds = list(self.kinds.values())
        kind, _ = self.random.choices(kinds, [share for _, share in kinds])[0]
        workspace = self.random.choices(
            list(self.workspaces), list(self.workspaces.values())
        )[0]
        call = Call(
            kind=kind,
            workspace=workspace,
            session=f's{self.random.randrange(60)}',
            arrived_at=self.now,
            tokens=round(kind.tokens * self.random.choice((0.5, 1, 1.5))),
        )
        self.calls.append(call)
        return call

    def _arrive(self, call):
        daemon = self.random.choice(self.daemons)
        up = [engine for engine in self.engines if engine.is_up]
        candidates = self.random.sample(up, min(3, len(up)))
        engine = min(
            candidates,
            key=lambda e: (
                e.forecast(call, self.now).start_s
                + e.forecast(call, self.now).occupancy * 0.01
            ),
        )
        forecast = engine.forecast(call, self.now)
        if not self.is_deciding:
            self._send(engine, call)
            return
        request = LoadRequest(
            service='pool',
            kind=call.kind.name,
            request_id=str(id(call)),
            workspace=call.workspace,
            priority=call.kind.priority,
            work=Work(prompt_tokens=call.tokens, priority=call.kind.priority),
            goal_s=call.kind.goal_s,
            elapsed_s=0,
            remaining_s=call.kind.timeout_s - (self.now - call.arrived_at),
            draw=self.random.random(),
            return_draw=self.random.random(),
        )
        if call.kind.priority > 1:
            probe = Call(
                kind=KINDS[0],
                workspace='',
                session='',
                arrived_at=self.now,
                tokens=1500,
            )
            urgent = LoadRequest(
                service='pool',
                kind='ask',
                request_id=str(id(call)),
                priority=1,
                goal_s=2,
                remaining_s=5,
                draw=0,
                return_draw=0,
            )
            daemon.record_forecast(
                urgent, engine.forecast(probe, self.now), self.now
            )
        decision = daemon.review(request, forecast, self.now)
        if not decision.is_shed:
            daemon.record_sent(str(id(call)), request, forecast, self.now)
            call.daemon = daemon
            self._send(engine, call)
            return
        self._count_wrong()
        call.outcome = f'shed_{decision.reason}'
        delay = 0.05 if self.repeats_at_once else decision.retry_after_s
        limit = 6 if self.repeats_at_once else 1
        if call.repeats < limit:
            call.repeats += 1
            heapq.heappush(self.returns, (self.now + delay, id(call), call))

    def _count_wrong(self):
        up = [engine for engine in self.engines if engine.is_up]
        taken = sum(len(engine.running) for engine in up)
        if taken * 2 < len(up) * SLOTS and not any(e.queue for e in up):
            self.wrong_refusals += 1

    def _send(self, engine, call):
        call.outcome = 'sent'
        call.sent_at = self.now
        self._sent += 1
        heapq.heappush(engine.queue, (call.kind.priority, self._sent, call))

    def is_good(self, call):
        """Whether the first event was in time."""
        return call.started_at + 0.1 - call.arrived_at <= call.kind.goal_s

    def select(self, start, end, **fields):
        """Return calls by arrival, kind name or workspace."""
        return [
            call
            for call in self.calls
            if start <= call.arrived_at < end
            and fields.get('kind', call.kind.name) == call.kind.name
            and fields.get('workspace', call.workspace) == call.workspace
        ]

    def get_good_share(self, start, end, **fields):
        """Return the share of calls that were served in time."""
        calls = self.select(start, end, **fields)
        return sum(map(self.is_good, calls)) / max(len(calls), 1)

    def get_sent_share(self, calls):
        """Return the share of calls that were sent to an engine."""
        sent = sum(call.started_at < math.inf for call in calls)
        return sent / max(len(calls), 1)

    def get_admitted_share(self, calls):
        """Return the share of calls that no daemon rejected at last."""
        shed = sum(call.outcome.startswith('shed') for call in calls)
        return 1 - shed / max(len(calls), 1)

    def get_goodput(self, start, end):
        """Return engine time spent on calls in time, relative to capacity."""
        spent = sum(
            call.service_s
            for call in self.calls
            if start <= call.started_at < end and self.is_good(call)
        )
        return spent / ((end - start) * len(self.engines) * SLOTS)
