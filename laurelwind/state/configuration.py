"""Folds the configuration stream into the configuration in force.

Every reader of the stream applies these rules, so all reach the same result: a
proposal is accepted if and only if it names the last accepted offset as its
base and its document is valid.
"""

import enum
import hashlib
from collections.abc import Mapping
from typing import Final

from attrs import define, evolve, field, frozen

from laurelwind.errors import ConfigurationError
from laurelwind.state.document import Document
from laurelwind.state.records import (
    Entry,
    PublishRecord,
    QuarantineRecord,
    SnapshotRecord,
)
from laurelwind.state.validation import read_document

NO_BASE: Final = -1
_MAX_DECISIONS: Final = 200


class Verdict(enum.StrEnum):
    """Outcome of a proposal.

    ``LATE`` means that the base is not the last accepted offset.
    """

    ACCEPTED = 'accepted'
    LATE = 'late'
    INVALID = 'invalid'


@frozen(kw_only=True)
class Decision:
    """Decision on one proposal.

    :ivar offset: offset of the proposal in the stream.
    :ivar publish_id: identifier of the proposal.
    :ivar author: the operator who published it.
    :ivar published_at: seconds since the epoch.
    :ivar verdict: whether it was accepted, or why not.
    :ivar winner: offset of the configuration in force after the decision: the
        proposal's own if it was accepted.
    """

    offset: int
    publish_id: str
    author: str
    published_at: float
    verdict: Verdict
    winner: int


@frozen(kw_only=True)
class Configuration:
    """An accepted document.

    :ivar offset: offset at which it was accepted.
    :ivar author: the operator who published it.
    :ivar document: the document.
    :ivar raw: the document as plain JSON types.
    :ivar workspace_by_hash: workspace names by the hash of a caller's key.
    """

    offset: int
    author: str
    document: Document
    raw: Mapping[str, object]
    workspace_by_hash: Mapping[str, str] = field(init=False)

    @workspace_by_hash.default
    def _index_keys(self) -> Mapping[str, str]:
        return {
            key_hash: name
            for name, workspace in self.document.workspaces.items()
            for key_hash in workspace.key_hashes
        }

    def find_workspace(self, key: str) -> str | None:
        """Find the workspace that a caller's key belongs to.

        :param key: the key as the caller sent it.
        """
        return self.workspace_by_hash.get(hash_key(key))


def hash_key(key: str) -> str:
    """Hash a key in the form that documents and settings store.

    :param key: the key in plain text.
    """
    return hashlib.sha256(key.encode()).hexdigest()


