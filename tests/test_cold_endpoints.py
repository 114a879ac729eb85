"""What a daemon learns of cold endpoints, and at which rates it uses them.

Guards against healthy endpoints that count as cold, which costs capacity, and
against restarts that go unnoticed.
"""

import math

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from laurelwind.coordination.cold.endpoints import (
    ColdDependencies,
    ColdEndpoints,
)
from laurelwind.coordination.cold.rates import ColdBounds, compute_rates
from laurelwind.coordination.cold.shares import ColdShares
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.protocol.cold import decode_cold, encode_cold
from laurelwind.protocol.datagrams import MAX_DATAGRAM_BYTES
from laurelwind.state.cold_endpoints import ColdStatement, ColdTable
from laurelwind.state.directory import EndpointDirectory
from laurelwind.state.permit_schedule import PermitSchedule
from laurelwind.state.routes import Service
from tests.emulated_fleet import build_members
from tests.relay_helpers import build_endpoint_record, build_silent_log

BOUNDS = ColdBounds(overage=1.5, tolerance=5)
SERVICE = Service(name='pool', cold_start_s=3.0, cold_per_s=12.0)


class Harness:
    def __init__(self, clock, *, service=SERVICE, bounds=BOUNDS):
        self.clock = clock
        self.ended = []
        self.events = []
        self.survivals = set()
        self.directory = EndpointDirectory()
        self.cold = ColdEndpoints(
            dependencies=ColdDependencies(
                bounds=bounds,
                find_service=lambda name: service,
                has_survived=lambda name, *_: name in self.survivals,
                record_end=lambda name, lasted_s: self.ended.append(name),
                log=build_silent_log(),
                clock=clock,
            )
        )
        self.cold.add_listener(self.events.append)
        self.directory.add_listener(self.cold.record_entry)
        self.record = build_endpoint_record('e1', cold_s=0.0)
        self.offset = 0
        self.report(max_age_s=math.inf, cold_s=0.0)

    def report(self, max_age_s=0.5, **fields):
        self.offset += 1
        self.record = build_endpoint_record(
            'e1',
            **{
                'started_ms': self.record.started_ms,
                'sequence': self.offset,
                **fields,
            },
        )
        self.directory.apply(
            'e1', self.record, offset=self.offset, max_age_s=max_age_s
        )

    def fail(self, sent_at=None):
        self.cold.record_failure(self.record, self.clock.now, sent_at=sent_at)

    def answer(self, sent_at=None):
        sent_at = self.clock.now if sent_at is None else sent_at
        self.cold.record_answer(self.record, sent_at)

    @property
    def is_cold(self):
        self.cold.review()
        return bool(self.cold.table.names)


def test_an_endpoint_that_failed_is_cold_after_its_next_answer(clock):
    harness = Harness(clock)
    harness.fail()
    clock.now += 20
    assert harness.is_cold
    harness.answer()
    clock.now += 2.9
    assert harness.is_cold
    clock.now += 0.2
    assert not harness.is_cold
    assert harness.ended == ['e1']


@pytest.mark.parametrize('cold_s', [0.0, None])
def test_at_the_first_start_nothing_is_cold(clock, cold_s):
    harness = Harness(clock)
    harness.directory.apply(
        'e2',
        build_endpoint_record('e2', cold_s=cold_s),
        offset=9,
        max_age_s=math.inf,
    )
    assert not harness.is_cold


def test_a_process_that_goes_on_is_not_cold(clock):
    harness = Harness(clock)
    harness.fail()
    clock.now += 0.3
    harness.answer(sent_at=clock.now - 0.5)
    assert not harness.is_cold
    harness.fail()
    assert harness.is_cold
    harness.survivals.add('e1')
    assert not harness.is_cold


def test_one_connection_that_breaks_is_no_restart(clock):
    harness = Harness(clock)
    harness.fail(sent_at=clock.now - 1)
    assert harness.is_cold
    clock.now += 0.1
    harness.answer()
    assert not harness.is_cold


@pytest.mark.parametrize('is_connected', [True, False])
def test_a_second_failure_confirms_a_restart(clock, is_connected):
    harness = Harness(clock)
    harness.fail(sent_at=clock.now - 1)
    clock.now += 0.1
    harness.fail(sent_at=clock.now - 0.05 if is_connected else None)
    clock.now += 0.1
    harness.answer()
    clock.now += 2.9
    assert harness.is_cold
    assert any(event.statement.is_confirmed for event in harness.events)


