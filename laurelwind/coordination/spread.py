"""Spreads configurations among daemons, so that only a few read the log.

Two daemons of each availability zone read the log all the time.  Whoever
takes a newer configuration tells a few others, who ask for it; offsets on
probes make up for every notice that is lost.
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
from laurelwind.protocol.peers import Answerer, PeerNetwork
from laurelwind.state.configuration import Configuration
from laurelwind.state.members import Member, rank_members
from laurelwind.state.validation import read_document

_READERS_PER_ZONE: Final = 2
_NEAR_NOTICES: Final = 3
_FAR_NOTICES: Final = 1
_ASK_TIMEOUT_S: Final = 2.0
_NOTICE_TIMEOUT_S: Final = 1.0
_SNAPSHOT_S: Final = 600.0
_RETRY_S: Final = 0.2
_SNAPSHOT: Final = 'configuration-snapshot'


def is_reader(roster: Roster) -> bool:
    """Tell whether this daemon should read the log all the time.

    :param roster: the members as this daemon sees them.
    """
    own = roster.own
    near = [
        member for member in roster.list_usable() if member.zone == own.zone
    ]
    readers = rank_members(near, 'configuration-reader', _READERS_PER_ZONE)
    return any(reader.name == own.name for reader in readers)


class ConfigurationSpreader:
    """Tells others of newer configurations, and asks for them.

    :param roster: the members as this daemon sees them.
    :param membership: tells when a member was heard.
    :param peers: the way to other daemons.
    :param follower: keeps the configuration in force.
    :param seed: makes the choice of receivers repeatable.
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
        self._group: TaskGroup | None = None
        self._asking_for = -1

    def answerers(self) -> dict[type[Message], Answerer]:
        """Give the functions that answer the messages about configurations."""
        return {
            ConfigurationAsk: self._answer_ask,
            ConfigurationNotice: self._answer_notice,
        }

    def start(self, group: TaskGroup) -> None:
        """Begin to spread.

        :param group: the daemon's tasks.
        """
        self._group = group
        self._follower.add_listener(self._tell_others)
        self._membership.add_message_listener(self._compare)
        group.start_soon(self._find_first)
        group.start_soon(self._snapshot_forever)

    async def ask(self, member: Member) -> bool:
        """Ask a member for a newer configuration.

        :param member: the member.
        :returns: whether one was taken.
        """
        message = ConfigurationAsk(newer_than=self._follower.status.offset)
        try:
            answer = await self._peers.ask(
                member.peer_address, message, _ASK_TIMEOUT_S
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

    async def _find_first(self) -> None:
        """Ask around until a configuration is in force; the log may be down."""
        while not self._follower.is_ready:
            others = list(self._roster.list_others())
            self._random.shuffle(others)
            for member in others[:_NEAR_NOTICES]:
                await self.ask(member)
            await anyio.sleep(_RETRY_S)

    async def _snapshot_forever(self) -> None:
        while True:
            await anyio.sleep(_SNAPSHOT_S)
            usable = self._roster.list_usable()
            keeper = rank_members(usable, _SNAPSHOT, 1)
            if keeper and keeper[0].name == self._roster.name:
                await self._snapshot()

    async def _snapshot(self) -> None:
        try:
            await self._follower.refresh_snapshot()
        except PlatformError:
            return

    def _tell_others(self, configuration: Configuration) -> None:
        if self._group is None:
            return
        notice = ConfigurationNotice(
            offset=configuration.offset, sender=self._roster.own
        )
        for member in self._choose_receivers():
            self._group.start_soon(
                self._peers.tell,
                member.peer_address,
                notice,
                _NOTICE_TIMEOUT_S,
            )

    def _choose_receivers(self) -> Sequence[Member]:
        zone = self._roster.own.zone
        others = self._roster.list_others()
        near = [member for member in others if member.zone == zone]
        far = [member for member in others if member.zone != zone]
        return (
            *self._random.sample(near, min(_NEAR_NOTICES, len(near))),
            *self._random.sample(far, min(_FAR_NOTICES, len(far))),
        )

    def _compare(self, member: Member) -> None:
        """Ask a member whose configuration is newer, once at a time."""
        newest = max(self._follower.status.offset, self._asking_for)
        if member.configuration <= newest or self._group is None:
            return
        self._asking_for = member.configuration
        self._group.start_soon(self._fetch, member)

    async def _fetch(self, member: Member) -> None:
        try:
            await self.ask(member)
        finally:
            self._asking_for = -1

    async def _answer_ask(self, message: Message) -> Message:
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

    async def _answer_notice(self, message: Message) -> Message:
        if not isinstance(message, ConfigurationNotice):
            raise TypeError(type(message))
        self._compare(message.sender)
        return Done()
