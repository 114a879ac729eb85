"""The story of a request from the logs of several daemons."""

import orjson

from laurelwind.cli.explain import read_lines, tell_story

LINES = (
    {'time': 1.0, 'daemon': 'd1', 'event': 'table_in_force', 'version': 4},
    {'time': 2.0, 'daemon': 'd2', 'event': 'table_in_force', 'version': 5},
    {'time': 3.0, 'daemon': 'd1', 'event': 'table_in_force', 'version': 6},
    {'time': 4.5, 'daemon': 'd1', 'event': 'refused', 'request': 'r1'},
    {'time': 4.0, 'daemon': 'd1', 'event': 'sent', 'request': 'r1'},
    {'time': 4.2, 'daemon': 'd1', 'event': 'sent', 'request': 'r2'},
    {'time': 5.0, 'daemon': 'd1', 'event': 'table_in_force', 'version': 7},
)


def test_a_story_is_in_order_and_names_the_belief_in_force():
    story = list(tell_story(LINES, 'r1'))
    assert len(story) == 3
    assert 'version=6' in story[0]
    assert 'sent' in story[1]
    assert '+0.500 s d1 refused' in story[2]


def test_an_unknown_request_has_no_story():
    assert not list(tell_story(LINES, 'r9'))


def test_lines_are_found_behind_prefixes_and_torn_ones_passed_over():
    raw = orjson.dumps(LINES[0]).decode()
    texts = (f'  12.5 edge-1 {raw}\n', raw[:20], 'plain text')
    assert list(read_lines(texts)) == [LINES[0]]
