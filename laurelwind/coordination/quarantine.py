"""Shares ratings between daemons and quarantines bad versions.

Each daemon pushes changed counts to peers, and pushes failures without
waiting for the interval.  Counts can be merged in any order.  The daemon on
which the detector crosses its threshold quarantines the version immediately,
notifies peers, and appends a record to the log, which makes it durable.
"""

import math
import random
import time
from collections.abc import Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, frozen

from laurelwind.coordination.cascade import find_version
from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.coordination.roster import Roster
from laurelwind.errors import PlatformError
from laurelwind.events import log_event
from laurelwind.metrics import Metrics
from laurelwind.protocol.messages import (
    Done,
    EvidenceCounts,
    EvidencePush,
    Message,
    QuarantineNotice,
)
from laurelwind.protocol.peer_network import MessageHandler, PeerNetwork
from laurelwind.protocol.platform import Log
from laurelwind.state.detector import BadVersionDetector, QuarantineVerdict
from laurelwind.state.evidence import Counts, EvidenceTable, Subject
from laurelwind.state.identity import create_identifier
from laurelwind.state.members import Member
from laurelwind.state.records import CONFIGURATION_STREAM, QuarantineRecord

_PUSH_INTERVAL_S: Final = 1.0
_MIN_PUSH_INTERVAL_S: Final = 0.1
_PUSH_FANOUT: Final = 2
_NOTICE_FANOUT: Final = 3
_MAX_PUSH_ENTRIES: Final = 100
_RETRANSMIT_FACTOR: Final = 2
_SEND_TIMEOUT_S: Final = 1.0
_APPEND_RETRY_S: Final = 1.0
_DEFAULT_PRIOR: Final = 0.9


@define(kw_only=True)
class _PendingCounts:
    """Rating counts that are still being pushed to peers."""

    subject: Subject
    source: str
    sends_left: int


@frozen(kw_only=True)
class QuarantineDependencies:
    """Collaborators of the quarantine."""

    log: Log
    roster: Roster
    peers: PeerNetwork
    follower: ConfigurationFollower
    evidence: EvidenceTable
    metrics: Metrics


