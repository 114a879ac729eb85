"""Zones that operators evacuate and take back.

Guards against requests that reach an evacuated zone after a restore or an
outage of the store, and against a zone that stays unused.
"""

import anyio
import orjson
import pytest

from laurelwind.coordination.zones.evacuations import (
    EvacuationDependencies,
    Evacuations,
)
from laurelwind.errors import (
    CapacityError,
    EndpointPausedError,
    ErrorKind,
    RunState,
)
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.protocol.keyed_store import KeyedRecord, Topic
from laurelwind.state.directory import LAPSE_GRACE_S, EndpointDirectory
from laurelwind.state.evacuated_zones import MAX_ZONES, EvacuatedZones
from tests.emulated_fleet import EmulatedFleet, run_emulated
from tests.relay_helpers import (
    FakeGateway,
    RelayHarness,
    build_endpoint_record,
    build_request,
    build_silent_log,
)

KEY = 'evacuate/a'
EVACUATE_S = 2.0
TABLE = {'version': 1, 'routes': [], 'services': []}


def play(monkeypatch, check, size=7):
    async def run():
        fleet = EmulatedFleet(size, 'abc', bound_s=EVACUATE_S)
        async with fleet.run():
            await check(fleet)

    run_emulated(run, monkeypatch)


def list_zones(fleet):
    return {daemon.zones.names for daemon in fleet.daemons.values()}


@pytest.mark.parametrize('size', [7, 85])
def test_a_zone_is_evacuated_and_taken_back_with_a_new_table(monkeypatch, size):
    async def check(fleet):
        fleet.store.put(Topic.OPERATORS, KEY, {})
        fleet.store.put(Topic.OPERATORS, 'config', {**TABLE, 'version': 2})
        await anyio.sleep(EVACUATE_S)
        assert list_zones(fleet) == {frozenset('a')}
        assert {
            daemon.tracker.table.version for daemon in fleet.daemons.values()
        } == {2}
        fleet.store.put(Topic.OPERATORS, 'config', {**TABLE, 'version': 3})
        fleet.store.put(Topic.OPERATORS, KEY, None)
        await anyio.sleep(EVACUATE_S)
        assert list_zones(fleet) == {frozenset()}

    play(monkeypatch, check, size)


def test_an_outage_of_the_store_changes_nothing(monkeypatch):
    async def check(fleet):
        fleet.store.put(Topic.OPERATORS, KEY, {})
        await anyio.sleep(EVACUATE_S)
        fleet.store.is_down = True
        await anyio.sleep(20)
        assert list_zones(fleet) == {frozenset('a')}
        fleet.store.is_down = False
        await anyio.sleep(5)
        assert list_zones(fleet) == {frozenset('a')}

    play(monkeypatch, check)


@pytest.mark.parametrize('is_written_again', [True, False])
def test_an_evacuation_that_a_restored_store_lacks(
    monkeypatch, is_written_again
):
    async def check(fleet):
        older = fleet.store.copy()
        fleet.store.put(Topic.OPERATORS, KEY, {})
        await anyio.sleep(EVACUATE_S)
        fleet.store.is_down = True
        await anyio.sleep(3)
        fleet.store.restore(older)
        fleet.store.is_down = False
        for _ in range(19):
            await anyio.sleep(0.1)
            assert list_zones(fleet) == {frozenset('a')}
        if is_written_again:
            fleet.store.put(Topic.OPERATORS, KEY, {})
        await anyio.sleep(LAPSE_GRACE_S + 3)
        expected = frozenset('a') if is_written_again else frozenset()
        assert list_zones(fleet) == {expected}

    play(monkeypatch, check)


def test_a_restored_store_that_has_the_evacuation_still(monkeypatch):
    async def check(fleet):
        fleet.store.put(Topic.OPERATORS, KEY, {})
        await anyio.sleep(EVACUATE_S)
        older = fleet.store.copy()
        fleet.store.put(Topic.OPERATORS, KEY, None)
        await anyio.sleep(EVACUATE_S)
        fleet.store.restore(older)
        await anyio.sleep(EVACUATE_S)
        assert list_zones(fleet) == {frozenset('a')}

    play(monkeypatch, check)


