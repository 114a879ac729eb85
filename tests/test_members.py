"""Merging of member views, suspicion, and the order of entries."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from laurelwind.coordination.entries import EntryChooser
from laurelwind.coordination.roster import LocalStateSources, Roster
from laurelwind.state.members import (
    Liveness,
    Member,
    MemberTable,
    rank_members,
)


def build_member(name, **fields):
    defaults = {
        'zone': name[0],
        'caller_address': '127.0.0.1:1',
        'peer_address': '127.0.0.1:2',
    }
    return Member(name=name, **{**defaults, **fields})


views = st.builds(
    build_member,
    st.sampled_from(('a0', 'b1')),
    incarnation=st.integers(0, 3),
    liveness=st.sampled_from(Liveness),
    is_leaving=st.booleans(),
    beat=st.integers(0, 3),
    configuration=st.integers(-1, 4),
)


@given(received=st.lists(views, max_size=8), generator=st.randoms())
def test_merging_views_is_independent_of_order(received, generator):
    ordered_table, shuffled_table = MemberTable(), MemberTable()
    shuffled = [*received, *received]
    generator.shuffle(shuffled)
    for view in received:
        ordered_table.merge(view)
    for view in shuffled:
        shuffled_table.merge(view)
    for name in ('a0', 'b1'):
        ordered, reordered = ordered_table.get(name), shuffled_table.get(name)
        assert (ordered is None) == (reordered is None)
        if ordered is None:
            continue
        assert ordered.incarnation == reordered.incarnation
        assert ordered.liveness == reordered.liveness
        assert ordered.is_leaving == reordered.is_leaving
        assert ordered.configuration == reordered.configuration


@given(
    count=st.integers(2, 30),
    removed=st.integers(0, 29),
    subject=st.text(max_size=5),
)
def test_rendezvous_hashing_moves_only_subjects_of_the_removed_member(
    count, removed, subject
):
    members = [build_member(f'a{index}') for index in range(count)]
    (before,) = rank_members(members, subject, 1)
    rest = [member for member in members if member.name != f'a{removed}']
    (after,) = rank_members(rest, subject, 1)
    assert after == before or before.name == f'a{removed}'


def create_roster():
    return Roster(
        local_member=build_member('a0'),
        state=LocalStateSources(
            read_load=lambda: 0, read_configuration=lambda: 0
        ),
    )


def test_a_false_suspicion_is_refuted():
    roster = create_roster()
    first = roster.local_member.incarnation
    roster.merge_member(
        build_member('a0', incarnation=first, liveness=Liveness.SUSPECT)
    )
    assert roster.local_member.incarnation == first + 1
    assert roster.local_member.is_usable


def test_a_leaving_or_suspected_member_gets_no_new_work():
    roster = create_roster()
    roster.merge_member(build_member('b1', incarnation=1))
    assert [member.name for member in roster.list_usable()] == ['a0', 'b1']
    roster.suspect('b1')
    assert [member.name for member in roster.list_usable()] == ['a0']
    roster.merge_member(build_member('b1', incarnation=2))
    assert len(roster.list_usable()) == 2
    roster.merge_member(build_member('b1', incarnation=3, is_leaving=True))
    assert [member.name for member in roster.list_usable()] == ['a0']


def test_entries_of_the_callers_zone_come_first_weighted_by_load():
    roster = create_roster()
    for name, load in (('a1', 0), ('a2', 30), ('b1', 0)):
        roster.merge_member(
            build_member(name, incarnation=1, beat=1, load=load)
        )
    chooser = EntryChooser(roster=roster, seed=7)
    first_counts = Counter()
    for _ in range(600):
        entries = chooser.choose('a').entries
        assert entries[-1].zone == 'b'
        first_counts[entries[0].name] += 1
    assert first_counts['a0'] > 200
    assert first_counts['a1'] > 200
    assert first_counts['a2'] < 60
