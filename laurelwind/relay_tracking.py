"""Wires what a relay daemon knows of the store and of its peers."""

from attrs import field, frozen

from laurelwind.coordination.members import (
    FleetMembership,
    MembershipDependencies,
)
from laurelwind.coordination.rollouts.registry import RolloutRegistry
from laurelwind.coordination.topics.budgets import TopicBounds, TopicBudgets
from laurelwind.coordination.topics.copies import (
    TopicCopies,
    build_topic_copies,
)
from laurelwind.coordination.topics.peer_reads import PeerReadDependencies
from laurelwind.coordination.topics.peer_store import PeerReadingStore
from laurelwind.coordination.topics.readers import ReaderHealth
from laurelwind.coordination.tracker import Tracker, TrackerDependencies
from laurelwind.coordination.zones.evacuations import (
    EvacuationDependencies,
    Evacuations,
)
from laurelwind.decisions import DecisionLog
from laurelwind.protocol.documents import DocumentCodec
from laurelwind.protocol.exchanges import HeaderCodec
from laurelwind.protocol.keyed_store import (
    KeyedStore,
    MemberGroup,
    PeerTopics,
    Topic,
)
from laurelwind.protocol.platform import ListedInstance
from laurelwind.relay_settings import BoundSettings, RelaySettings
from laurelwind.state.directory import EndpointDirectory
from laurelwind.state.evacuated_zones import EvacuatedZones
from laurelwind.state.leases import FreshnessLease


@frozen(kw_only=True)
class PlatformAdapters:
    """Adapters of a relay daemon to the platform that it runs on.

    :ivar store: keyed topics of the platform's store.
    :ivar group: membership of the live daemons.
    :ivar documents: codec of the store's documents.
    :ivar headers: codec of the request and answer headers.
    """

    store: KeyedStore
    group: MemberGroup
    documents: DocumentCodec
    headers: HeaderCodec


@frozen(kw_only=True)
class TrackedState:
    """State that is kept in sync with the store.

    :ivar lease: freshness lease of the routing table.
    :ivar directory: directory of the endpoints.
    :ivar rollouts: state of the roll-outs.
    :ivar zones: the evacuated zones.
    """

    lease: FreshnessLease
    directory: EndpointDirectory
    rollouts: RolloutRegistry
    zones: EvacuatedZones = field(factory=EvacuatedZones)


@frozen(kw_only=True)
class FleetTracking:
    """Components that keep the state in sync.

    :ivar copies: copies of the topics that are served to peers.
    :ivar membership: the live daemons.
    :ivar tracker: readers of the topics.
    :ivar evacuations: applies the evacuations of zones.
    """

    copies: TopicCopies
    membership: FleetMembership
    tracker: Tracker
    evacuations: Evacuations


def build_tracking(
    *,
    local_instance: ListedInstance,
    adapters: PlatformAdapters,
    peers: PeerTopics,
    state: TrackedState,
    budgets: TopicBudgets,
    log: DecisionLog,
    contact_s: float = 0,
) -> FleetTracking:
    """Build the components that keep the state in sync.

    :param local_instance: member record of the local daemon.
    :param adapters: adapters to the platform.
    :param peers: client for the topic copies of peers.
    :param state: the state.
    :param budgets: budget for the age of each topic.
    :param log: the decision log.
    :param contact_s: seconds after which a daemon that is gone is no member;
        zero if unknown.
    """
    clock = state.lease.read_clock
    copies = build_topic_copies(budgets, clock)
    health = ReaderHealth(log=log, clock=clock)
    store = PeerReadingStore(
        local_instance=local_instance,
        store=adapters.store,
        dependencies=PeerReadDependencies(
            peers=peers,
            list_members=lambda: membership.ordered,
            budgets=budgets,
            log=log,
            clock=clock,
        ),
    )
    membership = FleetMembership(
        local_instance=local_instance,
        dependencies=MembershipDependencies(
            group=adapters.group,
            store=store,
            copy=copies[Topic.MEMBERS],
            health=health,
            log=log,
        ),
        clock=clock,
        contact_s=contact_s,
    )
    evacuations = Evacuations(
        dependencies=EvacuationDependencies(
            zones=state.zones,
            documents=adapters.documents,
            directory=state.directory,
            log=log,
        )
    )
    tracker = Tracker(
        local_instance=local_instance,
        dependencies=TrackerDependencies(
            store=store,
            membership=membership,
            copies=copies,
            budgets=budgets,
            health=health,
            documents=adapters.documents,
            lease=state.lease,
            directory=state.directory,
            rollouts=state.rollouts,
            evacuations=evacuations,
            log=log,
        ),
    )
    return FleetTracking(
        copies=copies,
        membership=membership,
        tracker=tracker,
        evacuations=evacuations,
    )


def build_local_member(settings: RelaySettings) -> ListedInstance:
    """Build the membership entry of a daemon.

    :param settings: settings of the daemon.
    """
    return ListedInstance(
        name=settings.listen.callers,
        zone=settings.daemon.zone,
        caller_address=settings.listen.callers,
        peer_address=settings.listen.peers,
    )


def build_zones(bounds: BoundSettings) -> EvacuatedZones:
    """Build the evacuated zones; without a bound, none is ever evacuated.

    :param bounds: bounds of the settings.
    """
    return EvacuatedZones(is_enabled=bool(bounds.evacuate_s))


def build_topic_bounds(bounds: BoundSettings) -> TopicBounds:
    """Build the bounds from which the budgets of the topics are computed.

    :param bounds: bounds of the settings.
    """
    evacuate_s = bounds.evacuate_s or bounds.apply_s
    return TopicBounds(
        # Tables and evacuations are records of one topic.
        apply_s=min(bounds.apply_s, evacuate_s),
        drain_s=bounds.drain_s,
    )