def build_evacuations(**options):
    zones = EvacuatedZones(**{'is_enabled': True, **options})
    directory = EndpointDirectory()
    directory.apply('e1', build_endpoint_record('e1'), offset=1)
    evacuations = Evacuations(
        dependencies=EvacuationDependencies(
            zones=zones,
            documents=PlatformDocuments(),
            directory=directory,
            log=build_silent_log(),
        )
    )
    return evacuations, zones


@pytest.mark.parametrize(
    'body', [b'[]', b'1', b'"x"', b'{', b'\xff', b'null', b'[' * 9999]
)
def test_a_body_that_is_no_object_changes_nothing(body):
    evacuations, zones = build_evacuations()
    assert evacuations.apply(KeyedRecord(key=KEY, body=body, offset=1))
    assert not zones.names
    evacuations.apply(KeyedRecord(key=KEY, body=b'{}', offset=2))
    evacuations.apply(KeyedRecord(key=KEY, body=body, offset=3))
    assert zones.names == {'a'}


@pytest.mark.parametrize('zone', ['', 'x', 'a/b', '\0', '\ud7ff' * 80])
def test_a_zone_without_endpoints_is_no_error(zone):
    evacuations, zones = build_evacuations()
    record = KeyedRecord(key=f'evacuate/{zone}', body=b'{}', offset=1)
    assert evacuations.apply(record)
    assert zones.names == {zone}


def test_the_records_are_bounded():
    evacuations, zones = build_evacuations()
    for number in range(MAX_ZONES + 9):
        evacuations.apply(
            KeyedRecord(key=f'evacuate/{number}', body=b'{}', offset=number)
        )
    assert len(zones.names) == MAX_ZONES


def test_without_its_bound_an_evacuation_is_ignored():
    evacuations, zones = build_evacuations(is_enabled=False)
    assert evacuations.apply(KeyedRecord(key=KEY, body=b'{}', offset=1))
    assert not zones.names


def test_a_record_that_is_read_again_changes_nothing():
    evacuations, zones = build_evacuations()
    returned = []
    evacuations.add_listener(returned.append)
    records = [
        KeyedRecord(key=KEY, body=body, offset=offset)
        for offset, body in enumerate((b'{}', None))
    ]
    for record in records * 2:
        evacuations.apply(record)
    assert not zones.names
    assert [endpoint.name for endpoint in returned] == ['e1']


def build_zoned_harness(**options):
    harness = RelayHarness(names=(), **options)
    for offset, zone in enumerate('ab'):
        harness.directory.apply(
            f'e-{zone}',
            build_endpoint_record(f'e-{zone}', zone=zone),
            offset=offset,
        )
    harness.zones.is_enabled = True
    return harness


def evacuate(harness, zone, offset, *, is_evacuated=True):
    harness.zones.apply(zone, offset=offset, is_evacuated=is_evacuated)


@pytest.mark.anyio
async def test_requests_go_to_other_zones_and_return():
    harness = build_zoned_harness()
    request = build_request('look', session='s1')
    evacuate(harness, 'a', 1)
    for _ in range(5):
        assert (await harness.serve(request)).endpoint == 'e-b'
    evacuate(harness, 'b', 2)
    with pytest.raises(CapacityError):
        await harness.serve(request)
    evacuate(harness, 'a', 3, is_evacuated=False)
    assert (await harness.serve(request)).endpoint == 'e-a'


class LateGateway(FakeGateway):
    """Checks a request once more as its connection is open."""

    def __init__(self, on_open):
        super().__init__([])
        self.on_open = on_open

    async def send(self, request, dispatch):
        self.on_open()
        if not dispatch.accepts_requests():
            raise EndpointPausedError(
                ErrorKind.ENDPOINT_FAILED, 'paused', run=RunState.NOT_RUN
            )
        return await super().send(request, dispatch)


@pytest.mark.anyio
async def test_an_evacuation_counts_as_the_connection_opens():
    gateway = LateGateway(lambda: evacuate(harness, 'a', 1))
    harness = build_zoned_harness(gateway=gateway)
    answer = await harness.serve(build_request('book'))
    assert answer.endpoint == 'e-b'
    assert [dispatch.endpoint for dispatch in gateway.sent] == ['e-b']


def test_the_bodies_of_operators_are_objects():
    documents = PlatformDocuments()
    assert documents.decode_evacuation(KEY, orjson.dumps({'x': 1})) == 'a'
    assert documents.decode_evacuation(KEY, None) == 'a'
