"""Stores charges durably: in the log, or as copies in two other zones.

A few collectors append charges in batches.  A charge may be appended twice,
after a lost answer or when a copy holder considers the origin dead; every
reader of the stream deduplicates charges by request id.
"""

from collections.abc import Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from laurelwind.coordination.outbox import (
    CHARGES_LIMIT,
    Outbox,
    OutboxDependencies,
)
from laurelwind.coordination.roster import Roster
from laurelwind.errors import ErrorKind, LaurelwindError, PlatformError
from laurelwind.events import log_event
from laurelwind.metrics import Metrics
from laurelwind.protocol.messages import ChargesPut, Done, Message
from laurelwind.protocol.peer_network import MessageHandler, PeerNetwork
from laurelwind.protocol.platform import Log
from laurelwind.state.identity import create_identifier
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.members import Member, rank_members
from laurelwind.state.records import CHARGES_STREAM, Charge, ChargesRecord

_BATCH_LIMIT: Final = 400
_COLLECTOR_COUNT: Final = 8
_APPEND_TIMEOUT_S: Final = 0.5
_PUT_TIMEOUT_S: Final = 0.8
_RETRY_INTERVAL_S: Final = 0.25
_DRAIN_INTERVAL_S: Final = 0.5


@define(kw_only=True)
class _PendingCharge:
    charge: Charge
    durable: anyio.Event = field(factory=anyio.Event)


@frozen(kw_only=True)
class LedgerDependencies:
    """Collaborators of a ledger."""

    log: Log
    roster: Roster
    peers: PeerNetwork
    metrics: Metrics


class Ledger:
    """Appends the charges of this daemon and those it collects for peers.

    :param dependencies: collaborators of the ledger.
    :param min_interval_s: minimum interval between batches, in seconds.
    """

    def __init__(
        self, *, dependencies: LedgerDependencies, min_interval_s: float = 0.02
    ) -> None:
        self._dependencies = dependencies
        self._min_interval_s = min_interval_s
        self._outbox = Outbox(
            dependencies=OutboxDependencies(
                roster=dependencies.roster,
                peers=dependencies.peers,
                append=self._append,
            )
        )
        self._queue: list[_PendingCharge] = []
        self._work_available = anyio.Event()
        self._log_accepts = True

    @property
    def backlog(self) -> int:
        """Number of charges not in the log yet, including copies for peers."""
        return len(self._queue) + self._outbox.charges

    def get_handlers(self) -> dict[type[Message], MessageHandler]:
        """Return the handlers of charge messages by message type."""
        return {ChargesPut: self._handle_put, **self._outbox.get_handlers()}

    def start(self, group: TaskGroup) -> None:
        """Start the background tasks.

        :param group: task group of the daemon.
        """
        group.start_soon(self._append_queued)
        group.start_soon(self._drain_periodically)

    async def close(self) -> None:
        """Wait until every charge is in the log or in two other zones."""
        while self._queue:
            await anyio.sleep(self._min_interval_s)
        while not self._outbox.is_empty:
            await self._outbox.drain()
            if await self._outbox.hand_over():
                return
            await anyio.sleep(_RETRY_INTERVAL_S)

    def check_capacity(self) -> None:
        """Refuse billable work when no further charge can be stored.

        :raises PlatformError: if the backlog has reached its limit.
        """
        if self.backlog >= CHARGES_LIMIT:
            raise PlatformError(
                ErrorKind.LOG_UNAVAILABLE,
                'charge backlog is full; no further charge can be recorded',
            )

    async def charge(self, charge: Charge) -> None:
        """Store a charge and wait until it is durable.

        :param charge: the single charge of a request.
        """
        await self._enqueue(charge).durable.wait()

    def charge_later(self, charge: Charge) -> None:
        """Store a charge without waiting; :meth:`close` waits for it.

        :param charge: the single charge of a request.
        """
        self._enqueue(charge)

    def _enqueue(self, charge: Charge) -> _PendingCharge:
        pending = _PendingCharge(charge=charge)
        self._queue.append(pending)
        self._work_available.set()
        return pending

    async def _append_queued(self) -> None:
        while True:
            await self._work_available.wait()
            self._work_available = anyio.Event()
            while self._queue:
                batch = self._queue[:_BATCH_LIMIT]
                await self._make_durable(batch)
                self._queue = self._queue[len(batch) :]
                for pending in batch:
                    pending.durable.set()
                await anyio.sleep(self._min_interval_s)

    async def _make_durable(self, pending: Sequence[_PendingCharge]) -> None:
        batch = ChargesRecord(
            batch_id=create_identifier(),
            charges=tuple(entry.charge for entry in pending),
        )
        while True:
            if await self._collect(batch):
                return
            if await self._outbox.replicate(batch):
                return
            await anyio.sleep(_RETRY_INTERVAL_S)

    async def _collect(self, batch: ChargesRecord) -> bool:
        """Send a batch to its collector; append it locally if that fails."""
        collector = self._choose_collector()
        if collector is None:
            return await self._append(batch)
        try:
            answer = await self._dependencies.peers.send_request(
                collector.peer_address, ChargesPut(batch=batch), _PUT_TIMEOUT_S
            )
        except LaurelwindError:
            return await self._append(batch)
        return isinstance(answer, Done) and answer.is_safe

    def _choose_collector(self) -> Member | None:
        """Choose the collector; ``None`` means this daemon itself."""
        roster = self._dependencies.roster
        collectors = rank_members(
            roster.list_usable(), CHARGES_STREAM, _COLLECTOR_COUNT
        )
        is_collector = any(member.name == roster.name for member in collectors)
        if not collectors or is_collector:
            return None
        zone = roster.local_member.zone
        same_zone = [member for member in collectors if member.zone == zone]
        return rank_members(same_zone or collectors, roster.name, 1)[0]

    async def _append(self, batch: ChargesRecord) -> bool:
        started = read_monotonic_clock()
        is_appended = False
        with anyio.move_on_after(_APPEND_TIMEOUT_S):
            try:
                await self._dependencies.log.append(CHARGES_STREAM, (batch,))
            except PlatformError:
                is_appended = False
            else:
                is_appended = True
        self._record_append(started, is_appended=is_appended)
        return is_appended

    def _record_append(self, started: float, *, is_appended: bool) -> None:
        outcome = 'done' if is_appended else 'failed'
        metrics = self._dependencies.metrics
        metrics.appends.labels(CHARGES_STREAM, outcome).inc()
        metrics.append_seconds.observe(read_monotonic_clock() - started)
        metrics.charge_backlog.set(self.backlog)
        if is_appended != self._log_accepts:
            log_event('log_takes_charges', takes=is_appended)
        self._log_accepts = is_appended

    async def _drain_periodically(self) -> None:
        while True:
            await anyio.sleep(_DRAIN_INTERVAL_S)
            await self._outbox.drain()
            self._dependencies.metrics.charge_backlog.set(self.backlog)

    async def _handle_put(self, message: Message) -> Message:
        if not isinstance(message, ChargesPut):
            raise TypeError(type(message))
        pending = [
            _PendingCharge(charge=charge) for charge in message.batch.charges
        ]
        self._queue.extend(pending)
        self._work_available.set()
        for entry in pending:
            await entry.durable.wait()
        return Done()
