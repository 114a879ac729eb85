"""In-memory fakes of the collaborators of a relay."""

import functools
import os
from collections.abc import Callable

import anyio
from attrs import define, field

from laurelwind.coordination.limits.endpoint_limits import EndpointLimits
from laurelwind.coordination.limits.endpoint_permits import EndpointPermits
from laurelwind.coordination.limits.holders import HolderChoice
from laurelwind.coordination.limits.limit_gossip import LimitGossip
from laurelwind.coordination.limits.permit_asks import PermitAsks
from laurelwind.coordination.load import report_gossip
from laurelwind.coordination.relay import build_relay
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.scheduling import (
    forecast_placement,
    load_observations,
    observations,
    placement,
    report_observations,
)
from laurelwind.coordination.scheduling.fleet_retry_budget import (
    FleetRetryBudget,
)
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.sending import SenderDependencies
from laurelwind.coordination.statement_gossip import GossipDependencies
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.coordination.zones.regions import ZoneRegions
from laurelwind.decisions import DecisionLog
from laurelwind.errors import (
    EndpointBrokenError,
    EndpointError,
    ErrorKind,
    RunState,
)
from laurelwind.protocol.datagrams import DatagramChannel
from laurelwind.protocol.exchanges import (
    AnswerHead,
    CallerAnswer,
    EndpointExchange,
    EndpointGateway,
    PromptPart,
    RelayRequest,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.state.directory import EndpointDirectory, EndpointRecord
from laurelwind.state.evacuated_zones import EvacuatedZones
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.routes import (
    RequestKind,
    Route,
    RouteModel,
    RoutingTable,
    Service,
    WeightedService,
    Workspace,
)
from laurelwind.state.stops import StopLimit

KEY = 'key-of-forms'
SMALL = RouteModel(name='small', cost=0.02)
LOCAL_MEMBER = ListedInstance(
    name='d1:1', zone='a', caller_address='d1:1', peer_address='d1:2'
)
LARGE = RouteModel(name='large', cost=0.4)


@functools.cache
def open_null_device():
    return os.open(os.devnull, os.O_WRONLY)


def build_silent_log():
    return DecisionLog(descriptor=open_null_device())


def build_endpoint_record(name, **fields):
    values = {
        'name': name,
        'service': 'pool',
        'address': f'{name}:1',
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'started_ms': 1,
        'sequence': 1,
        **fields,
    }
    return EndpointRecord(**values)


def build_route(name, kind, **fields):
    values = {
        'name': name,
        'host': 'forms.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'shares': (WeightedService(service='pool', weight=1),),
        'timeout_s': 2.0,
        'latency_goal_s': 1.0,
        'max_attempts': 3,
        **fields,
    }
    return Route(**values)


def build_routing_table(version=1, **fields):
    values = {
        'version': version,
        'routes': (
            build_route('book', RequestKind.NON_IDEMPOTENT),
            build_route('look', RequestKind.IDEMPOTENT),
            build_route('draft', RequestKind.STREAMING, is_resumable=True),
            build_route('talk', RequestKind.STREAMING),
            build_route(
                'sized',
                RequestKind.STREAMING,
                is_resumable=True,
                models=(SMALL, LARGE),
            ),
        ),
        'services': {'pool': Service(name='pool')},
        'workspaces': {KEY: Workspace(name='forms')},
        'requires_key': True,
        **fields,
    }
    return RoutingTable(**values)


def build_request(name, **fields):
    values = {
        'request_id': 'r1',
        'method': 'POST',
        'target': f'/{name}/1'.encode(),
        'host': 'forms.example',
        'key': KEY,
        'parts': (PromptPart(name='doc', tokens=100),),
        **fields,
    }
    return RelayRequest(**values)


@define
class FakeTracker:
    table: object
    is_newest: bool = True
    next_table: object = None
    is_ready: bool = True

    async def ensure_current(self):
        self.table = self.next_table or self.table
        return self.is_newest


@define
class Pause:
    """Silence of an endpoint, which a cancelled read does not prolong."""

    seconds: float
    ends_at: float = 0

    async def wait(self):
        self.ends_at = self.ends_at or anyio.current_time() + self.seconds
        await anyio.sleep_until(self.ends_at)


@define
class EndpointScript:
    """Scripted behaviour of an endpoint for one request.

    A head or chunk that is an exception is raised; ``None`` hangs, a
    :class:`Pause` delays what follows, and a callable chunk is called.
    """

    head: object = field(factory=lambda: AnswerHead(status=200))
    chunks: list = field(factory=list)
    refuses_connection: bool = False
    pause: Pause = field(factory=lambda: Pause(0))


class FakeExchange(EndpointExchange):
    def __init__(self, script):
        self._script = script
        self._chunks = list(script.chunks)
        self.is_closed = False

    async def read_head(self):
        await self._script.pause.wait()
        return await _play(self._script.head)

    async def read_chunk(self):
        while self._chunks and isinstance(self._chunks[0], Pause | Callable):
            if isinstance(self._chunks[0], Pause):
                await self._chunks[0].wait()
                self._chunks.pop(0)
            else:
                self._chunks.pop(0)()
        if not self._chunks:
            return b''
        chunk = await _play(self._chunks[0])
        self._chunks.pop(0)
        return chunk

    async def close(self):
        self.is_closed = True


async def _play(result):
    if result is None:
        await anyio.sleep(30)
    if isinstance(result, Exception):
        raise result
    return result


class FakeGateway(EndpointGateway):
    """Applies one script per sent request, in order."""

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.sent = []
        self.exchanges = []

    async def send(self, request, dispatch):
        assert all(exchange.is_closed for exchange in self.exchanges)
        script = self.scripts.pop(0) if self.scripts else EndpointScript()
        if script.refuses_connection:
            raise EndpointError(
                ErrorKind.ENDPOINT_FAILED, 'refused', run=RunState.NOT_RUN
            )
        self.sent.append(dispatch)
        self.exchanges.append(FakeExchange(script))
        return self.exchanges[-1]


class FakeAnswer(CallerAnswer):
    def __init__(self):
        self.status = None
        self.heads = 0
        self.body = b''
        self.is_whole = False

    async def begin(self, status, headers, length):
        self.has_begun = True
        self.heads += 1
        self.status = status

    async def send(self, chunk):
        self.body += chunk

    async def finish(self, chunk=b''):
        self.body += chunk
        self.is_whole = True


def patch_placement_clock(monkeypatch, clock):
    """Replace the clock that placement reads."""
    for module in (
        observations,
        report_observations,
        load_observations,
        forecast_placement,
        placement,
        report_gossip,
    ):
        monkeypatch.setattr(module, 'read_monotonic_clock', clock)


def ignore_hint(endpoint, duration_s):
    """Discard the notification."""


class SilentChannel(DatagramChannel):
    """Network of a daemon without peers."""

    def add_listener(self, receive):
        """Receive nothing."""

    async def send(self, peer, datagram):
        """Lose the datagram."""


def build_permits(log):
    """Build the permits of a daemon without peers."""
    limits = EndpointLimits(log=log)
    channel = SilentChannel()
    return EndpointPermits(
        limits=limits,
        gossip=LimitGossip(
            limits=limits,
            dependencies=GossipDependencies(channel=channel, list_peers=list),
        ),
        asks=PermitAsks(
            limits=limits,
            holders=HolderChoice(list_members=lambda: [LOCAL_MEMBER]),
            channel=channel,
            local_address=LOCAL_MEMBER.peer_address,
        ),
        count=lambda outcome: None,
        log=log,
    )


class RelayHarness:
    """A relay with fake collaborators."""

    def __init__(
        self,
        *scripts,
        names=('e1', 'e2', 'e3'),
        retry_ratio=1.0,
        gateway=None,
        screen=None,
        permits=None,
        zone='a',
        regions=None,
    ):
        self.log = build_silent_log()
        self.lease = FreshnessLease(duration_s=4.5)
        self.lease.renew(self.lease.read_clock())
        self.directory = EndpointDirectory()
        for offset, name in enumerate(names):
            self.directory.apply(
                name, build_endpoint_record(name), offset=offset
            )
        self.rollouts = RolloutRegistry(
            local_daemon='d1', exposure_share=0.15, log=self.log
        )
        self.placement = Placement(zone=zone)
        self.permits = permits or build_permits(self.log)
        self.screen = screen or SuspectScreen(
            log=self.log, count_members=lambda: 1
        )
        self.stop = StopLimit()
        self.tracker = FakeTracker(build_routing_table())
        self.gateway = gateway or FakeGateway(scripts)
        self.retry_budget = FleetRetryBudget(
            retry_ratio=retry_ratio,
            extra_retries=10,
            window_s=10,
            count_members=lambda: 1,
        )
        self.zones = EvacuatedZones()
        self.leaving = []
        self.relay = build_relay(
            dependencies=SenderDependencies(
                tracker=self.tracker,
                lease=self.lease,
                directory=self.directory,
                rollouts=self.rollouts,
                placement=self.placement,
                permits=self.permits,
                screen=self.screen,
                stop=self.stop,
                retry_budget=self.retry_budget,
                gateway=self.gateway,
                notify_work=ignore_hint,
                notify_loss=ignore_hint,
                notify_leaving=self.record_leaving,
                log=self.log,
                zones=self.zones,
                regions=regions or ZoneRegions(),
            ),
            metrics=RelayMetrics(),
        )

    def record_leaving(self, name, started_ms):
        self.leaving.append((name, started_ms))

    async def serve(self, request):
        answer = FakeAnswer()
        await self.relay.serve(request, answer, read_monotonic_clock())
        return answer


def build_broken_error(run=RunState.UNKNOWN):
    return EndpointBrokenError(ErrorKind.ENDPOINT_FAILED, 'broken', run=run)


def build_invalid_error():
    """Build the error of an answer that is no answer."""
    return EndpointError(
        ErrorKind.ANSWER_BROKEN, 'invalid', run=RunState.UNKNOWN
    )
