"""Log lines are bounded, and never hold a request up."""

import os

import orjson

from laurelwind import decisions
from laurelwind.decisions import DecisionLog


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    text = b''
    try:
        while chunk := os.read(descriptor, 1 << 16):
            text += chunk
    except BlockingIOError:
        pass
    return [orjson.loads(line) for line in text.splitlines()]


def build():
    reading, writing = os.pipe()
    log = DecisionLog(daemon='d1', descriptor=writing)
    log.start()
    return log, reading


def test_a_line_has_its_time_and_fields():
    log, reading = build()
    log.note('sent', request='r1', endpoint='e1')
    (line,) = read_lines(reading)
    assert line['event'] == 'sent'
    assert line['request'] == 'r1'
    assert line['daemon'] == 'd1'


def test_a_flood_is_cut_and_counted_and_failures_are_kept_longest():
    log, reading = build()
    for number in range(2000):
        log.note('sent', request=str(number))
    log.warning('refused', request='last')
    lines = read_lines(reading)
    assert len(lines) <= decisions.BURST_LINES
    assert lines[-1]['request'] == 'last'
    assert lines[-1]['lines_left_out'] >= 1000


def test_a_reader_that_stops_costs_lines_and_no_time():
    log, reading = build()
    for _ in range(500):
        log.warning('refused', reason='x' * 400)
    assert log.left_out
    whole = read_lines(reading)
    assert all(line['event'] == 'refused' for line in whole[:-1])
    log.warning('regained')
    assert read_lines(reading)


def test_a_closed_pipe_is_no_error():
    log, reading = build()
    os.close(reading)
    log.warning('refused')
    assert log.left_out == 1
