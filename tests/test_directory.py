"""Which endpoints may get work, from records that come late or lapse."""

from laurelwind.state.directory import EndpointDirectory
from tests.relay_helpers import record


def names(directory):
    return [found.name for found in directory.list_ready('pool')]


def build(*found):
    directory = EndpointDirectory()
    for offset, one in enumerate(found):
        directory.apply(one.name, one, offset=offset)
    return directory


def test_a_draining_endpoint_gets_no_work():
    directory = build(record('e1'), record('e2'))
    leaving = record('e1', is_draining=True, report=2)
    assert directory.apply('e1', leaving, offset=5)
    assert names(directory) == ['e2']


def test_a_late_report_does_not_bring_an_endpoint_back():
    directory = build(record('e1', report=4))
    directory.apply('e1', record('e1', is_draining=True, report=6), offset=5)
    directory.apply('e1', record('e1', report=5), offset=6)
    assert names(directory) == []
    directory.apply('e1', None, offset=7)
    directory.apply('e1', record('e1', report=5), offset=8)
    assert names(directory) == []


def test_a_new_life_under_the_same_name_counts():
    directory = build(record('e1', report=9))
    directory.apply('e1', None, offset=5)
    directory.apply('e1', record('e1', born_ms=2, report=1), offset=6)
    assert names(directory) == ['e1']


def test_older_offsets_are_ignored():
    directory = build(record('e1'), record('e2'))
    directory.apply('e1', None, offset=7)
    assert not directory.apply('e1', record('e1', report=8), offset=6)
    assert names(directory) == ['e2']


def test_heartbeats_are_no_change():
    directory = build(record('e1'))
    assert not directory.apply('e1', record('e1', report=2), offset=3)


def test_a_removal_counts_at_once():
    directory = build(record('e1'))
    assert directory.apply('e1', None, offset=3)
    assert names(directory) == []


def test_a_lapsed_record_has_time_to_come_back():
    directory = build(record('e1'), record('e2'))
    directory.apply('e1', None, offset=3, lapses_until=10)
    directory.apply('e2', None, offset=4, lapses_until=10)
    assert directory.has_lapsed
    assert names(directory) == ['e1', 'e2']
    directory.apply('e1', record('e1', report=2), offset=5)
    directory.expire(9.9)
    assert names(directory) == ['e1', 'e2']
    directory.expire(10)
    assert names(directory) == ['e1']
    assert not directory.has_lapsed


def test_a_draining_endpoint_does_not_lapse():
    directory = build(record('e1'))
    directory.apply('e1', record('e1', is_draining=True, report=2), offset=3)
    directory.apply('e1', None, offset=4, lapses_until=10)
    assert not directory.has_lapsed


def test_a_whole_listing_drops_what_it_does_not_name():
    directory = build(record('e1'), record('e2'))
    directory.apply('e3', record('e3'), offset=9)
    assert directory.retain({'e1': 0}, before=5)
    assert names(directory) == ['e1', 'e3']
