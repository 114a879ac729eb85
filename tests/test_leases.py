"""The lease on the right to act on the routing table."""

from hypothesis import given
from hypothesis import strategies as st

from laurelwind.state.leases import FreshnessLease


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def test_nothing_may_be_done_before_the_first_read():
    assert not FreshnessLease(duration_s=4.5).is_valid


def test_a_read_counts_from_its_beginning():
    clock = Clock()
    lease = FreshnessLease(duration_s=4.5, clock=clock)
    clock.now = 10.0
    lease.renew(7.0)
    assert lease.age_s == 3.0
    clock.now = 11.4
    assert lease.is_valid
    clock.now = 11.5
    assert not lease.is_valid


def test_a_suspended_machine_wakes_without_a_lease():
    clock = Clock()
    lease = FreshnessLease(duration_s=4.5, clock=clock)
    lease.renew(0.0)
    clock.now = 60.0
    assert not lease.is_valid


@given(st.lists(st.floats(0, 100), min_size=1), st.floats(100, 200))
def test_the_newest_read_counts_in_any_order(begun, now):
    clock = Clock()
    lease = FreshnessLease(duration_s=4.5, clock=clock)
    for moment in begun:
        lease.renew(moment)
    clock.now = now
    assert lease.age_s == now - max(begun)