@define(kw_only=True)
class ConfigurationHistory:
    """Configuration and quarantines, folded from the configuration stream.

    :ivar current: the configuration in force, or ``None`` before the first.
    :ivar decisions: the latest decisions, oldest first.
    :ivar read_to: offset of the last record applied, or -1.
    :ivar quarantines: quarantines in force.
    :ivar lifted_quarantine_ids: ``record_id`` of each quarantine that was
        lifted.
    """

    current: Configuration | None = None
    decisions: list[Decision] = field(factory=list)
    read_to: int = NO_BASE
    quarantines: list[QuarantineRecord] = field(factory=list)
    lifted_quarantine_ids: set[str] = field(factory=set)
    _undecided: list[tuple[int, PublishRecord]] = field(factory=list)
    _complete_from: int = 0

    def record_gap(self, earliest: int) -> None:
        """Record that entries before an offset have expired unread.

        :param earliest: the first offset that can still be read.
        """
        if earliest > self.read_to + 1:
            self._complete_from = earliest
            self.read_to = earliest - 1

    def copy(self) -> 'ConfigurationHistory':
        """Copy the history, so that the copy can be advanced independently."""
        return evolve(
            self,
            decisions=list(self.decisions),
            quarantines=list(self.quarantines),
            lifted_quarantine_ids=set(self.lifted_quarantine_ids),
            undecided=list(self._undecided),
        )

    def find_author(self, offset: int) -> str:
        """Return the author of the document accepted at an offset.

        :param offset: the offset.
        """
        for decision in self.decisions:
            if decision.offset == offset:
                return decision.author
        return self.current.author if self.current else 'nobody'

    def apply(self, entry: Entry) -> Decision | None:
        """Apply one entry and return the decision, if it led to one.

        :param entry: the next entry; one already applied is ignored.
        """
        if entry.offset <= self.read_to:
            return None
        self.read_to = entry.offset
        if isinstance(entry.record, PublishRecord):
            return self._apply_publish(entry.offset, entry.record)
        if isinstance(entry.record, SnapshotRecord):
            self._apply_snapshot(entry.record)
        if isinstance(entry.record, QuarantineRecord):
            self._apply_quarantine(entry.record)
        return None

    def adopt(self, configuration: Configuration) -> bool:
        """Apply a configuration that a peer has read from the log.

        :param configuration: the configuration in force at the peer.
        :returns: whether it was newer and so replaced the local one.
        """
        if self.current and configuration.offset <= self.current.offset:
            return False
        self.current = configuration
        self.read_to = max(self.read_to, configuration.offset)
        return True

    def find_decision(self, publish_id: str) -> Decision | None:
        """Find the decision on a proposal.

        :param publish_id: identifier of the proposal.
        """
        for decision in reversed(self.decisions):
            if decision.publish_id == publish_id:
                return decision
        return None

    @property
    def accepted(self) -> int:
        """Offset of the configuration in force, or -1."""
        return NO_BASE if self.current is None else self.current.offset

    @property
    def is_decidable(self) -> bool:
        """Whether proposals can be decided.

        Without a configuration, this needs every record from the start of the
        stream: an expired one may have been accepted.
        """
        return self.current is not None or self._complete_from == 0

    def _apply_publish(
        self,
        offset: int,
        record: PublishRecord,
    ) -> Decision | None:
        if not self.is_decidable:
            self._undecided.append((offset, record))
            return None
        if self.current is not None and offset <= self.current.offset:
            return None
        decision = self._decide(offset, record)
        self.decisions.append(decision)
        if len(self.decisions) > _MAX_DECISIONS:
            self.decisions.pop(0)
        return decision

    def _decide(self, offset: int, record: PublishRecord) -> Decision:
        verdict = Verdict.LATE
        if record.base == self.accepted:
            verdict = self._accept(offset, record)
        return Decision(
            offset=offset,
            publish_id=record.publish_id,
            author=record.author,
            published_at=record.published_at,
            verdict=verdict,
            winner=self.accepted,
        )

    def _accept(self, offset: int, record: PublishRecord) -> Verdict:
        try:
            document = read_document(record.document)
        except ConfigurationError:
            return Verdict.INVALID
        self.current = Configuration(
            offset=offset,
            author=record.author,
            document=document,
            raw=record.document,
        )
        return Verdict.ACCEPTED

    def _apply_quarantine(self, record: QuarantineRecord) -> None:
        if not record.is_lifted:
            self.quarantines.append(record)
            return
        lifted = [
            quarantine
            for quarantine in self.quarantines
            if quarantine.reference == record.reference
        ]
        self.lifted_quarantine_ids.update(
            quarantine.record_id for quarantine in lifted
        )
        self.quarantines = [
            quarantine
            for quarantine in self.quarantines
            if quarantine not in lifted
        ]

    def _apply_snapshot(self, record: SnapshotRecord) -> None:
        applied_ids = {quarantine.record_id for quarantine in self.quarantines}
        self.quarantines.extend(
            quarantine
            for quarantine in record.quarantines
            if quarantine.record_id
            not in applied_ids | self.lifted_quarantine_ids
        )
        if record.accepted <= self.accepted:
            return
        if record.decided + 1 < self._complete_from:
            # Records after the snapshot have expired unread; one of them may
            # hold an accepted proposal.
            return
        self.current = Configuration(
            offset=record.accepted,
            author=record.author,
            document=read_document(record.document),
            raw=record.document,
        )
        undecided = self._undecided
        self._undecided = []
        for offset, publish in undecided:
            if offset > record.decided:
                self._apply_publish(offset, publish)
