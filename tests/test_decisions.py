"""The decision log is rate-limited and never blocks a request."""

import os
import time
from types import SimpleNamespace

import orjson
import pytest

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


def open_log():
    reader, writer = os.pipe()
    log = DecisionLog(daemon='d1', descriptor=writer)
    log.start()
    return log, reader


def test_a_line_has_its_time_and_fields():
    log, reader = open_log()
    log.log_info('sent', request='r1', endpoint='e1')
    (line,) = read_lines(reader)
    assert line['event'] == 'sent'
    assert line['request'] == 'r1'
    assert line['daemon'] == 'd1'


def test_routine_lines_are_dropped_before_warnings(monkeypatch):
    """The clock stands still, so that the token bucket is not refilled."""
    fake_clock = SimpleNamespace(monotonic=lambda: 5.0, time=time.time)
    monkeypatch.setattr(decisions, 'time', fake_clock)
    log, reader = open_log()
    for number in range(2000):
        log.log_info('sent', request=str(number))
    log.log_warning('refused', request='last')
    lines = read_lines(reader)
    routine = decisions.BURST_LINES - decisions.RESERVED_LINES
    assert len(lines) == routine + 1
    assert lines[-1]['request'] == 'last'
    assert lines[-1]['lines_left_out'] == 2000 - routine


def test_the_next_line_written_carries_the_number_of_dropped_lines(monkeypatch):
    now = [5.0]
    fake_clock = SimpleNamespace(monotonic=lambda: now[0], time=time.time)
    monkeypatch.setattr(decisions, 'time', fake_clock)
    log, reader = open_log()
    for number in range(2000):
        now[0] += 0.001
        log.log_info('sent', request=str(number))
    lines = read_lines(reader)
    reported = sum(line.get('lines_left_out', 0) for line in lines)
    assert len(lines) + reported + log.dropped_lines == 2000
    refilled = 2 * decisions.LINES_PER_S
    routine = decisions.BURST_LINES - decisions.RESERVED_LINES
    assert len(lines) <= routine + refilled


def test_a_stalled_reader_drops_lines_without_blocking():
    log, reader = open_log()
    for _ in range(500):
        log.log_warning('refused', reason='x' * 400)
    assert log.dropped_lines
    written = read_lines(reader)
    assert all(line['event'] == 'refused' for line in written[:-1])
    log.log_warning('regained')
    assert read_lines(reader)


def test_a_closed_pipe_raises_no_error():
    log, reader = open_log()
    os.close(reader)
    log.log_warning('refused')
    assert log.dropped_lines == 1


def test_a_field_that_orjson_cannot_encode_raises_no_error():
    """An integer of more than 64 bits ended the task that logged it."""
    log, reader = open_log()
    log.log_info('odd', tokens=10**30, text='\ud800')
    (line,) = read_lines(reader)
    assert line['tokens'] == pytest.approx(10**30)
