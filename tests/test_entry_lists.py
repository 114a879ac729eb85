"""Entries that callers are told of, in zones larger than one answer."""

from laurelwind.coordination.entry_lists import choose_entries
from tests.emulated_fleet import build_members

LIMIT = 64


def test_every_daemon_of_a_large_zone_is_named_to_some_callers():
    """371 daemons in five zones: 74 or 75 a zone, 64 in an answer."""
    members = build_members(371, 'abcde')
    answers = [choose_entries(members, 'a', LIMIT) for _ in range(40)]
    zone = {member.caller_address for member in members if member.zone == 'a'}
    assert all(len(set(answer)) == LIMIT for answer in answers)
    assert {address for answer in answers for address in answer} == zone


def test_callers_of_a_zone_with_one_daemon_are_told_of_all():
    members = build_members(6, 'aaaaab')
    assert len(choose_entries(members, 'b', LIMIT)) == 6
    assert len(choose_entries(members, 'a', LIMIT)) == 5
