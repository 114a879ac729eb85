"""Load decisions in the relay: only what has not run is rejected."""

import anyio
import pytest

from laurelwind.coordination.choosing import EndpointChooser
from laurelwind.coordination.limits.endpoint_permits import Permit
from laurelwind.coordination.load.forecasts import Forecast
from laurelwind.coordination.relay_jobs import Job
from laurelwind.errors import CapacityError, EndpointError, ErrorKind
from laurelwind.protocol.exchanges import AnswerHead, LoadReport
from laurelwind.state.load import read_monotonic_clock
from tests.relay_helpers import (
    EndpointScript,
    RelayHarness,
    build_broken_error,
    build_request,
    build_routing_table,
)

pytestmark = pytest.mark.anyio

COMPLETE = EndpointScript(chunks=[b'whole'])
REFUSED = EndpointScript(head=AnswerHead(status=503, did_not_run=True))
HOPELESS = Forecast(start_s=9, first_s=9.1, finish_s=10, occupancy=3, age_s=0.1)
EMPTY = Forecast(start_s=0, first_s=0.1, finish_s=1, occupancy=0.1, age_s=0.1)


class RecordedLog:
    """Collects the names and fields of log lines."""

    def __init__(self):
        self.lines = []

    def log_warning(self, event, /, **fields):
        self.lines.append((event, fields))

    log_info = log_warning


def build_harness(*scripts, forecasts):
    """Build a relay whose forecasts are given.

    A list is used in its order, the last one repeatedly; a mapping gives the
    forecast of each endpoint.
    """
    harness = RelayHarness(*scripts)
    remaining = forecasts if isinstance(forecasts, dict) else list(forecasts)

    def forecast_at(endpoint, traits, work=None):
        if work is None:
            return None
        if isinstance(remaining, dict):
            return remaining[endpoint.name]
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    harness.placement.forecast_at = forecast_at
    harness.placement.is_paced = lambda service: True
    return harness


def build_job(name, timeout_s=2.0, output_tokens=0):
    """Build a request in progress without a workspace."""
    routes = {route.name: route for route in build_routing_table().routes}
    now = read_monotonic_clock()
    return Job(
        request=build_request(name, output_tokens=output_tokens),
        route=routes[name],
        workspace=None,
        service='pool',
        arrived_at=now,
        deadline_at=now + timeout_s,
    )


@pytest.mark.parametrize('name', ['book', 'look', 'draft'])
async def test_hopeless_request_is_rejected_before_it_is_sent(name):
    """Guards against requests that wait and then fail at their deadline."""
    harness = build_harness(COMPLETE, forecasts=[HOPELESS])
    with pytest.raises(CapacityError) as caught:
        await harness.serve(build_request(name))
    assert caught.value.kind is ErrorKind.OVERLOADED
    assert caught.value.status == 429
    assert 0 < caught.value.retry_after_s <= 2 / 3
    assert not harness.gateway.sent


@pytest.mark.parametrize('forecast', [None, EMPTY])
async def test_request_is_served_with_room_or_without_knowledge(forecast):
    """Guards against refusals without evidence of pressure."""
    harness = build_harness(COMPLETE, forecasts=[forecast])
    answer = await harness.serve(build_request('book'))
    assert answer.body == b'whole'


async def test_room_by_report_overrules_a_queue_of_hints():
    """Guards against refusals by hints where the endpoint reports room."""
    harness = build_harness(COMPLETE, forecasts=[EMPTY])
    for name in ('e1', 'e2', 'e3'):
        harness.placement.record_remote_work(name, 60)
    answer = await harness.serve(build_request('look'))
    assert answer.body == b'whole'


async def test_old_version_with_room_is_used_during_a_rollout():
    """Guards against refusals as only the few endpoints of a trial are full."""
    harness = build_harness(
        COMPLETE, forecasts={'e1': HOPELESS, 'e2': HOPELESS, 'e3': EMPTY}
    )
    harness.rollouts.is_rolling_out = lambda service: True
    harness.rollouts.filter_endpoints = (
        lambda service, key, endpoints, *, allows_target, **_: [
            endpoint
            for endpoint in endpoints
            if (endpoint.name == 'e3') is not allows_target
        ]
    )
    answer = await harness.serve(build_request('look'))
    assert answer.body == b'whole'
    assert harness.gateway.sent[0].endpoint == 'e3'


async def test_forecast_is_of_the_endpoint_that_gets_the_request():
    """Guards against refusals by the forecast of another, full endpoint.

    Load: one endpoint is free and eight are full, as they report themselves.
    """
    harness = RelayHarness(names=[f'e{number}' for number in range(9)])
    for endpoint in harness.directory.list_ready('pool'):
        is_free = endpoint.name == 'e0'
        harness.placement.record_report(
            endpoint,
            LoadReport(
                running=0 if is_free else 8,
                waiting=0 if is_free else 40,
                slots=8,
                slowdown=1.0,
            ),
        )
    selector = harness.relay._dependencies.sender.selector
    for _ in range(60):
        job = build_job('look')
        assert selector.choose(job).name == 'e0'
        assert job.forecast.occupancy < 0.5


