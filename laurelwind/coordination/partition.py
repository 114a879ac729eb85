"""Owner of one claim partition.

An owner starts by appending an epoch record and grants a claim only after
reading it back from the log with no newer epoch before it.  Ownership is
therefore decided by the order of the log alone, never by a clock.
"""

import time
from collections.abc import Sequence
from typing import Final

import anyio
from attrs import define, evolve, field

from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.events import log_event
from laurelwind.metrics import Metrics
from laurelwind.protocol.messages import ClaimAnswer, ClaimAsk, ClaimVerdict
from laurelwind.protocol.platform import Log
from laurelwind.state.claims import ClaimTable
from laurelwind.state.identity import create_identifier, read_time
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.records import (
    CheckpointRecord,
    ClaimRecord,
    EpochRecord,
    HeldClaim,
    Record,
)

CLAIM_HORIZON_S: Final = 3600.0
_HORIZON_MARGIN_S: Final = 600.0
_BATCH_LIMIT: Final = 200
_APPENDS_PER_S: Final = 25.0
_APPEND_BURST: Final = 20.0
_READ_BACK_TIMEOUT_S: Final = 2.0
_CHECKPOINT_INTERVAL_S: Final = 600.0
_CHECKPOINT_PAGE_LENGTH: Final = 500


def name_stream(partition: int) -> str:
    """Return the name of the log stream of a partition.

    :param partition: number of the partition.
    """
    return f'claims-{partition}'


@define(kw_only=True)
class _PendingAppend:
    """Record to append, and the answer once it is decided."""

    record: Record
    request: ClaimAsk | None = None
    answer: ClaimAnswer | None = None
    completed: anyio.Event = field(factory=anyio.Event)

    def complete(self, answer: ClaimAnswer) -> None:
        """Set the answer and wake the waiting task."""
        self.answer = answer
        self.completed.set()


class _AppendRateLimiter:
    """Token bucket that limits the rate of appends."""

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = read_monotonic_clock()

    async def wait(self) -> None:
        """Wait until the next append is allowed."""
        now = read_monotonic_clock()
        accrued = (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens + accrued, self._burst)
        self._refilled_at = now
        self._tokens -= 1
        if self._tokens < 0:
            await anyio.sleep(-self._tokens / self._rate)


