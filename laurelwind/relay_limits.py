"""Limits on callers and retries, from the table, settings and machine."""

from typing import TYPE_CHECKING, Any

from laurelwind.coordination.members import FleetMembership
from laurelwind.coordination.plain_answers import AnswerBuffers
from laurelwind.coordination.scheduling.fleet_retry_budget import (
    FleetRetryBudget,
)
from laurelwind.coordination.tracker import Tracker
from laurelwind.relay_settings import BoundSettings
from laurelwind.state.routes import CallerLimits
from laurelwind.transport.limits.account import CallerAccount, EndReason
from laurelwind.transport.limits.machine import derive_limits
from laurelwind.transport.timed_protocol import (
    HEADER_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    ConnectionLimits,
)

if TYPE_CHECKING:
    from laurelwind.relay_daemon import RelayDaemon


class TableLimits:
    """Reads the limits on callers from the routing table in force.

    :param tracker: holds the table.
    """

    def __init__(self, *, tracker: Tracker) -> None:
        self._tracker = tracker
        self._limits = CallerLimits()
        self._connection_limits = _build_connection_limits(self._limits)

    def read_body_limit(self) -> int:
        """Return the maximum size of a request body in bytes."""
        self._update()
        return self._limits.body_bytes

    def read_connection_limits(self) -> ConnectionLimits:
        """Return how long callers may take, and the maximum size of a head.

        Of times the defaults are the least, since a caller may still go by the
        limits of an earlier table.
        """
        self._update()
        return self._connection_limits

    def _update(self) -> None:
        table = self._tracker.table
        limits = self._limits if table is None else table.limits
        # Each request reads them several times.
        if limits is not self._limits:
            self._limits = limits
            self._connection_limits = _build_connection_limits(limits)


def _build_connection_limits(limits: CallerLimits) -> ConnectionLimits:
    return ConnectionLimits(
        header_bytes=limits.header_bytes,
        header_timeout_s=max(limits.header_timeout_s, HEADER_TIMEOUT_S),
        idle_timeout_s=max(limits.idle_timeout_s, IDLE_TIMEOUT_S),
    )


def build_retry_budget(
    bounds: BoundSettings, membership: FleetMembership
) -> FleetRetryBudget:
    """Build the retry budget of a daemon.

    :param bounds: bounds of the settings.
    :param membership: the live daemons.
    """
    return FleetRetryBudget(
        retry_ratio=bounds.retry_share,
        extra_retries=bounds.retry_extra,
        window_s=bounds.retry_window_s,
        count_members=membership.count_known,
    )


def build_answer_buffers(account: CallerAccount) -> AnswerBuffers:
    """Build the buffers of plain answers that have not begun.

    :param account: account of what is held for callers, which counts them.
    """
    return AnswerBuffers(hold=account.hold_answer)


def build_caller_account(daemon: 'RelayDaemon') -> CallerAccount:
    """Build the account of all connections of callers.

    :param daemon: the daemon; its log and metrics record the connections that
        are ended.
    """
    limits = daemon.settings.limits

    def record_end(reason: EndReason, details: dict[str, Any]) -> None:
        daemon.metrics.ended_connections.labels(reason).inc()
        daemon.log.log_info('connection_ended', reason=reason, **details)

    return CallerAccount(
        limits=derive_limits(limits.memory_mb, limits.max_fds),
        record_end=record_end,
    )