async def test_output_limit_of_a_caller_is_no_expected_output():
    """Guards against refusals of short answers with a high limit.

    Load: all slots of the only endpoint are taken, and a few requests wait. A
    usual answer has 20 tokens, and the caller's limit is 4,000.
    """
    harness = RelayHarness(names=['e0'])
    placement = harness.placement
    (endpoint,) = harness.directory.list_ready('pool')
    placement.record_report(
        endpoint, LoadReport(running=8, waiting=2, slots=8, slowdown=1.0)
    )
    load = placement.get_service_load('pool')
    for _ in range(8):
        load.lengths.record('look', 20, 0)
        for event_times in load.event_times.values():
            event_times.record(0.03, 8)
    job = build_job('look', output_tokens=4000)
    selector = harness.relay._dependencies.sender.selector
    assert selector.choose(job) is endpoint
    assert job.forecast.finish_s < 1.5
    assert job.work.output_tokens == 20


async def test_another_endpoint_in_time_is_used_before_a_refusal():
    """Guards against refusals while another endpoint is in time.

    Load: the endpoints of the lowest cost miss the deadline, one does not.
    """
    in_time = Forecast(
        start_s=0.1, first_s=0.2, finish_s=0.5, occupancy=1.1, age_s=0.1
    )
    harness = build_harness(
        COMPLETE, forecasts={'e1': HOPELESS, 'e2': HOPELESS, 'e3': in_time}
    )
    harness.placement.record_remote_work('e3', 0.5)
    answer = await harness.serve(build_request('look'))
    assert answer.body == b'whole'
    assert harness.gateway.sent[0].endpoint == 'e3'


async def test_refused_request_is_rejected_between_attempts():
    """Guards against further attempts that could not be in time."""
    harness = build_harness(REFUSED, COMPLETE, forecasts=[EMPTY, HOPELESS])
    with pytest.raises(CapacityError):
        await harness.serve(build_request('look'))
    assert len(harness.gateway.sent) == 1


async def test_request_that_may_have_run_is_not_rejected():
    """Guards against a 429 for work that may have been done."""
    harness = build_harness(
        EndpointScript(head=build_broken_error()),
        COMPLETE,
        forecasts=[EMPTY, HOPELESS],
    )
    answer = await harness.serve(build_request('look'))
    assert answer.body == b'whole'


async def test_failed_booking_is_never_called_not_run():
    """Guards against a 429 where the only attempt may have run."""
    harness = build_harness(
        EndpointScript(head=build_broken_error()), forecasts=[EMPTY, HOPELESS]
    )
    with pytest.raises(EndpointError) as caught:
        await harness.serve(build_request('book'))
    assert caught.value.status == 502


async def test_begun_stream_is_not_rejected():
    """Guards against the loss of a stream that can be resumed."""
    harness = build_harness(
        EndpointScript(chunks=[b'id: 1\ndata: x\n\n', build_broken_error()]),
        EndpointScript(chunks=[b'id: 2\ndata: y\n\n']),
        forecasts=[EMPTY, HOPELESS],
    )
    answer = await harness.serve(build_request('draft'))
    assert answer.is_whole
    assert len(harness.gateway.sent) == 2


async def test_ended_attempts_leave_no_state():
    """Guards against growth with each request."""
    harness = build_harness(COMPLETE, COMPLETE, forecasts=[EMPTY])
    for _ in range(2):
        await harness.serve(build_request('look'))
    gate = harness.relay._dependencies.sender.load
    assert not gate._attempts
    assert not gate.decisions.get_service('pool').get_correction(0)._sent


async def test_shed_line_tells_inputs_and_outcome():
    """Guards against rejections that cannot be explained afterwards."""
    harness = build_harness(forecasts=[HOPELESS])
    log = RecordedLog()
    gate = harness.relay._dependencies.sender.load
    object.__setattr__(gate, 'log', log)
    with pytest.raises(CapacityError):
        await harness.serve(build_request('look'))
    (event, fields), *_ = log.lines
    assert event == 'shed'
    assert fields['reason'] == 'deadline'
    assert fields['workspace'] == 'forms'
    assert {'occupancy', 'evidence_age_s', 'retry_after_s'} <= fields.keys()


class QueueSelector:
    """A selector whose only endpoint grants a permit later."""

    def __init__(self, harness, endpoint):
        self.load = harness.relay._dependencies.sender.load
        self.placement = self
        self._endpoint = endpoint

    def list_limited(self, job):
        return {self._endpoint.name}

    def is_rolling_out(self, job):
        return False

    def choose(self, job, *, avoids_backoff=False):
        return None

    def choose_queued(self, job):
        return self._endpoint


class QueuePermits:
    """Grants permits that are due after five seconds."""

    def __init__(self):
        self.returned = []

    async def acquire(self, request_id, endpoint, max_wait_s=0):
        due_at = read_monotonic_clock() + 5
        return Permit(process=('e1', 1), due_at=due_at)

    def give_back(self, permit):
        self.returned.append(permit)


async def test_waiting_request_is_rejected_once_it_is_hopeless():
    """Guards against a request that is held and then refused all the same."""
    harness = build_harness(forecasts=[EMPTY, EMPTY, HOPELESS])
    permits = QueuePermits()
    chooser = EndpointChooser(
        selector=QueueSelector(
            harness, harness.directory.list_ready('pool')[0]
        ),
        permits=permits,
        log=harness.log,
    )
    job = build_job('look', timeout_s=8)
    with anyio.fail_after(3), pytest.raises(CapacityError):
        await chooser.choose(job)
    assert len(permits.returned) == 1
