"""Measurement of the event loop's scheduling delay."""

from laurelwind.coordination import loop_lag
from laurelwind.coordination.loop_lag import LoopLag


def test_longest_delay_is_retained_until_it_expires(monkeypatch):
    now = [0.0]
    monkeypatch.setattr(loop_lag, 'read_monotonic_clock', lambda: now[0])
    lag_monitor = LoopLag()
    assert lag_monitor.longest_s == 0
    lag_monitor.record(0.3)
    now[0] = 1.0
    lag_monitor.record(0.1)
    assert lag_monitor.longest_s == 0.3
    now[0] = loop_lag.RETENTION_S + 0.1
    assert lag_monitor.longest_s == 0
    lag_monitor.record(0.05)
    assert lag_monitor.longest_s == 0.05
