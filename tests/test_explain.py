"""The timeline of a request from the logs of several daemons."""

import orjson

from laurelwind.cli.explain import format_timeline, parse_lines

LINES = (
    {'time': 1.0, 'daemon': 'd1', 'event': 'table_in_force', 'version': 4},
    {'time': 2.0, 'daemon': 'd2', 'event': 'table_in_force', 'version': 5},
    {'time': 3.0, 'daemon': 'd1', 'event': 'table_in_force', 'version': 6},
    {'time': 4.5, 'daemon': 'd1', 'event': 'refused', 'request': 'r1'},
    {'time': 4.0, 'daemon': 'd1', 'event': 'sent', 'request': 'r1'},
    {'time': 4.2, 'daemon': 'd1', 'event': 'sent', 'request': 'r2'},
    {'time': 5.0, 'daemon': 'd1', 'event': 'table_in_force', 'version': 7},
)


def test_a_timeline_is_ordered_and_begins_with_the_state_in_force():
    timeline = list(format_timeline(LINES, 'r1'))
    assert len(timeline) == 3
    assert 'version=6' in timeline[0]
    assert 'sent' in timeline[1]
    assert '+0.500 s d1 refused' in timeline[2]


def test_a_timeline_shows_the_stop_of_its_daemon_and_the_cut():
    lines = (
        {'time': 1.0, 'daemon': 'd1', 'event': 'sent', 'request': 'r1'},
        {'time': 1.5, 'daemon': 'd2', 'event': 'stopping'},
        {'time': 2.0, 'daemon': 'd1', 'event': 'stopping'},
        {'time': 9.0, 'daemon': 'd1', 'event': 'cut', 'request': 'r1'},
        {'time': 9.1, 'daemon': 'd1', 'event': 'stopped'},
    )
    timeline = list(format_timeline(lines, 'r1'))
    events = [text.split()[3] for text in timeline]
    assert events == ['sent', 'stopping', 'cut']


def test_an_unknown_request_has_no_timeline():
    assert not list(format_timeline(LINES, 'r9'))


def test_prefixes_and_truncated_lines_are_skipped():
    raw = orjson.dumps(LINES[0]).decode()
    texts = (f'  12.5 edge-1 {raw}\n', raw[:20], 'plain text')
    assert list(parse_lines(texts)) == [LINES[0]]
