"""The daemon: wires its components, starts them and stops them."""

import os
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup
from attrs import asdict, frozen

from laurelwind.coordination.attempts import AnswerFetcher, FetcherDependencies
from laurelwind.coordination.cascade import CascadePlanner
from laurelwind.coordination.dispatch import (
    ChatDispatcher,
    DispatchDependencies,
)
from laurelwind.coordination.entries import EntryChooser
from laurelwind.coordination.fleet import FleetCoordinator, FleetDependencies
from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.coordination.retries import RetryBudget
from laurelwind.coordination.roster import LocalStateSources
from laurelwind.coordination.routing import Router
from laurelwind.coordination.service_calls import (
    ServiceCaller,
    ServiceCallerDependencies,
)
from laurelwind.coordination.usage import UsageReader
from laurelwind.events import log_event
from laurelwind.metrics import Metrics
from laurelwind.settings import Settings
from laurelwind.state.evidence import EvidenceTable
from laurelwind.state.load import LoadTable
from laurelwind.state.members import Member
from laurelwind.state.sessions import SessionSigner
from laurelwind.tracing import Tracing
from laurelwind.transport.admin_application import (
    AdminDependencies,
    build_admin_application,
)
from laurelwind.transport.application import Application
from laurelwind.transport.caller_handlers import (
    CallerAuthenticator,
    ChatHandlers,
)
from laurelwind.transport.draining import Drain, DrainOutcome
from laurelwind.transport.entry_handlers import EntryHandlers
from laurelwind.transport.external_clients import ExternalClients
from laurelwind.transport.limits.account import CallerAccount, EndReason
from laurelwind.transport.server import HttpServer
from laurelwind.transport.services import ServiceHandlers
from laurelwind.transport.stop_times import MAX_REFUSAL_SHARE, plan_stop
from laurelwind.transport.timed_protocol import (
    ConnectionPolicy,
    limit_head_times,
)

# Time that is reserved for charges at the end of a stop, as a share of its
# limit, and its maximum in seconds.
CHARGES_SHARE: Final = 0.25
MAX_CHARGES_S: Final = 10.0


@frozen(kw_only=True)
class RunningDaemon:
    """Identity and addresses of a running daemon, as in its ready file.

    :ivar name: name of the daemon, unique in the fleet.
    :ivar zone: availability zone.
    :ivar region: region, or an empty string.
    :ivar process_id: operating-system process id.
    :ivar caller_address: ``host:port`` that serves callers.
    :ivar admin_address: ``host:port`` of the administration API and metrics.
    :ivar peer_address: ``host:port`` that serves other daemons.
    """

    name: str
    zone: str
    region: str
    process_id: int
    caller_address: str
    admin_address: str
    peer_address: str


