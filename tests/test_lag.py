"""Measurement of the event loop's scheduling delay."""

from laurelwind.coordination import lag
from laurelwind.coordination.lag import LoopLag


def test_longest_delay_is_retained_until_it_expires(monkeypatch):
    now = [0.0]
    monkeypatch.setattr(lag, 'read_clock', lambda: now[0])
    loop_lag = LoopLag()
    assert loop_lag.longest_s == 0
    loop_lag.record(0.3)
    now[0] = 1.0
    loop_lag.record(0.1)
    assert loop_lag.longest_s == 0.3
    now[0] = lag.RETENTION_S + 0.1
    assert loop_lag.longest_s == 0
    loop_lag.record(0.05)
    assert loop_lag.longest_s == 0.05
