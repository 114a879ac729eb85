"""Claim partitions handled by this daemon."""

import time
from collections.abc import Sequence
from typing import Final

from anyio.abc import TaskGroup

from laurelwind.coordination.partition import PartitionOwner, name_stream
from laurelwind.coordination.roster import Roster
from laurelwind.metrics import Metrics
from laurelwind.protocol.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimVerdict,
    Done,
    Message,
    OutcomeReport,
    ReleaseReport,
)
from laurelwind.protocol.peer_network import MessageHandler
from laurelwind.protocol.platform import Log
from laurelwind.state.members import Member, rank_members
from laurelwind.state.records import ReleaseRecord

PARTITIONS: Final = 4


def choose_owner(roster: Roster, partition: int) -> Member | None:
    """Choose the daemon that should own a partition.

    :param roster: this daemon's view of the members.
    :param partition: number of the partition.
    :returns: ``None`` if no member is usable.
    """
    usable = roster.list_usable()
    preferred = rank_members(usable, name_stream(partition), 1)
    return preferred[0] if preferred else None


class PartitionOwners:
    """Handles claim messages for the partitions assigned to this daemon.

    Creates the :class:`PartitionOwner` of a partition on its first message.

    :param roster: this daemon's view of the members.
    :param log: the platform's log.
    :param metrics: counters of appends and claims.
    """

    def __init__(self, *, roster: Roster, log: Log, metrics: Metrics) -> None:
        self._roster = roster
        self._log = log
        self._metrics = metrics
        self._owners_by_partition: dict[int, PartitionOwner] = {}
        self._task_group: TaskGroup | None = None

    def start(self, group: TaskGroup) -> None:
        """Set the task group that partition owners run in.

        :param group: task group of the daemon.
        """
        self._task_group = group

    def get_handlers(self) -> dict[type[Message], MessageHandler]:
        """Return the handlers of claim messages by message type."""
        return {
            ClaimAsk: self.handle_claim,
            OutcomeReport: self.handle_outcome,
            ReleaseReport: self.handle_release,
        }

    def list_owned(self) -> Sequence[int]:
        """List the partitions whose latest epoch belongs to this daemon."""
        return sorted(
            partition
            for partition, owner in self._owners_by_partition.items()
            if owner.is_current
        )

    async def handle_claim(self, message: Message) -> Message:
        """Decide on a claim.

        :param message: a :class:`ClaimAsk`.
        """
        if not isinstance(message, ClaimAsk):
            raise TypeError(type(message))
        preferred = choose_owner(self._roster, message.partition)
        if preferred is None or preferred.name != self._roster.name:
            self._resign(message.partition)
            return ClaimAnswer(verdict=ClaimVerdict.NOT_OWNER, owner=preferred)
        owner = self._get_owner(message.partition)
        answer = await owner.claim(message)
        self._metrics.claims.labels(answer.verdict).inc()
        return answer

    async def handle_outcome(self, message: Message) -> Message:
        """Append the outcome of a claimed call to the log.

        :param message: an :class:`OutcomeReport`.
        """
        if not isinstance(message, OutcomeReport):
            raise TypeError(type(message))
        owner = self._get_owner(message.partition)
        return Done(is_safe=await owner.append(message.outcome))

    async def handle_release(self, message: Message) -> Message:
        """Append the release of a claim to the log.

        :param message: a :class:`ReleaseReport`.
        """
        if not isinstance(message, ReleaseReport):
            raise TypeError(type(message))
        record = ReleaseRecord(
            key=message.key,
            request_id=message.request_id,
            released_at=time.time(),
        )
        owner = self._get_owner(message.partition)
        return Done(is_safe=await owner.append(record))

    def _resign(self, partition: int) -> None:
        owner = self._owners_by_partition.get(partition)
        if owner is not None:
            owner.resign()

    def _get_owner(self, partition: int) -> PartitionOwner:
        owner = self._owners_by_partition.get(partition)
        if owner is None:
            owner = PartitionOwner(
                partition=partition,
                name=self._roster.name,
                log=self._log,
                metrics=self._metrics,
            )
            self._owners_by_partition[partition] = owner
            if self._task_group is not None:
                self._task_group.start_soon(owner.run)
        return owner
