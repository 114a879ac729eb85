"""Lease on the routing table."""

from hypothesis import given
from hypothesis import strategies as st

from laurelwind.state.leases import FreshnessLease


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def test_lease_is_invalid_before_the_first_read():
    assert not FreshnessLease(duration_s=4.5).is_valid


def test_lease_is_renewed_as_of_the_start_of_the_read():
    clock = Clock()
    lease = FreshnessLease(duration_s=4.5, clock=clock)
    clock.now = 10.0
    lease.renew(7.0)
    assert lease.age_s == 3.0
    clock.now = 11.4
    assert lease.is_valid
    clock.now = 11.5
    assert not lease.is_valid


def test_lease_expires_while_the_machine_is_suspended():
    clock = Clock()
    lease = FreshnessLease(duration_s=4.5, clock=clock)
    lease.renew(0.0)
    clock.now = 60.0
    assert not lease.is_valid


@given(st.lists(st.floats(0, 100), min_size=1), st.floats(100, 200))
def test_newest_read_sets_the_age_in_any_order(start_times, now):
    clock = Clock()
    lease = FreshnessLease(duration_s=4.5, clock=clock)
    for start_time in start_times:
        lease.renew(start_time)
    clock.now = now
    assert lease.age_s == now - max(start_times)