class PartitionOwner:
    """Decides on the claims of one partition, as its owner or candidate.

    :param partition: number of the partition.
    :param name: name of this daemon.
    :param log: the platform's log.
    :param metrics: counters of appends.
    :param appends_per_s: maximum average rate of appends per second.
    """

    def __init__(
        self,
        *,
        partition: int,
        name: str,
        log: Log,
        metrics: Metrics,
        appends_per_s: float = _APPENDS_PER_S,
    ) -> None:
        self._stream = name_stream(partition)
        self._name = name
        self._log = log
        self._metrics = metrics
        self._table = ClaimTable()
        self._local_epoch = -1
        self._queue: list[_PendingAppend] = []
        self._work_available = anyio.Event()
        self._rate_limiter = _AppendRateLimiter(
            rate=appends_per_s, burst=_APPEND_BURST
        )
        self._checkpoint_at = read_monotonic_clock() + _CHECKPOINT_INTERVAL_S

    @property
    def table(self) -> ClaimTable:
        """Valid claims, up to the last record read."""
        return self._table

    @property
    def is_current(self) -> bool:
        """Whether the latest epoch read was appended by this owner."""
        return self._local_epoch >= 0 and self._table.epoch == self._local_epoch

    def resign(self) -> None:
        """Give up ownership; the next claim request starts a new epoch."""
        self._local_epoch = -1

    async def run(self) -> None:
        """Process queued requests until cancelled."""
        while True:
            await self._work_available.wait()
            self._work_available = anyio.Event()
            while self._queue:
                batch = self._queue[:_BATCH_LIMIT]
                self._queue = self._queue[len(batch) :]
                await self._process_batch(batch)

    async def claim(self, request: ClaimAsk) -> ClaimAnswer:
        """Decide on a claim.

        :param request: claim request.
        """
        record = ClaimRecord(
            epoch=-1,
            key=request.key,
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            claimed_at=time.time(),
        )
        return await self._submit(
            _PendingAppend(record=record, request=request)
        )

    async def append(self, record: Record) -> bool:
        """Append an outcome or a release.

        :param record: outcome or release.
        :returns: whether the record was read back from the log.
        """
        answer = await self._submit(_PendingAppend(record=record))
        return answer.verdict is ClaimVerdict.GRANTED

    async def _submit(self, pending: _PendingAppend) -> ClaimAnswer:
        self._queue.append(pending)
        self._work_available.set()
        await pending.completed.wait()
        return pending.answer or ClaimAnswer(verdict=ClaimVerdict.UNAVAILABLE)

    async def _process_batch(self, batch: Sequence[_PendingAppend]) -> None:
        try:
            if any(pending.request is not None for pending in batch):
                await self._take_over_if_needed()
            undecided = [
                pending
                for pending in batch
                if not self._complete_if_decided(pending)
            ]
            if undecided:
                await self._append_batch(undecided)
            await self._checkpoint_if_due()
        except PlatformError:
            log_event('claims_unavailable', stream=self._stream)
        for pending in batch:
            if not pending.completed.is_set():
                pending.complete(ClaimAnswer(verdict=ClaimVerdict.UNAVAILABLE))

    async def _take_over_if_needed(self) -> None:
        if self.is_current:
            return
        record = EpochRecord(
            record_id=create_identifier(),
            owner=self._name,
            started_at=time.time(),
        )
        offset = await self._append((record,))
        await self._read_through(offset)
        self._local_epoch = offset
        log_event('partition_taken', stream=self._stream, epoch=offset)

    def _complete_if_decided(self, pending: _PendingAppend) -> bool:
        """Complete a claim that the table already decides."""
        request = pending.request
        if request is None:
            return False
        answer = self._decide_from_table(request)
        if answer is not None:
            pending.complete(answer)
        return answer is not None

    def _decide_from_table(self, request: ClaimAsk) -> ClaimAnswer | None:
        existing_claim = self._table.find(request.key)
        if existing_claim is not None:
            return _build_existing_answer(existing_claim, request)
        horizon_start = time.time() - CLAIM_HORIZON_S
        created_at = read_time(request.idempotency_key)
        is_old = created_at is not None and created_at < horizon_start
        if is_old or self._table.may_have_expired(
            request.idempotency_key, horizon_start
        ):
            return ClaimAnswer(verdict=ClaimVerdict.EXPIRED)
        return None

    async def _append_batch(self, batch: Sequence[_PendingAppend]) -> None:
        await self._rate_limiter.wait()
        records = [self._set_epoch(pending.record) for pending in batch]
        offset = await self._append(records)
        await self._read_through(offset + len(records) - 1)
        for pending in batch:
            self._complete_from_log(pending)
        self._table.drop_before(
            time.time() - CLAIM_HORIZON_S - _HORIZON_MARGIN_S
        )

    def _set_epoch(self, record: Record) -> Record:
        if isinstance(record, ClaimRecord):
            return evolve(record, epoch=self._local_epoch)
        return record

    def _complete_from_log(self, pending: _PendingAppend) -> None:
        """Complete an appended record from what was read back."""
        request = pending.request
        if request is None:
            pending.complete(ClaimAnswer(verdict=ClaimVerdict.GRANTED))
            return
        existing_claim = self._table.find(request.key)
        if existing_claim is None:
            pending.complete(ClaimAnswer(verdict=ClaimVerdict.SUPERSEDED))
        elif existing_claim.request_id == request.request_id:
            pending.complete(ClaimAnswer(verdict=ClaimVerdict.GRANTED))
        else:
            pending.complete(_build_existing_answer(existing_claim, request))

    async def _append(self, records: Sequence[Record]) -> int:
        started = read_monotonic_clock()
        outcome = 'failed'
        try:
            offset = await self._log.append(self._stream, records)
            outcome = 'done'
        finally:
            self._metrics.appends.labels('claims', outcome).inc()
            self._metrics.append_seconds.observe(
                read_monotonic_clock() - started
            )
        return offset

    async def _read_through(self, offset: int) -> None:
        with anyio.move_on_after(_READ_BACK_TIMEOUT_S):
            while self._table.read_to < offset:
                await self._read_page()
            return
        raise PlatformError(
            ErrorKind.LOG_UNAVAILABLE,
            'appended records were not read back from the log in time',
        )

    async def _read_page(self) -> None:
        page = await self._log.read(self._stream, self._table.read_to + 1)
        self._table.record_gap(page.earliest)
        for entry in page.entries:
            self._table.apply(entry)

    async def _checkpoint_if_due(self) -> None:
        if read_monotonic_clock() < self._checkpoint_at or not self.is_current:
            return
        if not self._table.is_complete(time.time() - CLAIM_HORIZON_S):
            return
        self._checkpoint_at = read_monotonic_clock() + _CHECKPOINT_INTERVAL_S
        records = list(_build_checkpoint(self._local_epoch, self._table))
        await self._append(records)


def _build_existing_answer(
    existing_claim: HeldClaim, request: ClaimAsk
) -> ClaimAnswer:
    if existing_claim.fingerprint != request.fingerprint:
        return ClaimAnswer(verdict=ClaimVerdict.REUSED)
    verdict = ClaimVerdict.HELD
    if existing_claim.request_id == request.request_id:
        verdict = ClaimVerdict.GRANTED
    elif existing_claim.outcome is not None:
        verdict = ClaimVerdict.DONE
    return ClaimAnswer(
        verdict=verdict,
        claimed_at=existing_claim.claimed_at,
        outcome=existing_claim.outcome,
    )


def _build_checkpoint(
    epoch: int, table: ClaimTable
) -> Sequence[CheckpointRecord]:
    claims = list(table.iterate())
    starts = range(0, len(claims), _CHECKPOINT_PAGE_LENGTH)
    pages = [
        claims[start : start + _CHECKPOINT_PAGE_LENGTH] for start in starts
    ] or [[]]
    return [
        CheckpointRecord(
            epoch=epoch, page=index, pages=len(pages), claims=tuple(page)
        )
        for index, page in enumerate(pages)
    ]
