"""Folding the configuration stream: conflicts, gaps, snapshots, replays."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from laurelwind.state.configuration import ConfigurationHistory, Verdict
from laurelwind.state.records import (
    Entry,
    PublishRecord,
    QuarantineRecord,
    SnapshotRecord,
)
from standins.documents import build_document

ADDRESSES = {
    **{f'engine{index}': f'127.0.0.1:{index + 1}' for index in range(3)},
    'plain': '127.0.0.1:9',
}


def build_publish(base, name, *, is_valid=True):
    document = build_document(ADDRESSES)
    if not is_valid:
        document['services']['bookings']['pool'] = 'nowhere'
    return PublishRecord(
        publish_id=name,
        base=base,
        author=name,
        published_at=0.0,
        document=document,
    )


def fold(records, start=0):
    history = ConfigurationHistory()
    history.record_gap(start)
    for offset, record in enumerate(records[start:], start=start):
        history.apply(Entry(offset=offset, record=record))
    return history


proposals = st.lists(
    st.tuples(st.integers(-1, 8), st.booleans()), min_size=1, max_size=9
)


@given(proposed=proposals, replayed_offset=st.integers(0, 8))
def test_every_reader_decides_alike_and_offsets_never_decrease(
    proposed, replayed_offset
):
    records = [
        build_publish(base, f'p{index}', is_valid=is_valid)
        for index, (base, is_valid) in enumerate(proposed)
    ]
    history = ConfigurationHistory()
    offsets = []
    for offset, record in enumerate(records):
        history.apply(Entry(offset=offset, record=record))
        if offset >= replayed_offset:
            earlier = Entry(
                offset=replayed_offset, record=records[replayed_offset]
            )
            history.apply(earlier)
        offsets.append(history.accepted)
    assert offsets == sorted(offsets)
    assert fold(records).decisions == history.decisions
    accepted = [
        decision
        for decision in history.decisions
        if decision.verdict is Verdict.ACCEPTED
    ]
    for earlier, later in itertools.pairwise(accepted):
        assert records[later.offset].base == earlier.offset


def test_concurrent_proposals_have_one_winner_that_is_named():
    records = [
        build_publish(-1, 'first'),
        build_publish(0, 'anna'),
        build_publish(0, 'bala'),
        build_publish(0, 'carl'),
    ]
    history = fold(records)
    verdicts = [decision.verdict for decision in history.decisions]
    assert verdicts == ['accepted', 'accepted', 'late', 'late']
    assert history.decisions[-1].winner == 1
    assert history.find_author(1) == 'anna'


def test_after_expiry_a_snapshot_decides_the_proposals_before_it():
    records = [
        build_publish(-1, 'first'),
        build_publish(0, 'second'),
        build_publish(1, 'third'),
        SnapshotRecord(
            accepted=1,
            decided=1,
            author='second',
            document=build_document(ADDRESSES),
        ),
        build_publish(2, 'fourth'),
    ]
    history = fold(records, start=2)
    assert history.accepted == 4
    assert fold(records).accepted == 4


def test_without_a_snapshot_an_expired_stream_decides_nothing():
    records = [build_publish(-1, 'first'), build_publish(0, 'second')]
    history = fold(records, start=1)
    assert history.current is None
    assert not history.decisions


def test_a_quarantine_survives_snapshots_until_it_is_lifted():
    quarantine = QuarantineRecord(
        record_id='q1',
        reference='drafter@small-1',
        workspace='',
        author='a0',
        decided_at=0.0,
    )
    snapshot = SnapshotRecord(
        accepted=0,
        decided=1,
        author='first',
        document=build_document(ADDRESSES),
        quarantines=(quarantine,),
    )
    lifted = QuarantineRecord(
        record_id='q2',
        reference='drafter@small-1',
        workspace='',
        author='operator',
        decided_at=1.0,
        is_lifted=True,
    )
    records = [build_publish(-1, 'first'), quarantine, snapshot]
    assert fold(records, start=2).quarantines == [quarantine]
    lifted_records = [*records, lifted, snapshot]
    assert fold(lifted_records).quarantines == []
    assert fold(lifted_records).lifted_quarantine_ids == {'q1'}
