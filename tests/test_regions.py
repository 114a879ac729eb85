"""Requests and entries that are bound to regions, and entries that are gone.

Guards against data that leaves its region, and against callers that are sent to
instances that no longer exist.
"""

import anyio
import orjson
import pytest

from laurelwind.coordination.topics.restored_members import (
    READ_S,
    RestoredMembers,
)
from laurelwind.coordination.zones.regions import ZoneRegions
from laurelwind.errors import CapacityError, ConfigurationError
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.relay_entries import FleetEntries
from laurelwind.relay_settings import load_relay_settings
from laurelwind.state.routes import RequestKind, Workspace
from tests.emulated_fleet import EmulatedFleet, run_emulated
from tests.relay_helpers import (
    KEY,
    FakeTracker,
    RelayHarness,
    build_endpoint_record,
    build_request,
    build_route,
    build_routing_table,
)

CONTACT_S = 4.0
REGIONS = ZoneRegions(by_zone={'a': 'east', 'b': 'east', 'c': 'west'})
ROUTE = {
    'name': 'look',
    'host': 'forms.example',
    'path_prefix': '/look/',
    'kind': 'idempotent',
    'service': 'pool',
}


def build_harness(route_regions, workspace_regions):
    harness = RelayHarness(names=(), regions=REGIONS)
    # An endpoint of a zone without a region is in none that is allowed.
    for offset, zone in enumerate('abcd'):
        harness.directory.apply(
            f'e-{zone}',
            build_endpoint_record(f'e-{zone}', zone=zone),
            offset=offset,
        )
    route = build_route(
        'look', RequestKind.IDEMPOTENT, allowed_regions=route_regions
    )
    workspace = Workspace(name='forms', allowed_regions=workspace_regions)
    harness.tracker.table = build_routing_table(
        routes=(route,), workspaces={KEY: workspace}
    )
    return harness


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('route', 'workspace', 'expected'),
    [
        (None, None, {'e-a', 'e-b', 'e-c', 'e-d'}),
        ({'west'}, None, {'e-c'}),
        (None, {'east'}, {'e-a', 'e-b'}),
        ({'east', 'west'}, {'west'}, {'e-c'}),
        ({'east'}, {'west'}, set()),
        (set(), None, set()),
        ({'north'}, None, set()),
    ],
)
async def test_a_request_stays_in_its_regions(route, workspace, expected):
    harness = build_harness(
        None if route is None else frozenset(route),
        None if workspace is None else frozenset(workspace),
    )
    endpoints = set()
    for number in range(40):
        request = build_request('look', request_id=f'r{number}', session=number)
        try:
            answer = await harness.serve(request)
        except CapacityError:
            continue
        endpoints.add(answer.endpoint)
    assert endpoints <= expected
    assert bool(endpoints) is bool(expected)


def test_regions_are_read_from_the_table():
    document = {
        'version': 1,
        'routes': [{**ROUTE, 'allowed_regions': ['east']}, ROUTE],
        'tenants': [
            {'name': 't', 'api_keys': ['k'], 'allowed_regions': ['west']}
        ],
    }
    table = PlatformDocuments().decode_table(orjson.dumps(document))
    assert [route.allowed_regions for route in table.routes] == [
        {'east'},
        None,
    ]
    assert table.workspaces['k'].allowed_regions == {'west'}
    assert table.has_regions


@pytest.mark.parametrize('field', ['east', 1, [1], [''], [['east']], {}])
def test_a_table_with_malformed_regions_is_refused(field):
    document = {'version': 1, 'routes': [{**ROUTE, 'allowed_regions': field}]}
    with pytest.raises(ConfigurationError):
        PlatformDocuments().decode_table(orjson.dumps(document))


def build_entries(daemon, table):
    return FleetEntries(
        membership=daemon.membership,
        tracker=FakeTracker(table),
        regions=REGIONS,
    )


def list_zones(daemon, addresses):
    zones = {
        member.caller_address: member.zone
        for member in daemon.membership.members
    }
    return {zones[address] for address in addresses}


