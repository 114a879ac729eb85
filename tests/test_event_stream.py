"""Events are given out only once they are whole."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from laurelwind.protocol.event_stream import EventSplitter

texts = st.text(alphabet='abc :', min_size=1, max_size=12)
endings = st.sampled_from((b'\n', b'\r\n'))


@given(
    st.lists(texts, min_size=1, max_size=6),
    endings,
    st.lists(st.integers(0, 200), max_size=8),
)
def test_any_cut_of_the_bytes_gives_the_same_events(bodies, end, cuts):
    raw = [
        b'id: %d%bdata: %b%b%b' % (number, end, text.encode(), end, end)
        for number, text in enumerate(bodies, start=1)
    ]
    stream = b''.join(raw)
    places = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
    splitter = EventSplitter()
    found = []
    for begin, finish in itertools.pairwise(places):
        found.extend(splitter.feed(stream[begin:finish]))
    assert [event.raw for event in found] == raw
    assert [event.event_id for event in found] == [
        str(number) for number in range(1, len(raw) + 1)
    ]
    assert not splitter.has_rest


def test_a_torn_event_is_kept_back():
    splitter = EventSplitter()
    assert not splitter.feed(b'id: 4\ndata: x')
    assert splitter.has_rest
