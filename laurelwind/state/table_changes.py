"""Counts of what a routing table changes against the one before."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from laurelwind.state.routes import RoutingTable


@frozen(kw_only=True)
class Differences:
    """Numbers of entries that differ between two mappings.

    :ivar added: entries that only the newer mapping has.
    :ivar removed: entries that only the older mapping has.
    :ivar changed: entries of both that are not equal.
    """

    added: int
    removed: int
    changed: int


@frozen(kw_only=True)
class TableChanges:
    """Differences between two routing tables.

    :ivar routes: differences of the routes, by name.
    :ivar services: differences of the services, by name.
    :ivar keys: differences of the keys and their workspaces.
    """

    routes: Differences
    services: Differences
    keys: Differences


def compare_tables(
    previous: RoutingTable | None, table: RoutingTable
) -> TableChanges:
    """Count what a table changes.

    :param previous: the table before, or ``None`` if there was none.
    :param table: the table.
    """
    before = previous or RoutingTable(version=0, routes=(), services={})
    return TableChanges(
        routes=_compare(
            {route.name: route for route in before.routes},
            {route.name: route for route in table.routes},
        ),
        services=_compare(before.services, table.services),
        keys=_compare(before.workspaces, table.workspaces),
    )


def _compare(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> Differences:
    kept = before.keys() & after.keys()
    return Differences(
        added=len(after) - len(kept),
        removed=len(before) - len(kept),
        changed=sum(before[name] != after[name] for name in kept),
    )
