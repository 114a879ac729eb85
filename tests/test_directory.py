"""Endpoint directory with records that arrive late, lapse or are removed."""

from laurelwind.state.directory import EndpointDirectory
from tests.relay_helpers import build_endpoint_record


def list_ready_names(directory):
    return [endpoint.name for endpoint in directory.list_ready('pool')]


def build_directory(*endpoints):
    directory = EndpointDirectory()
    for offset, endpoint in enumerate(endpoints):
        directory.apply(endpoint.name, endpoint, offset=offset)
    return directory


def test_draining_endpoint_is_not_ready():
    directory = build_directory(
        build_endpoint_record('e1'), build_endpoint_record('e2')
    )
    draining = build_endpoint_record('e1', is_draining=True, sequence=2)
    assert directory.apply('e1', draining, offset=5)
    assert list_ready_names(directory) == ['e2']


def test_late_report_does_not_restore_an_endpoint():
    directory = build_directory(build_endpoint_record('e1', sequence=4))
    directory.apply(
        'e1',
        build_endpoint_record('e1', is_draining=True, sequence=6),
        offset=5,
    )
    directory.apply('e1', build_endpoint_record('e1', sequence=5), offset=6)
    assert list_ready_names(directory) == []
    directory.apply('e1', None, offset=7)
    directory.apply('e1', build_endpoint_record('e1', sequence=5), offset=8)
    assert list_ready_names(directory) == []


def test_restarted_endpoint_is_ready_under_the_same_name():
    directory = build_directory(build_endpoint_record('e1', sequence=9))
    directory.apply('e1', None, offset=5)
    directory.apply(
        'e1', build_endpoint_record('e1', started_ms=2, sequence=1), offset=6
    )
    assert list_ready_names(directory) == ['e1']


def test_older_offsets_are_ignored():
    directory = build_directory(
        build_endpoint_record('e1'), build_endpoint_record('e2')
    )
    directory.apply('e1', None, offset=7)
    assert not directory.apply(
        'e1', build_endpoint_record('e1', sequence=8), offset=6
    )
    assert list_ready_names(directory) == ['e2']


def test_heartbeats_do_not_change_the_directory():
    directory = build_directory(build_endpoint_record('e1'))
    assert not directory.apply(
        'e1', build_endpoint_record('e1', sequence=2), offset=3
    )


def test_removal_takes_effect_at_once():
    directory = build_directory(build_endpoint_record('e1'))
    assert directory.apply('e1', None, offset=3)
    assert list_ready_names(directory) == []


def test_lapsed_record_stays_ready_for_its_grace_period():
    directory = build_directory(
        build_endpoint_record('e1'), build_endpoint_record('e2')
    )
    directory.apply('e1', None, offset=3, grace_until=10)
    directory.apply('e2', None, offset=4, grace_until=10)
    assert directory.has_lapsed_records
    assert list_ready_names(directory) == ['e1', 'e2']
    directory.apply('e1', build_endpoint_record('e1', sequence=2), offset=5)
    directory.expire(9.9)
    assert list_ready_names(directory) == ['e1', 'e2']
    directory.expire(10)
    assert list_ready_names(directory) == ['e1']
    assert not directory.has_lapsed_records


def test_removed_draining_endpoint_gets_no_grace_period():
    directory = build_directory(build_endpoint_record('e1'))
    directory.apply(
        'e1',
        build_endpoint_record('e1', is_draining=True, sequence=2),
        offset=3,
    )
    directory.apply('e1', None, offset=4, grace_until=10)
    assert not directory.has_lapsed_records


def test_complete_listing_removes_endpoints_that_it_lacks():
    directory = build_directory(
        build_endpoint_record('e1'), build_endpoint_record('e2')
    )
    directory.apply('e3', build_endpoint_record('e3'), offset=9)
    assert directory.retain({'e1': 0}, before=5)
    assert list_ready_names(directory) == ['e1', 'e3']