def test_a_late_answer_does_not_tell_a_break_from_a_restart(clock):
    harness = Harness(clock)
    harness.fail(sent_at=clock.now - 1)
    clock.now += 1
    harness.answer()
    assert harness.is_cold


@pytest.mark.parametrize(
    ('fields', 'is_cold'),
    [
        # Written before the failure, by the process that failed.
        ({'cold_s': 0.0, 'max_age_s': 1.5}, True),
        # Written after it.
        ({'cold_s': 0.0, 'max_age_s': 0.5}, False),
        ({'cold_s': 0.0, 'started_ms': 2, 'max_age_s': 1.5}, False),
        ({'cold_s': 2.0, 'started_ms': 2, 'max_age_s': 1.5}, True),
        ({'cold_s': None, 'started_ms': 2, 'max_age_s': 1.5}, True),
    ],
)
def test_only_an_entry_written_later_ends_a_suspicion(clock, fields, is_cold):
    harness = Harness(clock)
    harness.fail()
    clock.now += 1
    harness.report(**fields)
    assert harness.is_cold is is_cold


def test_an_entry_states_how_long_its_endpoint_is_cold(clock):
    harness = Harness(clock)
    harness.report(cold_s=2.0)
    clock.now += 1.9
    assert harness.is_cold
    clock.now += 0.2
    assert not harness.is_cold
    harness.report(cold_s=1.5)
    assert harness.is_cold
    harness.report(cold_s=0.0)
    assert not harness.is_cold


def test_an_entry_of_unknown_age_is_not_passed_on(clock):
    harness = Harness(clock)
    harness.report(cold_s=2.0, max_age_s=math.inf)
    assert harness.is_cold
    assert not harness.events


@pytest.mark.parametrize('field', [-1, 600_001, 'x', None, [], 1e300, True])
def test_a_time_that_is_none_counts_as_the_whole_cold_time_once(clock, field):
    body = {
        'service': 'pool',
        'address': '10.0.0.1:1',
        'zone': 'a',
        'version': 'v1',
        'slots': 1,
        'state': 'ready',
        'born': 1,
        'sequence': 2,
        'cold_remaining_ms': field,
    }
    record = PlatformDocuments().decode_endpoint('e1', orjson.dumps(body))
    harness = Harness(clock)
    harness.report(cold_s=record.cold_s)
    clock.now += 2.9
    harness.report(cold_s=record.cold_s)
    assert harness.is_cold
    clock.now += 0.2
    assert not harness.is_cold


def test_a_daemon_without_a_link_does_not_keep_an_endpoint_cold(clock):
    harness = Harness(clock)
    harness.fail()
    for _ in range(20):
        clock.now += 0.5
        known = harness.cold.table.find_newest('e1')
        # Another daemon reaches it.
        if not known.is_reached:
            harness.cold.apply(
                'e1',
                ColdStatement(
                    started_ms=1,
                    rate=5,
                    since=known.since,
                    reached_at=clock.now,
                    until=clock.now + 3,
                ),
            )
        harness.fail()
    assert not harness.is_cold


@pytest.mark.parametrize(
    'options',
    [
        {'bounds': None},
        {'service': None},
        {'service': Service(name='pool')},
        {'service': Service(name='pool', cold_start_s=3)},
        {'service': Service(name='pool', cold_per_s=3)},
    ],
)
def test_without_its_settings_nothing_is_cold(clock, options):
    harness = Harness(clock, **options)
    harness.fail()
    harness.report(cold_s=2.0, started_ms=2)
    harness.cold.record_return(harness.record)
    assert not harness.is_cold


@pytest.mark.parametrize(
    ('cold_s', 'is_cold'), [(0.0, False), (None, True), (math.inf, True)]
)
def test_a_zone_taken_back_is_warm_if_its_entries_say_so(
    clock, cold_s, is_cold
):
    """Guards against an unreadable cold time that counted as none."""
    harness = Harness(clock)
    harness.report(max_age_s=math.inf, cold_s=cold_s)
    clock.now += SERVICE.cold_start_s + 1
    harness.cold.record_return(harness.record)
    assert harness.is_cold == is_cold


