"""The relay daemon: wires its components, starts them and stops them."""

from collections.abc import Callable, Sequence
from typing import Final

from anyio.abc import TaskGroup
from attrs import asdict, evolve
from starlette.types import ASGIApp

from laurelwind.coordination.loop_lag import LoopLag
from laurelwind.coordination.relay import Relay, build_relay
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.scheduling.placement import Placement
from laurelwind.coordination.sending import SenderDependencies
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.coordination.topics.budgets import (
    build_budgets,
    update_budgets,
)
from laurelwind.decisions import DecisionLog
from laurelwind.errors import ConfigurationError
from laurelwind.relay_departures import build_departures
from laurelwind.relay_entries import build_entries
from laurelwind.relay_gauges import register_gauges
from laurelwind.relay_limits import (
    TableLimits,
    build_answer_buffers,
    build_caller_account,
    build_retry_budget,
)
from laurelwind.relay_metrics import RelayMetrics
from laurelwind.relay_permits import build_permits, build_report_gossip
from laurelwind.relay_settings import RelaySettings
from laurelwind.relay_sharing import (
    build_crash_gossip,
    build_load_decisions,
    build_load_gossip,
)
from laurelwind.relay_tracking import (
    PlatformAdapters,
    TrackedState,
    build_local_member,
    build_topic_bounds,
    build_tracking,
    build_zones,
)
from laurelwind.state.directory import EndpointDirectory
from laurelwind.state.leases import FreshnessLease
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.stops import StopLimit
from laurelwind.transport.draining import Drain
from laurelwind.transport.gateway import HttpGateway
from laurelwind.transport.hints import HintListener, WorkHints
from laurelwind.transport.peer_datagrams import PeerDatagrams
from laurelwind.transport.relay_application import RelayApplication
from laurelwind.transport.server import HttpServer
from laurelwind.transport.stop_times import StopTimes, plan_stop
from laurelwind.transport.timed_protocol import ConnectionPolicy, TimeoutKind
from laurelwind.transport.topics import HttpPeerTopics, TopicApplication

# The freshness lease and the largest table age at which an unknown name is
# refused, as shares of ``revocation_s`` and ``apply_s``.  The rest of each
# bound is time to send a request that was checked just before.
LEASE_SHARE: Final = 0.9
MAX_ABSENCE_AGE_SHARE: Final = 0.9
# Seconds that a stopping daemon keeps listening, so that callers can
# switch to another one.
LISTEN_AFTER_STOP_S: Final = 3.2
# Seconds after which a stopping daemon refuses new requests, as they could not
# be finished in time.
REFUSE_AFTER_S: Final = 2.9


