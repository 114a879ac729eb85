"""Gauges of a relay daemon."""

from typing import TYPE_CHECKING

from laurelwind.protocol.keyed_store import Topic
from laurelwind.state.load import read_monotonic_clock

if TYPE_CHECKING:
    from laurelwind.relay_daemon import RelayDaemon


def register_gauges(daemon: 'RelayDaemon') -> None:
    """Register the gauges whose values a daemon holds.

    :param daemon: the daemon.
    """
    add_gauge = daemon.metrics.add_gauge
    _add_ages(daemon)
    _add_endpoints(daemon)
    _add_load(daemon)
    _add_caller_gauges(daemon)
    add_gauge(
        'laurelwind_in_flight',
        'Requests from their head to the end of their answer.',
        lambda: daemon.application.exchanges.count,
    )
    add_gauge(
        'laurelwind_store_era',
        'Times that the store was restored from an older copy.',
        lambda: daemon.tracker.era or 0,
    )
    add_gauge(
        'laurelwind_loop_lag_seconds',
        'Longest time in the last ten seconds by which a timer was late.',
        lambda: daemon.loop_lag.longest_s,
    )
    add_gauge(
        'laurelwind_members',
        'Daemons that are alive.',
        lambda: len(daemon.membership.members),
    )
    add_gauge(
        'laurelwind_idle_connections',
        'Idle connections to endpoints.',
        lambda: daemon.gateway.idle.count,
    )
    add_gauge(
        'laurelwind_blocked_parts',
        'Groups of prompt parts whose requests are rejected.',
        lambda: len(daemon.screen.blocks),
    )
    add_gauge(
        'laurelwind_log_lines_left_out',
        'Log lines left out since the last one that went out.',
        lambda: daemon.log.dropped_lines,
    )


def _add_ages(daemon: 'RelayDaemon') -> None:
    add_gauge = daemon.metrics.add_gauge
    add_gauge(
        'laurelwind_table_age_seconds',
        'Seconds since the routing table was known to be the newest.',
        lambda: daemon.lease.age_s,
    )
    add_gauge(
        'laurelwind_endpoints_age_seconds',
        'Seconds since the list of endpoints was known to be the newest.',
        lambda: daemon.copies[Topic.ENDPOINTS].age_s,
    )
    add_gauge(
        'laurelwind_members_age_seconds',
        'Seconds since the list of daemons was known to be the newest.',
        lambda: daemon.copies[Topic.MEMBERS].age_s,
    )


def _add_endpoints(daemon: 'RelayDaemon') -> None:
    add_gauge = daemon.metrics.add_gauge
    add_gauge(
        'laurelwind_endpoints_ready',
        'Endpoints that take new work.',
        lambda: sum(daemon.directory.count_ready().values()),
    )
    add_gauge(
        'laurelwind_limited_endpoints',
        'Endpoints that state a rate limit.',
        lambda: len(tuple(daemon.permits.limits.table.iterate_rates())),
    )
    add_gauge(
        'laurelwind_endpoint_limits_per_second',
        'Sum of the rate limits that endpoints state, in requests per second.',
        lambda: sum(daemon.permits.limits.table.iterate_rates()),
    )
    add_gauge(
        'laurelwind_evacuated_zones',
        'Zones whose endpoints get no requests.',
        lambda: len(daemon.zones.names),
    )
    add_gauge(
        'laurelwind_cold_endpoints',
        'Endpoints that take few requests as they are cold, or may be.',
        lambda: len(daemon.permits.limits.table.cold.names),
    )
    add_gauge(
        'laurelwind_unknown_endpoints',
        'Endpoints that count as cold while the daemon is cut off.',
        lambda: len(daemon.permits.limits.table.cold.unknown),
    )


def _add_load(daemon: 'RelayDaemon') -> None:
    add_gauge = daemon.metrics.add_gauge
    add_gauge(
        'laurelwind_shed_share',
        'Largest share of the work of a service that has to be rejected.',
        lambda: daemon.load_decisions.compute_largest_share(
            read_monotonic_clock()
        ),
    )
    add_gauge(
        'laurelwind_load_reports',
        'Peers whose reports of load are younger than three seconds.',
        lambda: daemon.load_decisions.workspaces.count_reports(
            read_monotonic_clock()
        ),
    )


def _add_caller_gauges(daemon: 'RelayDaemon') -> None:
    add_gauge = daemon.metrics.add_gauge
    account = daemon.callers
    add_gauge(
        'laurelwind_held_bytes',
        'Bytes held for callers.',
        lambda: account.total_bytes,
    )
    add_gauge(
        'laurelwind_held_bytes_limit',
        'Most bytes held for callers, from the memory of the machine.',
        lambda: account.limits.held_bytes,
    )
    add_gauge(
        'laurelwind_caller_connections',
        'Connections of callers on all listeners.',
        lambda: account.connection_count,
    )
    add_gauge(
        'laurelwind_caller_connections_limit',
        'Most connections of callers, from the file descriptors.',
        lambda: account.limits.connections,
    )
    add_gauge(
        'laurelwind_endpoint_connections',
        'Connections to endpoints, idle ones as well.',
        lambda: daemon.gateway.connections.open_count,
    )