def test_a_new_outage_replaces_one_that_is_over(clock):
    harness = Harness(clock)
    harness.fail()
    clock.now += 1
    harness.answer()
    clock.now += 1
    harness.fail()
    clock.now += 10
    assert harness.is_cold


moments = st.floats(0, 50)
statements = st.builds(
    lambda since, reached_s, cold_s: ColdStatement(
        started_ms=1,
        rate=5,
        since=since,
        reached_at=since + reached_s,
        until=since + reached_s + cold_s,
    ),
    moments,
    st.floats(0, 9) | st.just(math.inf),
    st.floats(0, 3),
)


@given(st.lists(statements, min_size=1), st.integers(0))
def test_late_and_repeated_statements_change_nothing(stated, repeated):
    table = ColdTable(clock=lambda: 0.0)
    for statement in stated:
        table.apply('e1', statement)
    newest = table.find_newest('e1')
    table.apply('e1', newest)
    assert table.find_newest('e1') == newest
    late = stated[repeated % len(stated)]
    if late.reached_at < newest.since:
        table.apply('e1', late)
        assert table.find_newest('e1') == newest


@given(statements)
def test_statements_survive_their_encoding(statement):
    (datagram,) = encode_cold([('e1', statement)], 50.0)
    ((name, decoded),) = decode_cold(orjson.loads(datagram), 50.0)
    assert name == 'e1'
    assert decoded.since == pytest.approx(statement.since, abs=0.001)
    assert decoded.until == pytest.approx(statement.until, abs=0.001)


json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
)


@given(json_values)
def test_malformed_statements_are_ignored(row):
    list(decode_cold({'cold': row}, 100.0))
    list(decode_cold({'cold': [['e1', row]]}, 100.0))
    assert not list(
        decode_cold({'cold': [['e1', [[1, 1], 5, [0, 0, 9e9], True]]]}, 1.0)
    )


def test_statements_fit_into_datagrams():
    statement = ColdStatement(started_ms=10**13, rate=5.5, since=1.0)
    stated = [(f'endpoint-{number}', statement) for number in range(100)]
    datagrams = list(encode_cold(stated, 100.0))
    assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES + 20


@given(
    st.floats(0.1, 100),
    st.floats(0, 4),
    st.floats(0, 20),
    st.lists(st.floats(0, 0.3), max_size=60),
)
def test_permits_and_shares_stay_within_the_bound(
    cold_per_s, overage, tolerance, pauses
):
    service = Service(name='pool', cold_start_s=3, cold_per_s=cold_per_s)
    bounds = ColdBounds(overage=overage, tolerance=tolerance)
    rates = compute_rates(service, bounds)
    limit = cold_per_s * overage + tolerance
    permits = rates.permits_per_s
    # Below it there is no room for one permit.
    if limit / 2 >= 1:
        assert 2 * permits + 1 + rates.shared_per_s <= limit + 1e-6
    schedule = PermitSchedule(next_at=0)
    now = 0.0
    due = []
    for pause_s in pauses:
        now += pause_s
        if schedule.reserve(permits, now, 0) <= 0:
            due.append(now)
    for last in due:
        # Permits may be used for half a second after they are due.
        count = sum(last - 1.5 < at <= last for at in due)
        assert count <= 2 * max(permits, 0.2) + 1 + 1e-6


def test_the_users_rates():
    rates = compute_rates(SERVICE, BOUNDS)
    assert rates.permits_per_s == 5.25
    assert rates.shared_per_s == 11.5


@pytest.mark.parametrize('size', [1, 7, 85, 371])
@pytest.mark.parametrize('rate', [0.3, 1.0, 11.5, 40.0])
def test_the_shares_of_all_daemons_keep_the_rate(clock, size, rate):
    members = build_members(size, 'abc')
    shares = [
        ColdShares(
            local_address=member.peer_address,
            list_members=lambda: members,
            clock=clock,
        )
        for member in members
    ]
    taken = []
    for _ in range(60):
        clock.now += 0.05
        taken.extend(
            clock.now for share in shares if not share.take('e1', rate)
        )
    for last in taken:
        count = sum(last - 0.999 < at <= last for at in taken)
        assert count <= max(rate, 1)
    assert taken


def test_a_daemon_that_is_no_member_has_no_share(clock):
    shares = ColdShares(
        local_address='x:1', list_members=lambda: (), clock=clock
    )
    assert math.isinf(shares.take('e1', 12.0))
