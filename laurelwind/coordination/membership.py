"""SWIM-style failure detection: probes, relays and the platform's list.

Each round probes one member.  If it does not answer, two other members relay
a probe to it; if that fails too, it is suspected and, unless it refutes the
suspicion in time, declared dead.  Updates are piggybacked on probes and their
answers, so the traffic of each daemon is bounded whatever the fleet's size.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import evolve, frozen

from laurelwind.coordination.roster import Roster
from laurelwind.errors import PeerError, PlatformError
from laurelwind.protocol.messages import (
    Message,
    Probe,
    ProbeAnswer,
    RelayAnswer,
    RelayProbe,
)
from laurelwind.protocol.peer_network import MessageHandler, PeerNetwork
from laurelwind.protocol.platform import InstanceList, ListedInstance
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.members import Liveness, Member

_RELAY_COUNT: Final = 2
_URGENT_FANOUT: Final = 3
_URGENT_INTERVAL_S: Final = 1.0
_DEAD_RETENTION_FACTOR: Final = 30
_DEAD_PROBE_RATIO: Final = 0.1
_JITTER: Final = 0.1


@frozen(kw_only=True)
class MembershipTimings:
    """Intervals and time-outs of the membership protocol, in seconds.

    :ivar probe_interval_s: interval between probes.
    :ivar probe_timeout_s: time-out of a probe.
    :ivar suspicion_timeout_s: time in which a suspicion can be refuted.
    :ivar list_interval_s: interval between reads of the platform's list.
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.4
    suspicion_timeout_s: float = 2.0
    list_interval_s: float = 5.0


