"""Wires what daemons exchange about endpoints: permits and load reports."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from laurelwind.coordination.limits.endpoint_limits import (
    EndpointLimits,
    LimitEvent,
)
from laurelwind.coordination.limits.endpoint_permits import EndpointPermits
from laurelwind.coordination.limits.holders import HolderChoice
from laurelwind.coordination.limits.limit_gossip import LimitGossip
from laurelwind.coordination.limits.permit_asks import PermitAsks
from laurelwind.coordination.load.report_gossip import ReportGossip
from laurelwind.protocol.platform import ListedInstance
from laurelwind.relay_cold import (
    build_cold_access,
    build_cold_endpoints,
    build_gossip_dependencies,
)

if TYPE_CHECKING:
    from laurelwind.relay_daemon import RelayDaemon


def build_permits(daemon: 'RelayDaemon') -> EndpointPermits:
    """Build the permits of a daemon.

    :param daemon: the daemon; its members, peers and placement are built.
    """
    cold = build_cold_endpoints(daemon)
    limits = EndpointLimits(log=daemon.log, cold=cold)
    access = build_cold_access(daemon, cold)
    contact = access.gossip.contact

    def handle_change(event: LimitEvent) -> None:
        if event.statement.rate is None:
            daemon.placement.record_limit_end(event.process[0], event.lasted_s)

    limits.add_listener(handle_change)
    return EndpointPermits(
        limits=limits,
        gossip=LimitGossip(
            limits=limits, dependencies=build_gossip_dependencies(daemon)
        ),
        asks=PermitAsks(
            limits=limits,
            holders=HolderChoice(
                list_members=lambda: _list_holders(daemon),
                is_cut_off=lambda: contact.is_cut_off,
            ),
            channel=daemon.datagrams,
            local_address=daemon.settings.listen.peers,
        ),
        count=lambda outcome: daemon.metrics.permits.labels(outcome).inc(),
        cold=access,
        log=daemon.log,
    )


def build_report_gossip(daemon: 'RelayDaemon') -> ReportGossip:
    """Build the exchange of load reports, and register its gauges.

    :param daemon: the daemon; its peers and placement are built.
    """
    placement = daemon.placement
    daemon.metrics.add_gauge(
        'laurelwind_paced_services',
        'Services whose endpoints report their pace.',
        lambda: len(placement.list_paced()),
    )
    daemon.metrics.add_gauge(
        'laurelwind_slowest_endpoint',
        'Largest slowdown of an endpoint whose pace is known.',
        placement.get_largest_slowdown,
    )
    daemon.metrics.add_gauge(
        'laurelwind_oldest_pace_seconds',
        'Age of the oldest pace of an endpoint with requests in flight.',
        placement.get_oldest_pace_age,
    )
    daemon.metrics.add_gauge(
        'laurelwind_choices_without_memory',
        'Choices since the start that found no endpoint with enough memory.',
        lambda: placement.choices_without_memory,
    )
    return ReportGossip(
        observations=placement,
        channel=daemon.datagrams,
        list_peers=daemon.list_zone_peers,
        find_endpoint=daemon.directory.find,
        log=daemon.log,
    )


def _list_holders(daemon: 'RelayDaemon') -> Sequence[ListedInstance]:
    """List the daemons that may hold permits, none until they are known.

    One that is stopping, or whose membership has lapsed, leaves the permits to
    the others.
    """
    membership = daemon.membership
    if not membership.first_read.is_set():
        return ()
    if not daemon.application.is_draining:
        return membership.listed or membership.members
    local_address = daemon.settings.listen.callers
    others = tuple(
        member
        for member in membership.listed
        if member.caller_address != local_address
    )
    return others or membership.members
