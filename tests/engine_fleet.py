"""A small queue model of uneven engines before many daemons.

Steps, prefill and memory follow the measurements in
``docs/design/uneven-endpoints.md``.  ``python -m tests.engine_fleet`` prints
the figures of that page.
"""

import math
import random
import statistics
import sys
from unittest import mock

import orjson
from attrs import define, field

from laurelwind.coordination.load.report_gossip import (
    FANOUT,
    PERIOD_S,
    ReportGossip,
)
from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.coordination.scheduling import (
    forecast_placement,
    load_observations,
    observations,
    placement,
    report_observations,
)
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
    RequestTraits,
    SchedulingClass,
)
from laurelwind.protocol.exchanges import LoadReport
from laurelwind.transport.hints import MIN_WORK_S
from tests.relay_helpers import (
    SilentChannel,
    build_endpoint_record,
    build_silent_log,
)

TICK_S = 0.02
STEP_S = 0.0026
STEP_PER_REQUEST_S = 0.00012
PREFILL_TOKENS_PER_S = 48200
CHUNK_TOKENS = 512
TOKENS_PER_EVENT = 9
SMALL_SHARE = 0.017 / 0.26
SLOTS = 64
MEMORY_TOKENS = 350_098


@define(kw_only=True, eq=False)
class Stream:
    """A request of the model, at one engine at a time."""

    key: str
    prompt: int
    events: int
    hint: int
    deadline_s: float
    arrived_at: float
    is_small: bool
    escalates: bool
    daemon: 'Daemon'
    engine: 'Engine' = None
    reservation: object = None
    prefill_left: float = 0
    produced: float = 0
    sent_at: float = 0
    first_at: float = 0
    ended_at: float = 0
    sent_events: int = 0
    event_at: float = 0

    @property
    def share(self):
        return SMALL_SHARE if self.is_small else 1.0

    @property
    def traits(self):
        prefill_s = self.prompt / 20000 * self.share
        step_class = StepClass.LIGHT if self.is_small else StepClass.HEAVY
        if prefill_s > 0.5:
            step_class = StepClass.LONG
        return RequestTraits(
            route='draft',
            step_class=step_class,
            prompt_tokens=self.prompt,
            length_hint=self.hint,
            output_limit=1024,
            prefill_s=prefill_s,
            sent_events=self.sent_events,
            memory_limit=MEMORY_TOKENS,
        )


@define(kw_only=True, eq=False)
class Engine:
    """An engine that runs its streams in one batch."""

    record: object
    usual: float
    rng: random.Random
    slowdown: float = 1.0
    spike_until: float = 0
    is_gone: bool = False
    streams: list = field(factory=list)
    cached: dict = field(factory=dict)
    held_sum: float = 0
    peak_tokens: float = 0

    def report(self, fields):
        if fields == 'none':
            return None
        running = min(len(self.streams), SLOTS)
        return LoadReport(
            running=running,
            waiting=len(self.streams) - running,
            slots=SLOTS,
            slowdown=self.slowdown if fields == 'pace' else None,
        )

    def add(self, stream, now):
        self.streams.append(stream)
        stream.engine = self
        stream.sent_at = now
        stream.produced = 0
        key = (stream.key, stream.is_small)
        cached = key in self.cached
        self.cached[key] = now
        stream.prefill_left = stream.prompt * (0.4 if cached else 1)

    def advance(self, now):
        """Run the batch for a tick; return the streams with new tokens."""
        self._change_pace(now)
        running = self.streams[:SLOTS]
        self.held_sum += len(self.streams)
        if not running:
            return []
        tokens = sum(stream.prompt + stream.produced for stream in self.streams)
        self.peak_tokens = max(self.peak_tokens, tokens)
        step_s = STEP_S * max(stream.share for stream in running)
        step_s += STEP_PER_REQUEST_S * len(running)
        left_s = TICK_S / self.slowdown
        advanced = {}
        while left_s > 0:
            reading = next((one for one in running if one.prefill_left > 0), 0)
            chunk_s = 0
            steps = 1
            if reading:
                chunk = min(CHUNK_TOKENS, reading.prefill_left)
                chunk_s = chunk / PREFILL_TOKENS_PER_S * reading.share
                reading.prefill_left -= chunk
            else:
                steps = max(left_s / step_s, 1)
            left_s -= step_s * steps + chunk_s
            for stream in running:
                if stream.prefill_left <= 0:
                    stream.produced += steps
                    advanced[stream] = None
        return advanced

    def _change_pace(self, now):
        if now >= self.spike_until and self.rng.random() < TICK_S / 4:
            self.spike_until = now + self.rng.uniform(0.3, 1.2)
        spike = 2.5 if now < self.spike_until else 1
        self.slowdown = self.usual * spike * self.rng.uniform(0.85, 1.15)


