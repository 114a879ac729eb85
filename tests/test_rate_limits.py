"""Rate limits that endpoints state: parsing, and merging of statements."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laurelwind.platform.headers import PLATFORM_HEADERS
from laurelwind.protocol.headers import NamedHeaderCodec
from laurelwind.state import rate_limits
from laurelwind.state.rate_limits import (
    LimitChange,
    LimitStatement,
    RateLimits,
    parse_rate_limit,
)

E1 = ('e1', 1)


def build_statement(rate, stated_at, sent_at=None):
    if sent_at is None:
        sent_at = stated_at
    return LimitStatement(rate=rate, sent_at=sent_at, stated_at=stated_at)


@pytest.mark.parametrize(
    ('texts', 'rate'),
    [
        (['2.5'], 2.5),
        (['0'], 0),
        (['-1'], None),
        (['nan'], None),
        (['inf'], None),
        (['1e400'], None),
        ([''], None),
        (['soon'], None),
        # The lowest of several counts, as each may be the one in force.
        (['3', '2'], 2),
        (['4, 2'], 2),
        (['x, 2'], 2),
    ],
)
def test_a_limit_is_a_number_of_at_least_zero(texts, rate):
    assert parse_rate_limit(texts) == rate


def test_the_codec_reads_every_limit():
    codec = NamedHeaderCodec(names=PLATFORM_HEADERS)
    head = codec.decode_answer_head(
        503, [(b'Server-Limit', b'2.5'), (b'server-limit', b' 3 ')]
    )
    assert head.rate_limits == ('2.5', '3')
    assert not codec.decode_answer_head(200, ()).rate_limits


def test_an_answer_that_began_before_the_limit_does_not_lift_it():
    table = RateLimits()
    assert table.apply(E1, build_statement(2, 10)) is LimitChange.STATED
    assert table.apply(E1, build_statement(None, 12, sent_at=9)) is None
    assert table.find(E1).rate == 2
    assert table.limited_names == {'e1'}
    lifted = build_statement(None, 12, sent_at=11)
    assert table.apply(E1, lifted) is LimitChange.LIFTED
    assert not table.limited_names
    assert table.find(E1) is None
    # An answer from before, reported late.
    assert table.apply(E1, build_statement(2, 11.5)) is None
    assert table.apply(E1, build_statement(3, 13)) is LimitChange.STATED


def test_the_newest_limit_counts_and_keeps_the_moment_of_the_first():
    table = RateLimits()
    table.apply(E1, build_statement(2, 10))
    assert table.apply(E1, build_statement(4, 11)) is LimitChange.CHANGED
    assert table.apply(E1, build_statement(3, 10.5)) is None
    assert table.find(E1).rate == 4
    assert table.find(E1).limited_at == 10


def test_a_restarted_endpoint_has_no_limit():
    table = RateLimits()
    table.apply(E1, build_statement(2, 10))
    assert table.find(('e1', 2)) is None


def test_statements_are_bounded(monkeypatch):
    monkeypatch.setattr(rate_limits, 'MAX_STATEMENTS', 3)
    table = RateLimits()
    for number in range(5):
        table.apply((f'e{number}', 1), build_statement(2, number))
    assert len(list(table.iterate_rates())) == 3
    table.retain({'e4'})
    assert list(table.iterate_rates()) == [2]
    assert table.limited_names == {'e4'}


@given(
    st.lists(
        st.tuples(
            st.sampled_from((None, 1.0, 2.0)),
            st.floats(0, 9),
            st.floats(0, 3),
        )
    )
)
def test_a_limit_stays_until_a_later_request_shows_its_end(rows):
    table = RateLimits()
    last_limited_at = -math.inf
    for rate, sent_at, waited_s in rows:
        stated_at = sent_at + waited_s
        before = table.find(E1)
        table.apply(E1, build_statement(rate, stated_at, sent_at))
        if before is not None and table.find(E1) is None:
            assert sent_at >= before.stated_at
        if table.find(E1) is not None:
            last_limited_at = table.find(E1).stated_at
        assert table.find(E1) is None or last_limited_at >= 0
