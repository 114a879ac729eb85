"""Fleet coordination of a daemon: members, claims, charges, configuration."""

from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.claims import ClaimClient
from laurelwind.coordination.configuration_distribution import (
    ConfigurationDistributor,
    is_reader,
)
from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.coordination.ledger import Ledger, LedgerDependencies
from laurelwind.coordination.membership import Membership
from laurelwind.coordination.partition_owners import PartitionOwners
from laurelwind.coordination.quarantine import (
    Quarantine,
    QuarantineDependencies,
)
from laurelwind.coordination.roster import LocalStateSources, Roster
from laurelwind.coordination.suspects.calls import CallScreen
from laurelwind.coordination.suspects.gossip import CrashGossip
from laurelwind.coordination.suspects.peer_channel import PeerChannel
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.events import EventLog
from laurelwind.metrics import Metrics
from laurelwind.protocol.peer_network import PeerNetwork
from laurelwind.protocol.platform import InstanceList, Log
from laurelwind.state.evidence import EvidenceTable
from laurelwind.state.members import Member


@frozen(kw_only=True)
class FleetDependencies:
    """Collaborators of a daemon's fleet coordination."""

    log: Log
    instances: InstanceList
    peers: PeerNetwork
    metrics: Metrics
    evidence: EvidenceTable
    follower: ConfigurationFollower


class FleetCoordinator:
    """Wires together the components that coordinate with other daemons.

    :param local_member: member entry of this daemon.
    :param state: sources of its load and configuration offset.
    :param dependencies: collaborators of the components.
    :param append_interval_s: minimum interval between batches of charges, in
        seconds.
    """

    def __init__(
        self,
        *,
        local_member: Member,
        state: LocalStateSources,
        dependencies: FleetDependencies,
        append_interval_s: float,
    ) -> None:
        self._peers = dependencies.peers
        self._follower = dependencies.follower
        self.roster = Roster(local_member=local_member, state=state)
        self.membership = Membership(
            roster=self.roster,
            peers=dependencies.peers,
            instances=dependencies.instances,
        )
        self.owners = PartitionOwners(
            roster=self.roster,
            log=dependencies.log,
            metrics=dependencies.metrics,
        )
        self.claims = ClaimClient(
            roster=self.roster,
            membership=self.membership,
            peers=dependencies.peers,
            owners=self.owners,
        )
        self.ledger = Ledger(
            dependencies=LedgerDependencies(
                log=dependencies.log,
                roster=self.roster,
                peers=dependencies.peers,
                metrics=dependencies.metrics,
            ),
            min_interval_s=append_interval_s,
        )
        self.quarantine = Quarantine(
            dependencies=QuarantineDependencies(
                log=dependencies.log,
                roster=self.roster,
                peers=dependencies.peers,
                follower=dependencies.follower,
                evidence=dependencies.evidence,
                metrics=dependencies.metrics,
            )
        )
        self.screen = SuspectScreen(
            log=EventLog(), count_members=lambda: len(self.roster)
        )
        self.calls = CallScreen(screen=self.screen)
        self._channel = PeerChannel(peers=dependencies.peers)
        self.gossip = CrashGossip(
            screen=self.screen,
            channel=self._channel,
            local_address=local_member.peer_address,
            list_peers=self._list_peers,
        )
        self.distributor = ConfigurationDistributor(
            roster=self.roster,
            membership=self.membership,
            peers=dependencies.peers,
            follower=dependencies.follower,
        )

    def start(self, group: TaskGroup) -> None:
        """Register the peer message handlers and start the components.

        :param group: task group of the daemon.
        """
        self._peers.register_handlers(
            {
                **self.membership.get_handlers(),
                **self.owners.get_handlers(),
                **self.ledger.get_handlers(),
                **self.distributor.get_handlers(),
                **self.quarantine.get_handlers(),
                **self._channel.get_handlers(),
            }
        )
        self._follower.set_read_condition(
            should_read=lambda: is_reader(self.roster),
            count_members=lambda: len(self.roster),
        )
        for component in (
            self.membership,
            self.owners,
            self.claims,
            self.ledger,
            self.distributor,
            self.quarantine,
            self._channel,
            self.gossip,
        ):
            component.start(group)
        group.start_soon(self._follower.run)

    def _list_peers(self) -> Sequence[str]:
        return [member.peer_address for member in self.roster.list_others()]

    async def close(self) -> None:
        """Wait until the charges and outcomes of this daemon are recorded."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.claims.close)
            await self.ledger.close()