@define(kw_only=True, eq=False)
class Daemon:
    """A daemon with its placement."""

    zone: str
    placement: Placement
    gossip: ReportGossip = None


@define(kw_only=True)
class Outcome:
    """Figures of a run."""

    late: float
    first_p50: float
    first_p90: float
    first_p99: float
    event_small_ms: float
    event_large_ms: float
    event_p90_ms: float
    busiest: float
    peak_memory: float
    unplaced: int
    heavy_on_light: float

    def __str__(self):
        return (
            f'unfinished {self.late:.3f}, first event {self.first_p50:.2f} / '
            f'{self.first_p90:.2f} / {self.first_p99:.2f} s, event '
            f'{self.event_small_ms:.0f} / {self.event_large_ms:.0f} ms '
            f'(90%: {self.event_p90_ms:.0f}), busiest {self.busiest:.2f}, '
            f'memory {self.peak_memory:.2f}, unplaced {self.unplaced}, '
            f'mixed {self.heavy_on_light:.2f}'
        )


class Fleet:
    """Daemons, engines and traffic of one run.

    :param fields: figures of the reports: ``none``, ``load`` or ``pace``.
    """

    def __init__(
        self,
        *,
        fields,
        daemons=24,
        engines=15,
        rate=70.0,
        seed=1,
        escalated=0.53,
        prompt=900,
        hot_share=0.0,
        shares_reports=True,
    ):
        self.rng = random.Random(seed)
        random.seed(seed)
        self.now = 100.0
        self.fields = fields
        self.rate = rate
        self.escalated = escalated
        self.prompt = prompt
        self.hot_share = hot_share
        self.shares_reports = shares_reports
        self.engines = [
            Engine(
                record=build_endpoint_record(
                    f'engine-{number}', zone='abc'[number % 3], slots=SLOTS
                ),
                usual=self.rng.choice((0.55, 0.8, 1.0, 1.0, 1.2)),
                rng=random.Random(seed * 1000 + number),
            )
            for number in range(engines)
        ]
        self.by_name = {engine.record.name: engine for engine in self.engines}
        self.daemons = []
        for number in range(daemons):
            zone = 'abc'[number % 3]
            placer = Placement(
                zone=zone,
                rng=random.Random(seed + number),
                by_forecast=True,
                separates_classes=True,
            )
            daemon = Daemon(zone=zone, placement=placer)
            daemon.gossip = ReportGossip(
                observations=placer,
                channel=SilentChannel(),
                list_peers=list,
                find_endpoint=lambda name: self.by_name[name].record,
                log=build_silent_log(),
            )
            self.daemons.append(daemon)
        self.ended = []
        self.unplaced = 0
        self.sent = self.mixed = 0

    def clock(self):
        return self.now

    def run(self, seconds, *, on_tick=None):
        modules = (
            observations,
            report_observations,
            load_observations,
            forecast_placement,
            placement,
        )
        patches = [
            mock.patch.object(module, 'read_monotonic_clock', self.clock)
            for module in modules
        ]
        patches.append(
            mock.patch(
                'laurelwind.coordination.load.report_gossip.read_monotonic_clock',
                self.clock,
            )
        )
        for patch in patches:
            patch.start()
        try:
            for tick in range(int(seconds / TICK_S)):
                if on_tick is not None:
                    on_tick(self, tick * TICK_S)
                self._tick(tick)
        finally:
            for patch in patches:
                patch.stop()
        return self.summarize()

    def _tick(self, tick):
        self.now += TICK_S
        arrivals = self.rng.random() < (self.rate * TICK_S) % 1
        for _ in range(int(self.rate * TICK_S) + arrivals):
            self._send(self._draw_stream())
        for engine in self.engines:
            for stream in sorted(
                engine.advance(self.now), key=lambda one: one.sent_at
            ):
                self._receive(stream)
            for stream in list(engine.streams):
                if self.now - stream.arrived_at > stream.deadline_s:
                    self._end(stream)
        period = round(PERIOD_S / TICK_S)
        is_due = self.fields == 'pace' and self.shares_reports
        if is_due and tick % period == 0:
            self._gossip()

    def _gossip(self):
        for daemon in self.daemons:
            datagram = daemon.gossip.build_datagram()
            if datagram is None:
                continue
            document = orjson.loads(datagram)
            others = [other for other in self.daemons if other is not daemon]
            for peer in self.rng.sample(others, FANOUT):
                peer.gossip.receive(document)

    def _draw_stream(self):
        events = min(max(round(self.rng.lognormvariate(2.3, 1.28)), 1), 110)
        hint = events * TOKENS_PER_EVENT * self.rng.lognormvariate(0, 0.7)
        is_hot = self.rng.random() < self.hot_share
        return Stream(
            key='hot' if is_hot else f'key-{self.rng.randrange(300)}',
            prompt=round(self.prompt * self.rng.lognormvariate(0, 0.6)),
            events=events,
            hint=round(hint),
            deadline_s=self.rng.choice((5, 15, 20)),
            arrived_at=self.now,
            is_small=True,
            escalates=self.rng.random() < self.escalated,
            daemon=self.rng.choice(self.daemons),
        )

    def _send(self, stream):
        placer = stream.daemon.placement
        endpoint = placer.choose(
            [engine.record for engine in self.engines if not engine.is_gone],
            PlacementRequirements(
                affinity_key=stream.key,
                reuse_saving_s=stream.traits.prefill_s * 0.6,
                scheduling_class=(
                    SchedulingClass.LONG
                    if stream.traits.prefill_s > 0.5
                    else SchedulingClass.OTHER
                ),
                traits=stream.traits,
            ),
        )
        if endpoint is None:
            self.unplaced += 1
            return
        engine = self.by_name[endpoint.name]
        self.sent += 1
        self.mixed += not stream.is_small and any(
            other.is_small for other in engine.streams
        )
        stream.reservation = placer.record_request(
            endpoint, stream.traits.prefill_s, stream.traits
        ).reservation
        engine.add(stream, self.now)
        if stream.traits.prefill_s >= MIN_WORK_S:
            for daemon in self.daemons:
                if daemon.zone == stream.daemon.zone and (
                    daemon is not stream.daemon
                ):
                    daemon.placement.record_remote_work(
                        endpoint.name, stream.traits.prefill_s
                    )

    def _receive(self, stream):
        """Handle the tokens of a tick."""
        engine = stream.engine
        placer = stream.daemon.placement
        complete = min(int(stream.produced / TOKENS_PER_EVENT), stream.events)
        if complete in {0, stream.sent_events}:
            return
        if not stream.sent_events:
            report = engine.report(self.fields)
            if report is not None:
                placer.record_report(engine.record, report)
            if stream.is_small and stream.escalates:
                self._leave(stream)
                stream.is_small = False
                self._send(stream)
                return
            stream.first_at = self.now
            placer.record_first_event(
                engine.record,
                self.now - stream.sent_at,
                stream.traits.prefill_s,
            )
            placer.record_event_latency(engine.record, None)
        else:
            elapsed_s = self.now - stream.event_at
            count = complete - stream.sent_events
            placer.record_event_latency(engine.record, elapsed_s / count)
        stream.sent_events = complete
        stream.event_at = self.now
        if complete >= stream.events:
            placer.record_length('pool', stream.traits)
            stream.ended_at = self.now
            self._end(stream)

    def _leave(self, stream):
        stream.engine.streams.remove(stream)
        stream.daemon.placement.record_attempt_end(
            stream.engine.record, stream.reservation
        )

    def _end(self, stream):
        self._leave(stream)
        self.ended.append(stream)

    def summarize(self):
        firsts = [
            stream.first_at - stream.arrived_at
            for stream in self.ended
            if stream.first_at
        ]
        cuts = statistics.quantiles(firsts, n=100)
        paces = {True: [], False: []}
        for stream in self.ended:
            if stream.sent_events > 4:
                paces[stream.is_small].append(
                    1000
                    * (stream.event_at - stream.first_at)
                    / (stream.sent_events - 1)
                )
        held = [engine.held_sum for engine in self.engines]
        events = paces[True] + paces[False]
        return Outcome(
            late=sum(not stream.ended_at for stream in self.ended)
            / len(self.ended),
            first_p50=cuts[49],
            first_p90=cuts[89],
            first_p99=cuts[98],
            event_small_ms=statistics.median(paces[True] or [math.nan]),
            event_large_ms=statistics.median(paces[False] or [math.nan]),
            event_p90_ms=statistics.quantiles(events, n=10)[8],
            busiest=max(held) / statistics.mean(held),
            peak_memory=max(engine.peak_tokens for engine in self.engines)
            / MEMORY_TOKENS,
            unplaced=self.unplaced,
            heavy_on_light=self.mixed / max(self.sent, 1),
        )


def main():
    """Print the figures before and after, at the size of a measured day."""
    for prompt in (4000, 7000, 9000):
        for fields in ('none', 'load', 'pace'):
            fleet = Fleet(
                fields=fields,
                daemons=71,
                engines=45,
                rate=200,
                prompt=prompt,
                seed=7,
            )
            sys.stdout.write(f'{prompt} {fields}: {fleet.run(15)}\n')


if __name__ == '__main__':
    main()
