"""Stores batches of charges while the log is unavailable.

A batch is durable once daemons in two other availability zones hold a copy.
Its origin appends it when the log is available again; the copy holders
append it if the origin is no longer usable.
"""

import zlib
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import anyio
from attrs import define, field, frozen

from laurelwind.coordination.roster import Roster
from laurelwind.errors import LaurelwindError
from laurelwind.protocol.messages import (
    ChargesForget,
    ChargesKeep,
    Done,
    Message,
)
from laurelwind.protocol.peer_network import MessageHandler, PeerNetwork
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.members import Member, group_by_zone, rank_members
from laurelwind.state.records import ChargesRecord, dump_record, load_record

CHARGES_LIMIT: Final = 400_000
_COPY_COUNT: Final = 2
_COPY_TIMEOUT_S: Final = 1.0
_ORPHAN_TIMEOUT_S: Final = 5.0

AppendBatch = Callable[[ChargesRecord], Awaitable[bool]]


@define(kw_only=True)
class _StoredBatch:
    """Batch stored until it is in the log.

    :ivar batch_id: unique identifier of the batch.
    :ivar packed: the batch, compressed to save memory, since a log outage may
        last an hour.
    :ivar count: number of charges in the batch.
    :ivar origin: name of the daemon that created the batch.
    :ivar stored_at: monotonic time in seconds.
    :ivar holders: peers that hold a copy; empty for batches of peers.
    """

    batch_id: str
    packed: bytes
    count: int
    origin: str
    stored_at: float = field(factory=read_monotonic_clock)
    holders: Sequence[Member] = field(factory=tuple)

    @classmethod
    def pack(
        cls,
        batch: ChargesRecord,
        origin: str,
        holders: Sequence[Member] = (),
    ) -> '_StoredBatch':
        """Compress a batch for storage.

        :param batch: charges to store.
        :param origin: name of the daemon that created the batch.
        :param holders: peers that hold a copy.
        """
        return cls(
            batch_id=batch.batch_id,
            packed=zlib.compress(dump_record(batch)),
            count=len(batch.charges),
            origin=origin,
            holders=holders,
        )

    def unpack(self) -> ChargesRecord:
        """Decompress the batch."""
        record = load_record(zlib.decompress(self.packed))
        if not isinstance(record, ChargesRecord):
            raise TypeError(type(record))
        return record


@frozen(kw_only=True)
class OutboxDependencies:
    """Collaborators of an outbox.

    :ivar append: appends a batch and returns whether the log accepted it.
    """

    roster: Roster
    peers: PeerNetwork
    append: AppendBatch


class Outbox:
    """Batches not in the log yet: local ones and copies for peers.

    :param dependencies: collaborators of the outbox.
    """

    def __init__(self, *, dependencies: OutboxDependencies) -> None:
        self._roster = dependencies.roster
        self._peers = dependencies.peers
        self._append = dependencies.append
        self._stored_batches: dict[str, _StoredBatch] = {}
        self._charges = 0

    @property
    def charges(self) -> int:
        """Number of charges stored here."""
        return self._charges

    @property
    def is_empty(self) -> bool:
        """Whether no batch is stored here."""
        return not self._stored_batches

    def get_handlers(self) -> dict[type[Message], MessageHandler]:
        """Return the handlers of copy messages by message type."""
        return {
            ChargesKeep: self._handle_keep,
            ChargesForget: self._handle_forget,
        }

    async def replicate(self, batch: ChargesRecord) -> bool:
        """Copy a batch to daemons in two other zones.

        :param batch: charges to copy.
        :returns: whether every chosen daemon stored a copy.
        """
        holders = self._choose_holders()
        acknowledged: list[Member] = []
        async with anyio.create_task_group() as group:
            for holder in holders:
                message = ChargesKeep(batch=batch, origin=self._roster.name)
                group.start_soon(
                    self._request_copy, holder, message, acknowledged
                )
        if not holders or len(acknowledged) < len(holders):
            return False
        self._store(
            _StoredBatch.pack(batch, self._roster.name, tuple(acknowledged))
        )
        return True

    async def drain(self) -> None:
        """Append stored batches, oldest first, until an append fails."""
        for stored_batch in tuple(self._stored_batches.values()):
            if self._is_due(stored_batch):
                if not await self._append(stored_batch.unpack()):
                    return
                await self._remove_with_copies(stored_batch)

    async def hand_over(self) -> bool:
        """Copy every batch that has no copy yet, before this daemon stops.

        :returns: whether every batch has been copied.
        """
        for stored_batch in tuple(self._stored_batches.values()):
            if stored_batch.holders:
                continue
            self._remove(stored_batch.batch_id)
            if not await self.replicate(stored_batch.unpack()):
                self._store(stored_batch)
                return False
        return True

    async def _request_copy(
        self,
        holder: Member,
        message: ChargesKeep,
        acknowledged: list[Member],
    ) -> None:
        try:
            answer = await self._peers.send_request(
                holder.peer_address, message, _COPY_TIMEOUT_S
            )
        except LaurelwindError:
            return
        if isinstance(answer, Done) and answer.is_safe:
            acknowledged.append(holder)

    def _choose_holders(self) -> Sequence[Member]:
        """Choose one daemon in each of two other availability zones."""
        local_member = self._roster.local_member
        others = self._roster.list_others()
        zones = group_by_zone(
            [member for member in others if member.zone != local_member.zone]
        )
        nearest = sorted(
            zones,
            key=lambda zone: (
                zones[zone][0].region != local_member.region,
                zone,
            ),
        )
        return [
            rank_members(zones[zone], local_member.name, 1)[0]
            for zone in nearest[:_COPY_COUNT]
        ]

    def _store(self, stored_batch: _StoredBatch) -> None:
        if stored_batch.batch_id not in self._stored_batches:
            self._stored_batches[stored_batch.batch_id] = stored_batch
            self._charges += stored_batch.count

    async def _remove_with_copies(self, stored_batch: _StoredBatch) -> None:
        self._remove(stored_batch.batch_id)
        message = ChargesForget(batch_ids=(stored_batch.batch_id,))
        for holder in stored_batch.holders:
            await self._peers.notify(
                holder.peer_address, message, _COPY_TIMEOUT_S
            )

    def _remove(self, batch_id: str) -> None:
        stored_batch = self._stored_batches.pop(batch_id, None)
        if stored_batch is not None:
            self._charges -= stored_batch.count

    def _is_due(self, stored_batch: _StoredBatch) -> bool:
        """Return whether this daemon should append a stored batch now."""
        if stored_batch.origin == self._roster.name:
            return True
        if read_monotonic_clock() - stored_batch.stored_at < _ORPHAN_TIMEOUT_S:
            return False
        usable = self._roster.list_others()
        return all(member.name != stored_batch.origin for member in usable)

    async def _handle_keep(self, message: Message) -> Message:
        if not isinstance(message, ChargesKeep):
            raise TypeError(type(message))
        if self._charges >= CHARGES_LIMIT:
            return Done(is_safe=False)
        self._store(_StoredBatch.pack(message.batch, message.origin))
        return Done()

    async def _handle_forget(self, message: Message) -> Message:
        if not isinstance(message, ChargesForget):
            raise TypeError(type(message))
        for batch_id in message.batch_ids:
            self._remove(batch_id)
        return Done()
