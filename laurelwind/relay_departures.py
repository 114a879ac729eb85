"""Wires what a relay daemon discards when a name has left."""

from collections.abc import Callable, Set
from typing import TYPE_CHECKING

from laurelwind.coordination.departures import (
    Departure,
    Departures,
    ListNames,
    Subject,
)
from laurelwind.state.routes import RoutingTable

if TYPE_CHECKING:
    from laurelwind.relay_daemon import RelayDaemon


def build_departures(daemon: 'RelayDaemon') -> Departures:
    """Build the owner of departures, with all listeners of a daemon.

    :param daemon: the daemon; all its components are built.
    """
    directory = daemon.directory
    departures = Departures(
        sources={
            Subject.ENDPOINT: _when_read(daemon, directory.list_names),
            Subject.ADDRESS: _when_read(daemon, directory.list_addresses),
            Subject.VERSION: _when_read(daemon, directory.list_versions),
            Subject.SERVICE: _from_table(daemon, _list_services),
            Subject.ROUTE: _from_table(daemon, _list_routes),
            Subject.WORKSPACE: _from_table(daemon, _list_workspaces),
            Subject.MEMBER: lambda: _list_members(daemon),
        },
        count=daemon.metrics.count_departures,
        log=daemon.log,
    )
    _add_endpoint_listeners(departures, daemon)
    _add_table_listeners(departures, daemon)
    daemon.tracker.add_listener(departures.check)
    return departures


def _add_endpoint_listeners(
    departures: Departures, daemon: 'RelayDaemon'
) -> None:
    def discard_endpoints(departure: Departure) -> None:
        names = set(departure.remaining)
        daemon.placement.retain_endpoints(names)
        daemon.permits.retain(names)

    def close_connections(departure: Departure) -> None:
        daemon.gateway.idle.retain(departure.remaining)

    departures.add_listener(Subject.ENDPOINT, discard_endpoints)
    departures.add_listener(Subject.ADDRESS, close_connections)


def _add_table_listeners(departures: Departures, daemon: 'RelayDaemon') -> None:
    baselines = daemon.rollouts.baselines

    def discard_routes(departure: Departure) -> None:
        daemon.metrics.discard_routes(departure.left)
        daemon.relay.discard_routes(departure.left)
        baselines.discard_routes(departure.left)

    def discard_services(departure: Departure) -> None:
        daemon.retry_budget.discard(departure.left)
        daemon.rollouts.retire_services(departure.left, departure.remaining)
        baselines.discard_services(departure.left)

    departures.add_listener(Subject.ROUTE, discard_routes)
    departures.add_listener(Subject.SERVICE, discard_services)


def _when_read(
    daemon: 'RelayDaemon', list_names: Callable[[], Set[str]]
) -> ListNames:
    return lambda: list_names() if daemon.tracker.has_endpoints else None


def _from_table(
    daemon: 'RelayDaemon', list_names: Callable[[RoutingTable], Set[str]]
) -> ListNames:
    def list_known() -> Set[str] | None:
        table = daemon.tracker.table
        return None if table is None else list_names(table)

    return list_known


def _list_services(table: RoutingTable) -> Set[str]:
    return table.services.keys() | {
        share.service for route in table.routes for share in route.shares
    }


def _list_routes(table: RoutingTable) -> Set[str]:
    return {route.name for route in table.routes}


def _list_workspaces(table: RoutingTable) -> Set[str]:
    return {workspace.name for workspace in table.workspaces.values()}


def _list_members(daemon: 'RelayDaemon') -> Set[str] | None:
    if not daemon.membership.first_read.is_set():
        return None
    return {member.name for member in daemon.membership.members}
