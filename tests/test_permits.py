"""The schedule of permits, the answers of their holder, and their encoding."""

import math

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from laurelwind.coordination.limits.permit_holder import (
    MAX_RETRY_S,
    MIN_RETRY_S,
    TAKEOVER_S,
    PermitHolder,
)
from laurelwind.protocol.datagrams import MAX_DATAGRAM_BYTES
from laurelwind.protocol.permits import (
    PermitAnswer,
    PermitAsk,
    PermitReturn,
    decode_limits,
    decode_message,
    encode_limits,
    encode_message,
)
from laurelwind.state.permit_schedule import BURST_S, MIN_RATE, PermitSchedule
from laurelwind.state.rate_limits import LimitStatement, RateLimits

E1 = ('e1', 1)


def build_statement(now, rate=2.0, age_s=0.0):
    return LimitStatement(rate=rate, sent_at=now - age_s, stated_at=now)


def build_ask(number, now, *, max_wait_s=0.0, asker='d1:1'):
    return PermitAsk(
        number=number,
        asker=asker,
        process=E1,
        zone='a',
        max_wait_s=max_wait_s,
        statement=build_statement(now),
    )


def build_holder(clock, limited_s=60.0):
    table = RateLimits()
    table.apply(E1, build_statement(clock.now - limited_s))
    return PermitHolder(table=table, clock=clock), table


@given(
    st.floats(0, 20),
    st.lists(st.tuples(st.floats(0, 2), st.floats(0, 1), st.booleans())),
    st.floats(0.5, 6),
)
def test_no_window_gets_more_permits_than_its_rate_and_one_burst(
    rate, asks, window_s
):
    schedule = PermitSchedule(next_at=0)
    now = 0.0
    due = []
    for pause_s, max_wait_s, is_used in asks:
        now += pause_s
        wait_s = schedule.reserve(rate, now, max_wait_s)
        if wait_s > max_wait_s:
            continue
        if is_used:
            due.append(now + wait_s)
        else:
            schedule.cancel(rate)
    allowed = max(rate, MIN_RATE) * (window_s + BURST_S) + 1
    for last in due:
        count = sum(last - window_s < at <= last for at in due)
        assert count <= allowed + 1e-6


def test_a_new_holder_grants_nothing_until_the_one_before_has_stopped(clock):
    holder, _ = build_holder(clock)
    assert not holder.grant(build_ask(1, clock.now)).is_granted
    clock.now += TAKEOVER_S
    assert holder.grant(build_ask(2, clock.now)).is_granted
    # Nobody granted permits before a limit that is new.
    holder, _ = build_holder(clock, limited_s=0)
    assert holder.grant(build_ask(3, clock.now)).is_granted


def test_an_ask_that_arrives_again_takes_no_second_permit(clock):
    holder, _ = build_holder(clock, limited_s=0)
    first = holder.grant(build_ask(1, clock.now))
    assert holder.grant(build_ask(1, clock.now)) == first
    clock.now += 0.5
    assert holder.grant(build_ask(2, clock.now)).is_granted


def test_a_permit_can_be_returned_once(clock):
    holder, _ = build_holder(clock, limited_s=0)
    assert holder.grant(build_ask(1, clock.now)).is_granted
    assert not holder.grant(build_ask(2, clock.now)).is_granted
    returned = PermitReturn(number=1, asker='d1:1', process=E1)
    holder.take_back(returned)
    holder.take_back(returned)
    assert holder.grant(build_ask(3, clock.now)).is_granted
    assert not holder.grant(build_ask(4, clock.now)).is_granted


def test_daemons_that_are_refused_share_the_asks(clock):
    holder, _ = build_holder(clock, limited_s=0)
    holder.grant(build_ask(0, clock.now))
    alone = holder.grant(build_ask(1, clock.now))
    assert MIN_RETRY_S <= alone.retry_s <= 1
    for number in range(300):
        last = holder.grant(build_ask(number, clock.now, asker=f'd{number}:1'))
    assert last.retry_s == MAX_RETRY_S


def test_a_holder_passes_on_that_a_limit_was_lifted(clock):
    holder, table = build_holder(clock)
    table.apply(E1, build_statement(clock.now, rate=None))
    answer = holder.grant(build_ask(1, clock.now))
    assert answer.is_granted
    assert answer.statement.rate is None


@pytest.mark.parametrize(
    'message',
    [
        build_ask(7, 90.0, max_wait_s=1.5),
        PermitReturn(number=7, asker='d1:1', process=E1),
        PermitAnswer(number=7, process=E1, wait_s=0.5, retry_s=1.5),
        PermitAnswer(
            number=7,
            process=E1,
            is_granted=True,
            statement=build_statement(90.0, rate=None, age_s=2),
        ),
    ],
)
def test_messages_survive_their_encoding(message):
    document = orjson.loads(encode_message(message, 100.0))
    assert decode_message(document, 100.0) == message


json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
)


@given(st.sampled_from(('permit_ask', 'permit_answer', 'limits')), json_values)
def test_malformed_datagrams_are_ignored(kind, row):
    decode_message({kind: row}, 100.0)
    list(decode_limits({kind: row}, 100.0))


def test_limits_fit_into_datagrams():
    limits = {
        (f'endpoint-{number}', number): build_statement(99.0)
        for number in range(100)
    }
    datagrams = list(encode_limits(limits.items(), 100.0))
    assert max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES + 20
    decoded = {
        process: statement.rate
        for datagram in datagrams
        for process, statement in decode_limits(orjson.loads(datagram), 100.0)
    }
    assert decoded == dict.fromkeys(limits, 2.0)
    assert math.isinf(next(iter(limits.values())).limited_at)
