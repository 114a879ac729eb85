"""Rejects requests that crash the endpoints which run them."""

from collections.abc import Callable, Container, Iterable, Mapping, Sequence
from typing import Final

import anyio

from laurelwind.coordination.suspects.keys import build_part_keys
from laurelwind.coordination.suspects.updates import REPEAT_S, CrashUpdates
from laurelwind.coordination.suspects.watch import AttemptWatch
from laurelwind.decisions import WarningLog
from laurelwind.protocol.crash_notices import CrashNotice, SuspectAnswer
from laurelwind.protocol.exchanges import PromptPart
from laurelwind.state.abandoned_attempts import AbandonedAttempts
from laurelwind.state.blocks import Block, Blocks
from laurelwind.state.crash_evidence import CrashEvidence
from laurelwind.state.crash_reports import CrashReport, SuspectKey, SuspectKeys
from laurelwind.state.culprits import Culprit
from laurelwind.state.endpoint_breaks import EndpointBreak, EndpointSurvival
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.service_answers import ServiceAnswers

# Seconds between a report and its review.
REVIEW_DELAY_S: Final = 0.15


class SuspectScreen:
    """What the daemons know of parts and requests that crash endpoints.

    Evidence is pooled: see :mod:`.gossip` for how notices spread.

    :param log: receives what is suspected and blocked.
    :param clock: monotonic clock, in seconds.
    :param count_members: returns the number of daemons.
    :ivar updates: notices to spread.
    :ivar abandoned: attempts that were given up without a complete answer.
    :ivar evidence: reports of crashes.
    :ivar blocked: the suspects that are blocked.
    :ivar watch: attempts to end when their request is blocked.
    """

    def __init__(
        self,
        *,
        log: WarningLog,
        count_members: Callable[[], int],
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self.updates = CrashUpdates()
        self.abandoned = AbandonedAttempts()
        self.watch = AttemptWatch()
        self._log = log
        self._clock = clock
        self._count_members = count_members
        self.evidence = CrashEvidence()
        self._service_answers = ServiceAnswers()
        self.blocked = Blocks()
        self._has_unreviewed = anyio.Event()
        self._appliers: Mapping[type, Callable[..., None]] = {
            Block: self._apply_block,
            CrashReport: self._apply_report,
            EndpointBreak: self.record_break,
            EndpointSurvival: self._apply_survival,
            SuspectAnswer: self._apply_answer,
        }
        # Suspects that the next answers of their service may confirm, with it.
        self._suspected: dict[SuspectKeys, str] = {}

    @property
    def blocks(self) -> Sequence[Block]:
        """The blocks in force."""
        self._end_blocks()
        return self.blocked.list_all(self._clock())

    def is_blocked(self, keys: SuspectKeys) -> bool:
        """Return whether a request is rejected.

        :param keys: its suspects.
        """
        return self.blocked.find(keys, self._clock()) is not None

    def count_crashes(self, request: SuspectKey) -> int:
        """Count the crashes that a request was on board of since its answer.

        :param request: the request, in all its repeats.
        """
        return self.evidence.count_crashes(request)

    def reject(self, keys: SuspectKeys) -> bool:
        """Return whether a request is rejected, and count it if so.

        :param keys: its suspects.
        """
        block = self.blocked.find(keys, self._clock())
        if block is not None:
            self.blocked.count_request(block, self._clock())
        return block is not None

    def record_break(self, broken: EndpointBreak) -> None:
        """Record a connection that broke, whatever was sent on it.

        :param broken: the connection.
        """
        if self.evidence.breaks.record(broken):
            self.updates.add(broken)
        for report in self.abandoned.take(broken):
            self.record_crash(report)

    def record_crash(self, report: CrashReport) -> None:
        """Record an attempt that broke.

        :param report: report of the attempt.
        """
        if not self.evidence.add(report):
            return
        self.updates.add(report)
        self._announce_context(report)
        if self.evidence.is_proved_before(report):
            self.review()
        else:
            self._has_unreviewed.set()

    async def run(self) -> None:
        """Review reports until cancelled."""
        while True:
            await self._has_unreviewed.wait()
            # Answers that peers know of have arrived by then.
            await anyio.sleep(REVIEW_DELAY_S)
            self._has_unreviewed = anyio.Event()
            self.review()

    def review(self) -> None:
        """Block what the reports prove to crash endpoints."""
        self._end_blocks()
        known = self._suspected
        self._suspected = {}
        # What is blocked explains crashes, so that others have fewer left.
        while self._block_culprit(known):
            self._suspected.clear()

    def record_answer(self, service: str, parts: Sequence[PromptPart]) -> None:
        """Record an answer that began, which clears the parts of its prompt.

        :param service: name of the service.
        :param parts: parts of the prompt.
        """
        now = self._clock()
        self._service_answers.record(service, now)
        if service in self._suspected.values():
            self._has_unreviewed.set()
        for key in build_part_keys(service, parts):
            self._apply_answer(SuspectAnswer(key=key, began_at=now))

    def record_completion(self, request: SuspectKey) -> None:
        """Record a complete answer, which clears its request.

        :param request: the request, in all its repeats.
        """
        self._apply_answer(SuspectAnswer(key=request, began_at=self._clock()))

    def record_event(self, endpoint: str, sent_at: float) -> None:
        """Record an event, which may contradict a crash of its endpoint.

        :param endpoint: the endpoint and the start time of its process.
        :param sent_at: moment at which the attempt was sent.
        """
        survival = self.evidence.breaks.find_survival(
            endpoint, sent_at, self._clock()
        )
        if survival is not None:
            self.apply([survival])

    def lift(self, keys: SuspectKeys) -> None:
        """Lift a block, in all daemons.

        :param keys: suspects of the block.
        """
        now = self._clock()
        for key in keys:
            answer = SuspectAnswer(key=key, began_at=now)
            self._apply_answer(answer)
            self.updates.add_answer(answer)

    def apply(self, notices: Iterable[CrashNotice]) -> None:
        """Apply the notices of another daemon, and pass on those that are new.

        :param notices: the notices.
        """
        for notice in notices:
            self._appliers[type(notice)](notice)

    def summarize(self) -> Sequence[CrashNotice]:
        """Return the blocks and the recent notices, for daemons without them.

        The blocks come first, then what is newest.
        """
        since = self._clock() - REPEAT_S
        return (
            *self.blocks,
            *self.updates.list_answers(since),
            *self.evidence.list_recent(since),
        )

    def _block_culprit(self, known: Container[SuspectKeys]) -> bool:
        members = self._count_members()
        for culprit in self.evidence.find_culprits(
            self.blocked.groups, self.blocked.former
        ):
            if not self._service_answers.confirm(culprit, members):
                self._suspect(culprit, known)
                continue
            block = Block(
                keys=culprit.keys,
                since=culprit.since,
                seen_at=self._clock(),
                rounds=self.blocked.count_rounds(culprit.keys),
            )
            if self._block(block):
                return True
        return False

    def _apply_report(self, report: CrashReport) -> None:
        if self.evidence.is_known(report):
            return
        self.record_crash(report)
        # The daemon that sent it may know less, also if nothing is left of it.
        self._announce_context(report)

    def _announce_context(self, report: CrashReport) -> None:
        """Announce what tells against a report: an outage, or answers."""
        outage = self.evidence.breaks.find_outage(
            report.endpoint, report.broke_at
        )
        if outage is not None:
            self.updates.add(outage)
        cleared = report.keys - self.evidence.list_suspects(report)
        self.updates.add_known_answers(cleared, self.evidence.answered)

    def _apply_answer(self, answer: SuspectAnswer) -> None:
        is_news = self.evidence.record_answer(answer.key, answer.began_at)
        for block, remaining in self.blocked.clear(answer.key, answer.began_at):
            is_news = True
            self._log.log_warning(
                'block_narrowed' if remaining else 'block_lifted',
                **block.describe(),
                remaining=sorted(name for _, name in remaining),
            )
        if is_news:
            self.updates.add_answer(answer)

    def _apply_survival(self, survival: EndpointSurvival) -> None:
        if not self.evidence.breaks.record_survival(survival):
            return
        self.updates.add(survival)
        for block in self.blocks:
            if self.evidence.is_disproved(block.keys):
                self.lift(block.keys)

    def _end_blocks(self) -> None:
        for block in self.blocked.end(self._clock()):
            # What proved it counts no more, so that it is tried once.
            for key in block.keys:
                self.evidence.record_answer(key, block.ends_at)
            self._log.log_warning('block_ended', **block.describe())

    def _apply_block(self, block: Block) -> None:
        if self._clock() > block.ends_at:
            return
        disproved = [
            key
            for key in block.keys
            if self.evidence.answered.get(key) >= block.since
        ]
        if not disproved:
            self._block(block)
        elif block.keys not in self.blocked.former:
            self.updates.add_known_answers(disproved, self.evidence.answered)

    def _suspect(self, culprit: Culprit, known: Container[SuspectKeys]) -> None:
        self._suspected[culprit.keys] = culprit.service
        if culprit.keys not in known:
            self._log.log_warning(
                'part_suspected',
                **culprit.describe(),
                since_s=round(self._clock() - culprit.since, 3),
            )

    def _block(self, block: Block) -> bool:
        if not self.blocked.add(block):
            return False
        self.updates.add(block)
        ended = self.watch.end_attempts(block.keys)
        self._log.log_warning(
            'part_blocked',
            **block.describe(),
            since_s=round(self._clock() - block.since, 3),
            ended_attempts=ended,
            reports=self.evidence.list_attempts(block.keys),
        )
        return True
