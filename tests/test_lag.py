"""How late a daemon's timers are."""

from laurelwind.coordination import lag
from laurelwind.coordination.lag import LoopLag


def test_the_longest_delay_is_kept_for_a_while(monkeypatch):
    now = [0.0]
    monkeypatch.setattr(lag, 'read_clock', lambda: now[0])
    found = LoopLag()
    assert found.longest_s == 0
    found.note(0.3)
    now[0] = 1.0
    found.note(0.1)
    assert found.longest_s == 0.3
    now[0] = lag.KEPT_S + 0.1
    assert found.longest_s == 0
    found.note(0.05)
    assert found.longest_s == 0.05