class Membership:
    """Probes the other members and answers their probes.

    :param roster: this daemon's view of the members.
    :param peers: client for requests to other daemons.
    :param instances: the platform's list of instances.
    :param timings: intervals and time-outs.
    :param seed: seed of the probe order, for reproducible runs.
    """

    def __init__(
        self,
        *,
        roster: Roster,
        peers: PeerNetwork,
        instances: InstanceList,
        timings: MembershipTimings | None = None,
        seed: int | None = None,
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._instances = instances
        self._timings = timings or MembershipTimings()
        self._random = random.Random(seed)
        self._probe_queue: list[str] = []
        self._message_listeners: list[Callable[[Member], None]] = []
        self._urgent_update = anyio.Event()
        roster.on_urgent_update = self._handle_urgent_update

    def add_message_listener(self, listener: Callable[[Member], None]) -> None:
        """Add a listener for messages received from members.

        :param listener: called with the sender's view of itself.
        """
        self._message_listeners.append(listener)

    def get_handlers(self) -> dict[type[Message], MessageHandler]:
        """Return the handlers of membership messages by message type."""
        return {Probe: self._handle_probe, RelayProbe: self._handle_relay_probe}

    def start(self, group: TaskGroup) -> None:
        """Start probing and reading the platform's list.

        :param group: task group of the daemon.
        """
        group.start_soon(self._probe_periodically)
        group.start_soon(self._read_list_periodically)
        group.start_soon(self._spread_urgent_periodically)

    async def leave(self) -> None:
        """Announce to a sample of members that this daemon is stopping."""
        self._roster.leave()
        await self._probe_sample()

    async def read_list(self) -> None:
        """Read the platform's list once.

        :raises PlatformError: if the list cannot be read.
        """
        listed = await self._instances.fetch()
        for instance in listed:
            self._apply_listed_instance(instance)
        names = frozenset(entry.name for entry in listed)
        self._roster.forget_dead(
            names, _DEAD_RETENTION_FACTOR * self._timings.suspicion_timeout_s
        )

    async def probe_once(self) -> None:
        """Probe the next member, and expire old suspicions."""
        self._roster.expire_suspicions(self._timings.suspicion_timeout_s)
        member = self._choose_target()
        if member is None:
            return
        if await self.probe(member):
            return
        if member.liveness is Liveness.ALIVE:
            await self._probe_through_relays(member)

    async def probe(self, member: Member) -> bool:
        """Probe a member immediately and exchange updates with it.

        :param member: member to probe.
        :returns: whether the member answered.
        """
        self._roster.increment_beat()
        probe = Probe(
            sender=self._roster.local_member,
            news=self._roster.select_updates(member.name),
        )
        try:
            answer = await self._peers.send_request(
                member.peer_address, probe, self._timings.probe_timeout_s
            )
        except PeerError:
            return False
        if not isinstance(answer, ProbeAnswer):
            return False
        self._apply_message(answer.sender, answer.news)
        return answer.sender.name == member.name

    async def _probe_periodically(self) -> None:
        while True:
            started = read_monotonic_clock()
            await self.probe_once()
            elapsed = read_monotonic_clock() - started
            factor = self._random.uniform(1 - _JITTER, 1 + _JITTER)
            await anyio.sleep(
                max(self._timings.probe_interval_s * factor - elapsed, 0)
            )

    def _handle_urgent_update(self) -> None:
        self._urgent_update.set()

    async def _spread_urgent_periodically(self) -> None:
        """Send urgent updates to a sample of members without waiting.

        Receivers to which an update is new forward it in the same way.
        """
        while True:
            await self._urgent_update.wait()
            self._urgent_update = anyio.Event()
            await self._probe_sample()
            await anyio.sleep(_URGENT_INTERVAL_S)

    async def _probe_sample(self) -> None:
        others = self._roster.list_others()
        count = min(_URGENT_FANOUT, len(others))
        async with anyio.create_task_group() as group:
            for member in self._random.sample(others, count):
                group.start_soon(self.probe, member)

    async def _read_list_periodically(self) -> None:
        while True:
            try:
                await self.read_list()
            except PlatformError:
                await anyio.sleep(self._timings.probe_interval_s)
                continue
            is_alone = not self._roster.list_others()
            pause = (
                self._timings.probe_interval_s
                if is_alone
                else self._timings.list_interval_s
            )
            await anyio.sleep(pause)

    async def _probe_through_relays(self, member: Member) -> None:
        others = [
            other
            for other in self._roster.list_others()
            if other.name != member.name
        ]
        relays = self._random.sample(others, min(_RELAY_COUNT, len(others)))
        reached: list[bool] = []
        async with anyio.create_task_group() as group:
            for relay in relays:
                group.start_soon(self._send_relay_probe, relay, member, reached)
        if not any(reached):
            self._roster.suspect(member.name)

    async def _send_relay_probe(
        self, relay: Member, target: Member, reached: list[bool]
    ) -> None:
        timeout = 2 * self._timings.probe_timeout_s
        try:
            answer = await self._peers.send_request(
                relay.peer_address, RelayProbe(target=target), timeout
            )
        except PeerError:
            return
        if isinstance(answer, RelayAnswer):
            reached.append(answer.reached)

    async def _handle_probe(self, message: Message) -> Message:
        if not isinstance(message, Probe):
            raise TypeError(type(message))
        self._apply_message(message.sender, message.news)
        self._roster.increment_beat()
        return ProbeAnswer(
            sender=self._roster.local_member,
            news=self._roster.select_updates(message.sender.name),
        )

    async def _handle_relay_probe(self, message: Message) -> Message:
        if not isinstance(message, RelayProbe):
            raise TypeError(type(message))
        return RelayAnswer(reached=await self.probe(message.target))

    def _apply_message(self, sender: Member, updates: Sequence[Member]) -> None:
        self._roster.merge_member(sender)
        for member in updates:
            self._roster.merge_member(member)
        for listener in self._message_listeners:
            listener(sender)

    def _apply_listed_instance(self, instance: ListedInstance) -> None:
        if instance.name == self._roster.name:
            return
        current = self._roster.get(instance.name)
        if current is None:
            self._roster.merge_member(_build_member(instance))
        elif instance.leaving and not current.is_leaving:
            self._roster.merge_member(evolve(current, is_leaving=True))

    def _choose_target(self) -> Member | None:
        dead = self._roster.dead
        if dead and self._random.random() < _DEAD_PROBE_RATIO:
            return self._roster.get(self._random.choice(dead))
        if not self._probe_queue:
            self._probe_queue = self._roster.shuffle_living(self._random)
        while self._probe_queue:
            member = self._roster.get(self._probe_queue.pop())
            if member is not None and member.liveness is not Liveness.DEAD:
                return member
        return None


def _build_member(instance: ListedInstance) -> Member:
    return Member(
        name=instance.name,
        zone=instance.zone,
        region=instance.region,
        caller_address=instance.caller_address,
        peer_address=instance.peer_address,
        is_leaving=instance.leaving,
    )
