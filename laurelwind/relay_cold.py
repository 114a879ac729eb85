"""Wires what a relay daemon knows of cold endpoints."""

from typing import TYPE_CHECKING

from laurelwind.coordination.cold.access import ColdAccess
from laurelwind.coordination.cold.contact import (
    ContactDependencies,
    FleetContact,
)
from laurelwind.coordination.cold.endpoints import (
    ColdDependencies,
    ColdEndpoints,
)
from laurelwind.coordination.cold.gossip import ColdGossip
from laurelwind.coordination.cold.rates import ColdBounds
from laurelwind.coordination.cold.shares import ColdShares
from laurelwind.coordination.statement_gossip import GossipDependencies
from laurelwind.coordination.suspects.keys import build_process_key
from laurelwind.protocol.keyed_store import Topic
from laurelwind.relay_settings import BoundSettings
from laurelwind.state.routes import Service

if TYPE_CHECKING:
    from laurelwind.relay_daemon import RelayDaemon


def build_cold_endpoints(daemon: 'RelayDaemon') -> ColdEndpoints:
    """Build the cold endpoints of a daemon.

    :param daemon: the daemon; its tracker, screen and placement are built.
    """

    def find_service(name: str) -> Service | None:
        table = daemon.tracker.table
        return None if table is None else table.services.get(name)

    def has_survived(name: str, started_ms: int, broke_at: float) -> bool:
        key = build_process_key(name, started_ms)
        return daemon.screen.evidence.breaks.has_survived(key, broke_at)

    cold = ColdEndpoints(
        dependencies=ColdDependencies(
            bounds=build_cold_bounds(daemon.settings.bounds),
            find_service=find_service,
            has_survived=has_survived,
            record_end=daemon.placement.record_limit_end,
            log=daemon.log,
        )
    )
    daemon.directory.add_listener(cold.record_entry)
    daemon.evacuations.add_listener(cold.record_return)
    return cold


def build_cold_access(daemon: 'RelayDaemon', cold: ColdEndpoints) -> ColdAccess:
    """Build what the permits for cold endpoints need.

    :param daemon: the daemon; its datagrams are built.
    :param cold: the cold endpoints.
    """
    membership = daemon.membership
    return ColdAccess(
        shares=ColdShares(
            local_address=daemon.settings.listen.peers,
            list_members=lambda: (
                membership.members if membership.first_read.is_set() else ()
            ),
        ),
        gossip=ColdGossip(
            endpoints=cold,
            contact=_build_contact(daemon, cold),
            dependencies=build_gossip_dependencies(daemon),
        ),
        count=lambda outcome: daemon.metrics.cold_permits.labels(outcome).inc(),
    )


def _build_contact(daemon: 'RelayDaemon', cold: ColdEndpoints) -> FleetContact:
    return FleetContact(
        dependencies=ContactDependencies(
            endpoints=cold,
            list_services=daemon.directory.count_ready,
            list_ready=daemon.directory.list_ready,
            read_age=lambda: daemon.copies[Topic.ENDPOINTS].age_s,
            get_max_age=lambda: daemon.settings.bounds.drain_s,
            has_peers=lambda: bool(daemon.list_peers()),
            log=daemon.log,
        )
    )


def build_gossip_dependencies(daemon: 'RelayDaemon') -> GossipDependencies:
    """Build what the exchange of statements about endpoints needs.

    :param daemon: the daemon; its datagrams are built.
    """
    return GossipDependencies(
        channel=daemon.datagrams, list_peers=daemon.list_peers
    )


def build_cold_bounds(bounds: BoundSettings) -> ColdBounds | None:
    """Build the bound for cold endpoints, or ``None`` if there is none.

    :param bounds: bounds of the settings.
    """
    if not bounds.cold_overage:
        return None
    return ColdBounds(
        overage=bounds.cold_overage, tolerance=bounds.cold_tolerance or 0
    )
