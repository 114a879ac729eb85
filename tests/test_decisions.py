"""Log lines are bounded, and never hold a request up."""

import os
import time
from types import SimpleNamespace

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


def test_a_flood_is_cut_and_counted_and_failures_are_kept_longest(monkeypatch):
    """At one moment, so that no allowance is earned meanwhile."""
    stopped = SimpleNamespace(monotonic=lambda: 5.0, time=time.time)
    monkeypatch.setattr(decisions, 'time', stopped)
    log, reading = build()
    for number in range(2000):
        log.note('sent', request=str(number))
    log.warning('refused', request='last')
    lines = read_lines(reading)
    usual = decisions.BURST_LINES - decisions.RESERVED_LINES
    assert len(lines) == usual + 1
    assert lines[-1]['request'] == 'last'
    assert lines[-1]['lines_left_out'] == 2000 - usual


def test_what_was_left_out_is_told_by_the_next_line_that_goes_out(monkeypatch):
    now = [5.0]
    stopped = SimpleNamespace(monotonic=lambda: now[0], time=time.time)
    monkeypatch.setattr(decisions, 'time', stopped)
    log, reading = build()
    for number in range(2000):
        now[0] += 0.001
        log.note('sent', request=str(number))
    lines = read_lines(reading)
    told = sum(line.get('lines_left_out', 0) for line in lines)
    assert len(lines) + told + log.left_out == 2000
    earned = 2 * decisions.LINES_PER_S
    usual = decisions.BURST_LINES - decisions.RESERVED_LINES
    assert len(lines) <= usual + earned


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
