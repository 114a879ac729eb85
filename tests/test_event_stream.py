"""Splitting a byte stream into complete events."""

import itertools
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laurelwind.errors import EndpointError
from laurelwind.protocol.event_stream import MAX_EVENT_BYTES, EventSplitter

texts = st.text(alphabet='abc :', min_size=1, max_size=12)
endings = st.sampled_from((b'\n', b'\r\n'))


@given(
    st.lists(texts, min_size=1, max_size=6),
    endings,
    st.lists(st.integers(0, 200), max_size=8),
)
def test_events_do_not_depend_on_how_the_bytes_are_chunked(bodies, end, cuts):
    expected = [
        b'id: %d%bdata: %b%b%b' % (number, end, text.encode(), end, end)
        for number, text in enumerate(bodies, start=1)
    ]
    stream = b''.join(expected)
    positions = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
    splitter = EventSplitter()
    events = []
    for begin, finish in itertools.pairwise(positions):
        events.extend(splitter.feed(stream[begin:finish]))
    assert [event.raw for event in events] == expected
    assert [event.event_id for event in events] == [
        str(number) for number in range(1, len(expected) + 1)
    ]
    assert not splitter.has_incomplete_event


def test_an_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert not splitter.feed(b'id: 4\ndata: x')
    assert splitter.has_incomplete_event


# An event without end filled the memory, and each chunk searched all of it.
def test_an_event_without_end_is_rejected_early():
    splitter = EventSplitter()
    chunk = b'x' * 65536
    started_at = time.monotonic()
    with pytest.raises(EndpointError):
        for _ in range(64):
            splitter.feed(chunk)
    assert time.monotonic() - started_at < 1


def test_a_long_event_in_small_chunks_takes_linear_time():
    splitter = EventSplitter()
    started_at = time.monotonic()
    for _ in range(MAX_EVENT_BYTES // 64):
        assert not splitter.feed(b'y' * 64)
    [event] = splitter.feed(b'\r\n\r\n')
    assert len(event.raw) == MAX_EVENT_BYTES + 4
    assert time.monotonic() - started_at < 2