class Quarantine:
    """The quarantined versions, and the ratings that quarantine them.

    :param dependencies: collaborators.
    :param seed: makes the choice of receivers reproducible.
    """

    def __init__(
        self, *, dependencies: QuarantineDependencies, seed: int | None = None
    ) -> None:
        self._dependencies = dependencies
        self._random = random.Random(seed)
        self._detector = BadVersionDetector()
        self._pending_counts: dict[tuple[Subject, str], _PendingCounts] = {}
        self._active_notices: set[QuarantineNotice] = set()
        self._task_group: TaskGroup | None = None
        self._failure_recorded = anyio.Event()
        dependencies.metrics.quarantined.set_function(self._count_active)

    def get_handlers(self) -> dict[type[Message], MessageHandler]:
        """Return the handlers of evidence and quarantine messages by type."""
        return {
            EvidencePush: self._answer_push,
            QuarantineNotice: self._answer_notice,
        }

    def start(self, task_group: TaskGroup) -> None:
        """Start to push changed counts to peers.

        :param task_group: task group that runs the pushes.
        """
        self._task_group = task_group
        task_group.start_soon(self._push_periodically)

    def is_quarantined(self, reference: str, workspace: str) -> bool:
        """Return whether a version is quarantined for a workspace.

        :param reference: ``model@version``.
        :param workspace: name of the workspace; an empty string checks only
            for quarantines that apply to all workspaces.
        """
        recorded = self._dependencies.follower.quarantined
        if (reference, '') in recorded or (reference, workspace) in recorded:
            return True
        return any(
            notice.reference == reference
            and notice.workspace in {'', workspace}
            and notice.id
            not in self._dependencies.follower.lifted_quarantine_ids
            for notice in self._active_notices
        )

    def record_rating(self, subject: Subject, *, passed: bool) -> None:
        """Record a rating obtained by this daemon.

        :param subject: workspace, task and version that were rated.
        :param passed: whether the answer passed.
        """
        self._dependencies.evidence.record(subject, passed=passed)
        self._mark_changed(subject, self._dependencies.roster.name)
        self._update_detector(
            subject, passed=int(passed), failed=int(not passed)
        )

    async def reinstate(self, reference: str, author: str) -> None:
        """Lift the quarantine of a version.

        :param reference: ``model@version``.
        :param author: name of the operator.
        :raises PlatformError: when the log does not accept the record.
        """
        record = QuarantineRecord(
            record_id=create_identifier(),
            reference=reference,
            workspace='',
            author=author,
            decided_at=time.time(),
            is_lifted=True,
        )
        await self._dependencies.log.append(CONFIGURATION_STREAM, (record,))

    def _update_detector(
        self, subject: Subject, *, passed: int, failed: int
    ) -> None:
        if failed:
            self._failure_recorded.set()
        self._drop_reinstated()
        document = self._dependencies.follower.current.document
        version = find_version(document, subject.reference)
        prior = _DEFAULT_PRIOR
        if version is not None:
            prior = version.expected_pass_rate
        verdict = self._detector.add(
            subject, passed=passed, failed=failed, prior=prior
        )
        if verdict is None:
            return
        if not self.is_quarantined(verdict.reference, verdict.workspace):
            self._start_quarantine(verdict)

    def _drop_reinstated(self) -> None:
        """Drop notices of reinstated versions and reset their detectors."""
        lifted_quarantine_ids = (
            self._dependencies.follower.lifted_quarantine_ids
        )
        reinstated_notices = [
            notice
            for notice in self._active_notices
            if notice.id in lifted_quarantine_ids
        ]
        for notice in reinstated_notices:
            self._active_notices.discard(notice)
            self._detector.reset(notice.reference)

    def _count_active(self) -> int:
        lifted_ids = self._dependencies.follower.lifted_quarantine_ids
        return sum(
            notice.id not in lifted_ids for notice in self._active_notices
        )

    def _start_quarantine(self, verdict: QuarantineVerdict) -> None:
        log_event(
            'version_quarantined',
            reference=verdict.reference,
            workspace=verdict.workspace,
            score=round(verdict.score, 1),
        )
        notice = QuarantineNotice(
            id=create_identifier(),
            reference=verdict.reference,
            workspace=verdict.workspace,
        )
        self._apply_notice(notice)
        if self._task_group is not None:
            self._task_group.start_soon(self._append_record, notice)

    def _apply_notice(self, notice: QuarantineNotice) -> bool:
        if notice in self._active_notices:
            return False
        self._active_notices.add(notice)
        if self._task_group is not None:
            for member in self._choose_receivers(_NOTICE_FANOUT):
                self._task_group.start_soon(
                    self._dependencies.peers.notify,
                    member.peer_address,
                    notice,
                    _SEND_TIMEOUT_S,
                )
        return True

    async def _append_record(self, notice: QuarantineNotice) -> None:
        record = QuarantineRecord(
            record_id=notice.id,
            reference=notice.reference,
            workspace=notice.workspace,
            author=self._dependencies.roster.name,
            decided_at=time.time(),
        )
        while True:
            try:
                await self._dependencies.log.append(
                    CONFIGURATION_STREAM, (record,)
                )
            except PlatformError:
                await anyio.sleep(_APPEND_RETRY_S)
            else:
                return

    def _mark_changed(self, subject: Subject, source: str) -> None:
        sends = _RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self._dependencies.roster) + 1)
        )
        self._pending_counts[subject, source] = _PendingCounts(
            subject=subject, source=source, sends_left=sends
        )

    async def _push_periodically(self) -> None:
        while True:
            await anyio.sleep(_MIN_PUSH_INTERVAL_S)
            with anyio.move_on_after(_PUSH_INTERVAL_S - _MIN_PUSH_INTERVAL_S):
                await self._failure_recorded.wait()
            self._failure_recorded = anyio.Event()
            receivers = self._choose_receivers(_PUSH_FANOUT)
            if not self._pending_counts or not receivers:
                continue
            message = EvidencePush(entries=self._collect_entries())
            for member in receivers:
                await self._dependencies.peers.notify(
                    member.peer_address, message, _SEND_TIMEOUT_S
                )

    def _collect_entries(self) -> Sequence[EvidenceCounts]:
        selected = sorted(
            self._pending_counts.values(),
            key=lambda pending: -pending.sends_left,
        )[:_MAX_PUSH_ENTRIES]
        entries = []
        for pending in selected:
            counts = self._dependencies.evidence.get(
                pending.subject, pending.source
            )
            entries.append(
                EvidenceCounts(
                    subject=pending.subject,
                    source=pending.source,
                    passed=counts.passed,
                    failed=counts.failed,
                )
            )
            pending.sends_left -= 1
            if pending.sends_left <= 0:
                self._pending_counts.pop((pending.subject, pending.source))
        return tuple(entries)

    def _choose_receivers(self, count: int) -> Sequence[Member]:
        others = self._dependencies.roster.list_others()
        return self._random.sample(others, min(count, len(others)))

    async def _answer_push(self, message: Message) -> Message:
        if not isinstance(message, EvidencePush):
            raise TypeError(type(message))
        for entry in message.entries:
            self._apply_entry(entry)
        return Done()

    def _apply_entry(self, entry: EvidenceCounts) -> None:
        if entry.source == self._dependencies.roster.name:
            return
        previous = self._dependencies.evidence.get(entry.subject, entry.source)
        counts = Counts(passed=entry.passed, failed=entry.failed)
        if not self._dependencies.evidence.merge(
            entry.subject, entry.source, counts
        ):
            return
        merged = self._dependencies.evidence.get(entry.subject, entry.source)
        self._mark_changed(entry.subject, entry.source)
        if self._dependencies.follower.is_ready:
            self._update_detector(
                entry.subject,
                passed=merged.passed - previous.passed,
                failed=merged.failed - previous.failed,
            )

    async def _answer_notice(self, message: Message) -> Message:
        if not isinstance(message, QuarantineNotice):
            raise TypeError(type(message))
        if message.id not in self._dependencies.follower.lifted_quarantine_ids:
            self._apply_notice(message)
        return Done()