class RelayDaemon:
    """A relay daemon with all its components.

    :param settings: settings of the daemon.
    :param adapters: adapters to the platform.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        adapters: PlatformAdapters,
        metrics: RelayMetrics,
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.metrics = metrics
        self.loop_lag = LoopLag()
        self.log = DecisionLog(
            daemon=settings.daemon.name,
            count=lambda event: self.metrics.decisions.labels(event).inc(),
        )
        self.lease = FreshnessLease(
            duration_s=bounds.revocation_s * LEASE_SHARE
        )
        self.directory = EndpointDirectory()
        self.zones = build_zones(bounds)
        self.rollouts = RolloutRegistry(
            local_daemon=settings.listen.callers,
            exposure_share=bounds.exposure_share,
            log=self.log,
        )
        self._peers = HttpPeerTopics()
        self._budgets = build_budgets(build_topic_bounds(bounds))
        tracking = build_tracking(
            local_instance=build_local_member(settings),
            adapters=adapters,
            peers=self._peers,
            state=TrackedState(
                lease=self.lease,
                directory=self.directory,
                rollouts=self.rollouts,
                zones=self.zones,
            ),
            budgets=self._budgets,
            log=self.log,
            contact_s=bounds.contact_s or 0,
        )
        self.copies = tracking.copies
        self.membership = tracking.membership
        self.tracker = tracking.tracker
        self.evacuations = tracking.evacuations
        self._entries = build_entries(settings, tracking)
        self._apply_absence_age(bounds.apply_s)
        self.placement = Placement(
            zone=settings.daemon.zone,
            uses_pace=settings.load.uses_pace,
            by_forecast=settings.load.places_by_forecast,
            separates_classes=settings.load.separates_classes,
        )
        self.callers = build_caller_account(self)
        self.gateway = HttpGateway(
            codec=adapters.headers,
            limit=self.callers.limits.endpoint_connections,
            end_unread=self.callers.end_unread,
        )
        self.datagrams = PeerDatagrams(
            address=settings.listen.peers, log=self.log
        )
        self.screen = SuspectScreen(
            log=self.log, count_members=lambda: len(self.membership.members)
        )
        self.stop = StopLimit()
        self.gossip = build_crash_gossip(self)
        self.hints = WorkHints(
            channel=self.datagrams,
            list_peers=self.list_zone_peers,
            listener=HintListener(
                record_work=self.placement.record_remote_work,
                record_loss=self.placement.record_remote_loss,
                record_leaving=self.directory.record_leaving,
            ),
        )
        self.permits = build_permits(self)
        self.reports = build_report_gossip(self)
        self.load_decisions = build_load_decisions()
        self.load_gossip = build_load_gossip(self)
        self._limits = TableLimits(tracker=self.tracker)
        self.retry_budget = build_retry_budget(bounds, self.membership)
        self.relay = self._build_relay()
        self.departures = build_departures(self)
        self.application = RelayApplication(
            relay=self.relay,
            codec=adapters.headers,
            log=self.log,
            metrics=self.metrics,
            read_body_limit=self._limits.read_body_limit,
        )
        register_gauges(self)
        self._servers: list[HttpServer] = []

    @property
    def is_ready(self) -> bool:
        """Whether callers may connect to this daemon."""
        return self.tracker.is_ready and not self.application.is_draining

    def list_entries(self, zone: str, limit: int) -> Sequence[str]:
        """List the caller addresses of the daemons that accept callers.

        :param zone: availability zone of the caller.
        :param limit: largest number of addresses.
        """
        local_address = self.settings.listen.callers
        return self._entries.choose(
            zone,
            limit,
            excluded_address='' if self.is_ready else local_address,
        )

    def list_peers(self) -> list[str]:
        """List the addresses of all other daemons."""
        return [
            member.peer_address
            for member in self.membership.members
            if member.peer_address != self.settings.listen.peers
        ]

    def list_zone_peers(self) -> list[str]:
        """List the addresses of the other daemons of its zone."""
        local_address = self.settings.listen.peers
        return [
            member.peer_address
            for member in self.membership.members
            if member.zone == self.settings.daemon.zone
            and member.peer_address != local_address
        ]

    async def start(
        self, group: TaskGroup, other_applications: dict[str, ASGIApp]
    ) -> None:
        """Start every component and listen on every address.

        :param group: task group that runs the daemon's background tasks.
        :param other_applications: additional ASGI applications by listen
            address.
        """
        self.log.start()
        self.loop_lag.start(group)
        self.tracker.start(group)
        await self.datagrams.start(group)
        for component in (
            self.hints,
            self.gossip,
            self.permits,
            self.gateway,
            self.departures,
        ):
            component.start(group)
        if self.settings.load.uses_pace:
            self.load_gossip.start(group)
            self.reports.start(group)
        applications: dict[str, ASGIApp] = {
            self.settings.listen.callers: self.application,
            self.settings.listen.peers: TopicApplication(copies=self.copies),
            **other_applications,
        }
        policy = ConnectionPolicy(
            read_limits=self._limits.read_connection_limits,
            record_timeout=self._log_timeout,
            account=self.callers,
        )
        for address, application in applications.items():
            server = HttpServer(
                address=address,
                policy=evolve(
                    policy, uses_endpoints=application is self.application
                ),
            )
            self._servers.append(server)
            await server.start(group, application)
        self.log.log_warning('started', zone=self.settings.daemon.zone)

    async def close(self) -> None:
        """Stop gracefully: drain requests up to the time-out, then close."""
        self.log.log_warning(
            'stopping', in_flight=self.application.exchanges.count
        )
        times = self.plan_stop()
        self.stop.ends_at = read_monotonic_clock() + times.error_s
        drain = Drain(
            application=self.application, servers=self._servers, times=times
        )
        outcome = await drain.run(self.membership.leave)
        await self.gateway.close()
        await self._peers.close()
        await self.datagrams.close()
        self.log.log_warning('stopped', **asdict(outcome))

    def plan_stop(self) -> StopTimes:
        """Plan a stop within ``bounds.stop_s``."""
        return plan_stop(
            self.settings.bounds.stop_s,
            refusal_s=REFUSE_AFTER_S,
            listening_s=LISTEN_AFTER_STOP_S,
        )

    def reload(self, load_settings: Callable[[], RelaySettings]) -> None:
        """Apply the bounds of new settings that can change in operation.

        These are ``revocation_s``, ``apply_s``, ``drain_s`` and ``stop_s``.
        All other settings take effect after a restart.  Invalid settings are
        logged, and the current ones stay in force.

        :param load_settings: reads the settings file again.
        """
        try:
            settings = load_settings()
        except ConfigurationError as error:
            self.log.log_warning('settings_refused', reason=str(error))
            return
        bounds = settings.bounds
        in_force = evolve(
            self.settings,
            bounds=evolve(
                self.settings.bounds,
                revocation_s=bounds.revocation_s,
                apply_s=bounds.apply_s,
                drain_s=bounds.drain_s,
                stop_s=bounds.stop_s,
            ),
        )
        changed = in_force != self.settings
        needs_restart = in_force != settings
        self.settings = in_force
        self.lease.duration_s = bounds.revocation_s * LEASE_SHARE
        self._apply_absence_age(bounds.apply_s)
        update_budgets(self._budgets, build_topic_bounds(bounds))
        self.log.log_warning(
            'settings_reloaded', changed=changed, needs_restart=needs_restart
        )

    def _apply_absence_age(self, apply_s: float) -> None:
        self.tracker.max_absence_age_s = apply_s * MAX_ABSENCE_AGE_SHARE

    def _build_relay(self) -> Relay:
        return build_relay(
            dependencies=SenderDependencies(
                tracker=self.tracker,
                lease=self.lease,
                directory=self.directory,
                rollouts=self.rollouts,
                placement=self.placement,
                zones=self.zones,
                regions=self._entries.regions,
                permits=self.permits,
                screen=self.screen,
                stop=self.stop,
                retry_budget=self.retry_budget,
                gateway=self.gateway,
                notify_work=self.hints.notify_work,
                notify_loss=self.hints.notify_loss,
                notify_leaving=self.hints.notify_leaving,
                log=self.log,
                decisions=self.load_decisions,
                count_decision=self.metrics.count_load_decision,
                start_wait_s=self.settings.admission.start_wait_s,
            ),
            metrics=self.metrics,
            buffers=build_answer_buffers(self.callers),
        )

    def _log_timeout(self, kind: TimeoutKind) -> None:
        self.log.log_info('connection_timed_out', kind=kind)
