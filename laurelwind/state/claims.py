"""Folds a partition's stream into its valid claims.

A claim is valid if it carries the epoch that is current at its offset, is the
first for its key, and has not been released.  Every reader applies the same
rules, so an owner that resumes after a pause with a superseded epoch cannot
make a claim valid.
"""

from collections.abc import Iterator
from typing import Final

from attrs import define, evolve, field

from laurelwind.state.identity import read_time
from laurelwind.state.records import (
    CheckpointRecord,
    ClaimRecord,
    Entry,
    EpochRecord,
    HeldClaim,
    OutcomeRecord,
    Record,
    ReleaseRecord,
)

NO_EPOCH: Final = -1


@define(kw_only=True)
class ClaimTable:
    """Valid claims of one partition, folded from its stream.

    :ivar epoch: offset of the last epoch record, or -1.
    :ivar owner: name of the daemon that appended it.
    :ivar read_to: offset of the last record applied, or -1.
    :ivar invalid_claims: number of invalid claims.
    :ivar complete_since: every claim made after this time was read, in
        seconds since the epoch.
    """

    epoch: int = NO_EPOCH
    owner: str = ''
    read_to: int = NO_EPOCH
    invalid_claims: int = 0
    complete_since: float = 0
    _claims: dict[str, HeldClaim] = field(factory=dict)
    _released: dict[str, float] = field(factory=dict)
    _is_complete: bool = True
    _applied_pages: int = 0

    def __len__(self) -> int:
        """Count the valid claims."""
        return len(self._claims)

    def find(self, key: str) -> HeldClaim | None:
        """Find the valid claim for a key.

        :param key: hash of workspace, service and idempotency key.
        """
        return self._claims.get(key)

    def is_complete(self, since: float) -> bool:
        """Return whether every claim made since a time was read.

        :param since: seconds since the epoch.
        """
        return self._is_complete or self.complete_since < since

    def may_have_expired(self, idempotency_key: str, since: float) -> bool:
        """Return whether a claim for a key may have expired unread.

        :param idempotency_key: the caller's key, not hashed.
        :param since: seconds since the epoch; earlier claims are ignored.
        """
        if self.is_complete(since):
            return False
        created_at = read_time(idempotency_key)
        return created_at is None or created_at <= self.complete_since

    def record_gap(self, earliest: int) -> None:
        """Record that entries before an offset have expired unread.

        :param earliest: the first offset that can still be read.
        """
        if earliest > self.read_to + 1:
            self.read_to = earliest - 1
            self._is_complete = False
            self.complete_since = float('inf')

    def apply(self, entry: Entry) -> None:
        """Apply the next entry.

        :param entry: the entry; one already applied is ignored.
        """
        if entry.offset <= self.read_to:
            return
        self.read_to = entry.offset
        self._apply_record(entry.offset, entry.record)

    def drop_before(self, moment: float) -> int:
        """Drop claims made before a time.

        :param moment: seconds since the epoch.
        :returns: number of claims dropped.
        """
        expired_keys = [
            key
            for key, claim in self._claims.items()
            if claim.claimed_at < moment
        ]
        for key in expired_keys:
            self._claims.pop(key)
        self._released = {
            request_id: released_at
            for request_id, released_at in self._released.items()
            if released_at >= moment
        }
        return len(expired_keys)

    def iterate(self) -> Iterator[HeldClaim]:
        """Iterate over the valid claims."""
        yield from self._claims.values()

    def _apply_record(self, offset: int, record: Record) -> None:
        match record:
            case EpochRecord():
                self.epoch = offset
                self.owner = record.owner
                self._extend_coverage(record.started_at)
            case ClaimRecord():
                self._apply_claim(record)
            case OutcomeRecord():
                self._apply_outcome(record)
            case ReleaseRecord():
                self._apply_release(record)
            case CheckpointRecord():
                self._apply_checkpoint(record)

    def _extend_coverage(self, moment: float) -> None:
        self.complete_since = min(self.complete_since, moment)

    def _apply_claim(self, record: ClaimRecord) -> None:
        self._extend_coverage(record.claimed_at)
        is_current = record.epoch == self.epoch
        is_first = record.key not in self._claims
        if (
            not is_current
            or not is_first
            or record.request_id in self._released
        ):
            self.invalid_claims += 1
            return
        self._claims[record.key] = HeldClaim(
            key=record.key,
            request_id=record.request_id,
            fingerprint=record.fingerprint,
            claimed_at=record.claimed_at,
        )

    def _apply_outcome(self, record: OutcomeRecord) -> None:
        claim = self._claims.get(record.key)
        if claim is None or claim.request_id != record.request_id:
            return
        self._claims[record.key] = evolve(claim, outcome=record)

    def _apply_release(self, record: ReleaseRecord) -> None:
        self._released[record.request_id] = record.released_at
        claim = self._claims.get(record.key)
        if claim is None or claim.request_id != record.request_id:
            return
        if claim.outcome is None:
            self._claims.pop(record.key)

    def _apply_checkpoint(self, record: CheckpointRecord) -> None:
        """Apply one page of a checkpoint; a full set completes the table."""
        if record.epoch != self.epoch:
            return
        for claim in record.claims:
            if claim.request_id not in self._released:
                self._claims.setdefault(claim.key, claim)
        self._applied_pages = self._applied_pages + 1 if record.page else 1
        if (
            self._applied_pages == record.pages
            and record.page + 1 == record.pages
        ):
            self._is_complete = True
