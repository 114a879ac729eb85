"""Distributes configurations among daemons so that only a few read the log.

Two daemons of each availability zone read the log continuously.  A daemon
that adopts a newer configuration notifies a few others, which fetch it; the
offsets carried by probes compensate for lost notices.
"""

import random
from collections.abc import Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup

from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.coordination.membership import Membership
from laurelwind.coordination.roster import Roster
from laurelwind.errors import LaurelwindError, PlatformError
from laurelwind.protocol.messages import (
    ConfigurationAnswer,
    ConfigurationAsk,
    ConfigurationNotice,
    Done,
    Message,
)
from laurelwind.protocol.peer_network import MessageHandler, PeerNetwork
from laurelwind.state.configuration import Configuration
from laurelwind.state.members import Member, rank_members
from laurelwind.state.validation import read_document

_READERS_PER_ZONE: Final = 2
_SAME_ZONE_NOTICES: Final = 3
_OTHER_ZONE_NOTICES: Final = 1
_FETCH_TIMEOUT_S: Final = 2.0
_NOTICE_TIMEOUT_S: Final = 1.0
_SNAPSHOT_INTERVAL_S: Final = 600.0
_RETRY_INTERVAL_S: Final = 0.2
_SNAPSHOT_SUBJECT: Final = 'configuration-snapshot'


def is_reader(roster: Roster) -> bool:
    """Return whether this daemon should read the log continuously.

    :param roster: this daemon's view of the members.
    """
    local_member = roster.local_member
    same_zone = [
        member
        for member in roster.list_usable()
        if member.zone == local_member.zone
    ]
    readers = rank_members(same_zone, 'configuration-reader', _READERS_PER_ZONE)
    return any(reader.name == local_member.name for reader in readers)


class ConfigurationDistributor:
    """Notifies peers of newer configurations, and fetches them from peers.

    :param roster: this daemon's view of the members.
    :param membership: source of messages received from members.
    :param peers: client for requests to other daemons.
    :param follower: holds the configuration in force.
    :param seed: seed of the choice of receivers, for reproducible runs.
    """

    def __init__(
        self,
        *,
        roster: Roster,
        membership: Membership,
        peers: PeerNetwork,
        follower: ConfigurationFollower,
        seed: int | None = None,
    ) -> None:
        self._roster = roster
        self._membership = membership
        self._peers = peers
        self._follower = follower
        self._random = random.Random(seed)
        self._task_group: TaskGroup | None = None
        self._fetching_offset = -1

    def get_handlers(self) -> dict[type[Message], MessageHandler]:
        """Return the handlers of configuration messages by message type."""
        return {
            ConfigurationAsk: self._handle_ask,
            ConfigurationNotice: self._handle_notice,
        }

    def start(self, group: TaskGroup) -> None:
        """Start the background tasks.

        :param group: task group of the daemon.
        """
        self._task_group = group
        self._follower.add_listener(self._notify_others)
        self._membership.add_message_listener(self._fetch_if_newer)
        group.start_soon(self._fetch_initial)
        group.start_soon(self._snapshot_periodically)

    async def fetch_from(self, member: Member) -> bool:
        """Fetch a newer configuration from a member.

        :param member: member to fetch from.
        :returns: whether a newer configuration was adopted.
        """
        message = ConfigurationAsk(newer_than=self._follower.status.offset)
        try:
            answer = await self._peers.send_request(
                member.peer_address, message, _FETCH_TIMEOUT_S
            )
        except LaurelwindError:
            return False
        if not isinstance(answer, ConfigurationAnswer) or answer.offset < 0:
            return False
        return self._follower.adopt(
            Configuration(
                offset=answer.offset,
                author=answer.author,
                document=read_document(answer.document),
                raw=answer.document,
            )
        )

    async def _fetch_initial(self) -> None:
        """Fetch from peers until a configuration is in force.

        This lets a daemon start while the log is unavailable.
        """
        while not self._follower.is_ready:
            others = list(self._roster.list_others())
            self._random.shuffle(others)
            for member in others[:_SAME_ZONE_NOTICES]:
                await self.fetch_from(member)
            await anyio.sleep(_RETRY_INTERVAL_S)

    async def _snapshot_periodically(self) -> None:
        while True:
            await anyio.sleep(_SNAPSHOT_INTERVAL_S)
            usable = self._roster.list_usable()
            writer = rank_members(usable, _SNAPSHOT_SUBJECT, 1)
            if writer and writer[0].name == self._roster.name:
                await self._append_snapshot()

    async def _append_snapshot(self) -> None:
        try:
            await self._follower.refresh_snapshot()
        except PlatformError:
            return

    def _notify_others(self, configuration: Configuration) -> None:
        if self._task_group is None:
            return
        notice = ConfigurationNotice(
            offset=configuration.offset, sender=self._roster.local_member
        )
        for member in self._choose_receivers():
            self._task_group.start_soon(
                self._peers.notify,
                member.peer_address,
                notice,
                _NOTICE_TIMEOUT_S,
            )

    def _choose_receivers(self) -> Sequence[Member]:
        zone = self._roster.local_member.zone
        others = self._roster.list_others()
        same_zone = [member for member in others if member.zone == zone]
        other_zones = [member for member in others if member.zone != zone]
        return (
            *self._random.sample(
                same_zone, min(_SAME_ZONE_NOTICES, len(same_zone))
            ),
            *self._random.sample(
                other_zones, min(_OTHER_ZONE_NOTICES, len(other_zones))
            ),
        )

    def _fetch_if_newer(self, member: Member) -> None:
        """Fetch a newer configuration, unless a fetch of it is in progress."""
        newest = max(self._follower.status.offset, self._fetching_offset)
        if member.configuration <= newest or self._task_group is None:
            return
        self._fetching_offset = member.configuration
        self._task_group.start_soon(self._fetch_announced, member)

    async def _fetch_announced(self, member: Member) -> None:
        try:
            await self.fetch_from(member)
        finally:
            self._fetching_offset = -1

    async def _handle_ask(self, message: Message) -> Message:
        if not isinstance(message, ConfigurationAsk):
            raise TypeError(type(message))
        if self._follower.status.offset <= message.newer_than:
            return ConfigurationAnswer()
        current = self._follower.current
        return ConfigurationAnswer(
            offset=current.offset,
            author=current.author,
            document=current.raw,
        )

    async def _handle_notice(self, message: Message) -> Message:
        if not isinstance(message, ConfigurationNotice):
            raise TypeError(type(message))
        self._fetch_if_newer(message.sender)
        return Done()