class Daemon:
    """A router daemon with all its components.

    :param settings: settings of the daemon.
    """

    def __init__(self, *, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.tracing = Tracing(
            name=settings.daemon.name,
            otlp_url=settings.tracing.otlp_url,
            capacity=settings.tracing.capacity,
        )
        self.external_clients = ExternalClients(
            settings=settings, metrics=self.metrics, tracing=self.tracing
        )
        account = CallerAccount(record_end=_record_end)
        self.caller_server = HttpServer(
            address=settings.daemon.caller_address,
            tls=settings.tls,
            policy=limit_head_times(settings.limits.header_timeout_s, account),
        )
        self.admin_server = HttpServer(
            address=settings.daemon.admin_address,
            tls=settings.tls,
            policy=ConnectionPolicy(account=account),
        )
        self.follower = ConfigurationFollower(log=self.external_clients.log)
        self.authenticator = CallerAuthenticator(follower=self.follower)
        self.budget = RetryBudget()
        self.loads = LoadTable()
        self.router = Router(zone=settings.daemon.zone, loads=self.loads)
        self.evidence = EvidenceTable(daemon=settings.daemon.name)
        self.fleet = self._build_fleet_coordinator()
        self.planner = CascadePlanner(
            evidence=self.evidence,
            is_quarantined=self.fleet.quarantine.is_quarantined,
        )
        self.follower.add_listener(
            lambda current: self.router.discard_removed_endpoints(
                current.document
            )
        )
        self.dispatcher = self._build_dispatcher()
        self.caller_application = self._build_caller_application()

    async def start(self, group: TaskGroup) -> None:
        """Start every component; callers are served once this returns.

        :param group: task group that runs the daemon's background tasks.
        """
        self.external_clients.start(group)
        self.fleet.start(group)
        self.dispatcher.start(group)
        await self.admin_server.start(group, self._build_admin_application())
        await self.caller_server.start(group, self.caller_application)
        log_event('daemon_started', name=self.settings.daemon.name)

    async def close(self) -> None:
        """Stop gracefully: drain requests up to the time-out, then close."""
        log_event('daemon_stopping', name=self.settings.daemon.name)
        limit_s = self.settings.limits.stop_timeout_s
        charges_s = min(limit_s * CHARGES_SHARE, MAX_CHARGES_S)
        stop_at = anyio.current_time() + limit_s
        outcome = await self._drain(limit_s - charges_s)
        remaining_s = stop_at - anyio.current_time()
        with anyio.move_on_after(max(remaining_s, charges_s)):
            await self.fleet.close()
        await self.caller_server.force_close()
        await self.admin_server.close()
        await self.external_clients.close()
        self.tracing.close()
        log_event(
            'daemon_stopped',
            name=self.settings.daemon.name,
            **asdict(outcome),
        )

    async def _drain(self, limit_s: float) -> DrainOutcome:
        times = plan_stop(limit_s, refusal_s=0, listening_s=0)
        drain = Drain(
            application=self.caller_application,
            servers=(self.caller_server,),
            times=times,
        )
        with anyio.move_on_after(times.error_s * MAX_REFUSAL_SHARE):
            await self.fleet.membership.leave()
        return await drain.run()

    def describe(self) -> RunningDaemon:
        """Return the identity and addresses of this daemon."""
        local_member = self.fleet.roster.local_member
        return RunningDaemon(
            name=local_member.name,
            zone=local_member.zone,
            region=local_member.region,
            process_id=os.getpid(),
            caller_address=local_member.caller_address,
            admin_address=self.admin_server.address,
            peer_address=local_member.peer_address,
        )

    def _build_fleet_coordinator(self) -> FleetCoordinator:
        daemon = self.settings.daemon
        return FleetCoordinator(
            local_member=Member(
                name=daemon.name,
                zone=daemon.zone,
                region=daemon.region,
                caller_address=self.caller_server.address,
                peer_address=self.external_clients.peers.address,
            ),
            state=LocalStateSources(
                read_load=lambda: self.authenticator.in_flight,
                read_configuration=lambda: self.follower.status.offset,
            ),
            dependencies=FleetDependencies(
                log=self.external_clients.log,
                instances=self.external_clients.instances,
                peers=self.external_clients.peers,
                metrics=self.metrics,
                evidence=self.evidence,
                follower=self.follower,
            ),
            append_interval_s=self.settings.limits.append_interval_s,
        )

    def _build_caller_application(self) -> Application:
        chat = ChatHandlers(
            authenticator=self.authenticator,
            dispatcher=self.dispatcher,
            planner=self.planner,
            signer=SessionSigner(keys=self.settings.keys.sessions),
        )
        services = ServiceHandlers(
            authenticator=self.authenticator,
            caller=self._build_service_caller(),
        )
        entries = EntryHandlers(chooser=EntryChooser(roster=self.fleet.roster))
        return Application(
            resources=(
                *chat.list_resources(),
                *services.list_resources(),
                *entries.list_resources(),
            ),
            metrics=self.metrics,
            tracing=self.tracing,
        )

    def _build_dispatcher(self) -> ChatDispatcher:
        fetcher = AnswerFetcher(
            dependencies=FetcherDependencies(
                follower=self.follower,
                router=self.router,
                engine=self.external_clients.engine,
                calls=self.fleet.calls,
                is_quarantined=self.fleet.quarantine.is_quarantined,
                budget=self.budget,
                metrics=self.metrics,
                tracing=self.tracing,
            )
        )
        return ChatDispatcher(
            dependencies=DispatchDependencies(
                follower=self.follower,
                fetcher=fetcher,
                ratings=self.external_clients.ratings,
                ledger=self.fleet.ledger,
                quarantine=self.fleet.quarantine,
                planner=self.planner,
                budget=self.budget,
                metrics=self.metrics,
                tracing=self.tracing,
            )
        )

    def _build_service_caller(self) -> ServiceCaller:
        return ServiceCaller(
            dependencies=ServiceCallerDependencies(
                follower=self.follower,
                router=self.router,
                client=self.external_clients.service,
                ledger=self.fleet.ledger,
                claims=self.fleet.claims,
                budget=self.budget,
                calls=self.fleet.calls,
                tracing=self.tracing,
            )
        )

    def _build_admin_application(self) -> Application:
        return build_admin_application(
            AdminDependencies(
                operator_keys=self.settings.keys.operators,
                follower=self.follower,
                fleet=self.fleet,
                usage=UsageReader(log=self.external_clients.log),
                evidence=self.evidence,
                loads=self.loads,
                metrics=self.metrics,
                tracing=self.tracing,
            )
        )


def _record_end(reason: EndReason, details: dict[str, Any]) -> None:
    log_event('connection_ended', reason=reason, **details)
