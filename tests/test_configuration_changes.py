"""Changes of the configuration: what they log, and what they may not cut."""

from attrs import evolve

from laurelwind.state.routes import Workspace
from laurelwind.state.table_changes import Differences, compare_tables
from tests.relay_helpers import KEY, build_routing_table


def test_the_changes_of_a_table_are_counted():
    before = build_routing_table(1)
    first, *others = before.routes
    after = build_routing_table(
        2,
        routes=(evolve(first, timeout_s=9.0), *others[1:]),
        workspaces={
            KEY: Workspace(name='forms'),
            'second-key': Workspace(name='forms'),
        },
    )
    changes = compare_tables(before, after)
    assert changes.routes == Differences(added=0, removed=1, changed=1)
    assert changes.keys == Differences(added=1, removed=0, changed=0)
    assert compare_tables(None, before).routes.added == len(before.routes)