def test_entries_name_daemons_of_the_region_of_a_caller(monkeypatch):
    async def check():
        fleet = EmulatedFleet(7, 'abbbbbb')
        bound = build_routing_table(
            routes=(
                build_route(
                    'look',
                    RequestKind.IDEMPOTENT,
                    allowed_regions=frozenset({'east'}),
                ),
            )
        )
        async with fleet.run():
            daemon = next(iter(fleet.daemons.values()))
            entries = build_entries(daemon, bound)
            chosen = {
                zone: entries.choose(zone, 64, excluded_address='')
                for zone in 'acx'
            }
            assert len(chosen['a']) == 7
            # No daemon is in the region of the caller, or it has none.
            assert len(chosen['c']) == 7
            assert len(chosen['x']) == 7
            assert list_zones(daemon, chosen['a']) == {'a', 'b'}

    run_emulated(check, monkeypatch)


@pytest.mark.parametrize('has_regions', [True, False])
def test_entries_leave_a_region_only_without_regions(monkeypatch, has_regions):
    async def check():
        fleet = EmulatedFleet(6, 'accccc')
        regions = frozenset({'east'}) if has_regions else None
        table = build_routing_table(
            routes=(
                build_route(
                    'look', RequestKind.IDEMPOTENT, allowed_regions=regions
                ),
            )
        )
        async with fleet.run():
            daemon = next(iter(fleet.daemons.values()))
            chosen = build_entries(daemon, table).choose(
                'a', 64, excluded_address=''
            )
            assert len(chosen) == (1 if has_regions else 6)

    run_emulated(check, monkeypatch)


@pytest.mark.parametrize('size', [7, 85])
def test_an_instance_that_is_gone_is_not_named_for_long(monkeypatch, size):
    async def check():
        fleet = EmulatedFleet(size, 'abc')
        async with fleet.run():
            gone, *others = fleet.daemons.values()
            older = fleet.store.copy()
            listed = fleet.store.list_members()
            gone.kill()
            gone_at = anyio.current_time()
            for step in range(200):
                await anyio.sleep(0.1)
                if step == 100:
                    # The older copy lists the instance once more.
                    fleet.store.restore(older)
                    for member in listed:
                        fleet.store.join(member)
                if anyio.current_time() < gone_at + 7:
                    continue
                for daemon in others:
                    entries = build_entries(daemon, None)
                    named = entries.choose('a', 64, excluded_address='')
                    assert gone.member.caller_address not in named

    run_emulated(check, monkeypatch)


def test_a_member_that_returns_after_a_restore_is_named_later(clock):
    departures = RestoredMembers(contact_s=CONTACT_S, clock=clock)
    departures.record({'d1', 'd2'}, era=0)
    departures.record({'d1'}, era=0)
    departures.record({'d1', 'd2', 'd3'}, era=1)
    assert departures.is_hidden('d2')
    assert not departures.is_hidden('d3')
    clock.now += CONTACT_S + READ_S + 0.1
    assert not departures.is_hidden('d2')
    departures.record({'d1'}, era=1)
    departures.record({'d1', 'd2'}, era=1)
    assert not departures.is_hidden('d2')


def test_without_its_bound_a_restored_member_is_named_at_once(clock):
    """Guards against entries of earlier deployments that lack live daemons."""
    departures = RestoredMembers(clock=clock)
    departures.record({'d1', 'd2'}, era=0)
    departures.record({'d1'}, era=0)
    departures.record({'d1', 'd2'}, era=1)
    assert not departures.is_hidden('d2')


SETTINGS = """
store = "10.0.0.9:1"
[daemon]
name = "d1"
zone = "a"
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
entries = "10.0.0.1:3"
metrics = "10.0.0.1:4"
peers = "10.0.0.1:5"
[bounds]
contact_s = 4
evacuate_s = {evacuate_s}
cold_overage = 1.5
cold_tolerance = 5
[regions]
"a" = "east"
"""


def test_the_settings_hold_the_new_fields(tmp_path):
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS.format(evacuate_s='5000e-3'))
    settings = load_relay_settings(path)
    assert settings.regions == {'a': 'east'}
    assert settings.bounds.evacuate_s == 5
    assert settings.bounds.contact_s == 4
    assert settings.bounds.cold_tolerance == 5


@pytest.mark.parametrize('evacuate_s', ['-1', 'inf', 'nan', '"x"'])
def test_a_bound_that_is_none_is_refused(tmp_path, evacuate_s):
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS.format(evacuate_s=evacuate_s))
    with pytest.raises(ConfigurationError):
        load_relay_settings(path)
