"""Finds what crashes endpoints: parts of prompts, and whole requests.

An attempt that breaks is evidence against its request and, unless its answer
had begun, against all shared parts of its prompt.  An answer that begins clears
its parts of what was sent before, and one that is complete its request.  Parts
that always failed together are blamed together, until an answer with only some
of them has begun.
"""

from collections import Counter, deque
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import Final

from attrs import evolve

from laurelwind.state.answered_keys import AnsweredKeys
from laurelwind.state.crash_causes import (
    list_requests,
    list_unexplained,
    weigh_culprit,
)
from laurelwind.state.crash_reports import (
    CrashReport,
    SuspectKey,
    SuspectKeys,
    select_parts,
)
from laurelwind.state.culprits import (
    Culprit,
    SuspectReport,
    find_known_before,
)
from laurelwind.state.deadly_parts import find_deadly_parts
from laurelwind.state.deadly_requests import (
    find_deadly_requests,
    recurs_alone,
)
from laurelwind.state.endpoint_breaks import EndpointBreaks, EndpointSurvival
from laurelwind.state.report_ranks import choose_remaining

# Lifetime of a report, in seconds.
REPORT_TTL_S: Final = 300.0
# The most reports that are kept.
MAX_REPORTS: Final = 256
# The most attempts that are remembered, so that a report which was discarded is
# not taken for a new one when another daemon repeats it.
MAX_KNOWN_ATTEMPTS: Final = 4096


class CrashEvidence:
    """Reports of crashes, and the suspects that were answered.

    :ivar breaks: broken connections to each endpoint.
    :ivar answered: moments of the last answers.
    """

    def __init__(self) -> None:
        self.breaks = EndpointBreaks()
        self.answered = AnsweredKeys()
        self._reports: dict[str, CrashReport] = {}
        # The newest reports, also those whose suspects were all cleared.
        self._failures: deque[CrashReport] = deque(maxlen=MAX_REPORTS)
        # Suspects of each report that no answer has cleared.
        self._suspects: dict[str, SuspectKeys] = {}
        self._known_attempts: dict[str, None] = {}

    @property
    def reports(self) -> Collection[CrashReport]:
        """The reports, in the order of their arrival."""
        return self._reports.values()

    def list_attempts(self, keys: SuspectKeys) -> Sequence[str]:
        """List the reported attempts that certain suspects were on board of.

        :param keys: the suspects.
        """
        return [
            report.attempt
            for report in self._reports.values()
            if keys <= report.keys
        ]

    def add(self, report: CrashReport) -> bool:
        """Add a report; return whether it is new and blames any suspect.

        :param report: the report.
        """
        if self.is_known(report):
            return False
        self._known_attempts[report.attempt] = None
        if len(self._known_attempts) > MAX_KNOWN_ATTEMPTS:
            self._known_attempts.pop(next(iter(self._known_attempts)))
        self._failures.append(report)
        self.breaks.record(report.broken)
        suspects = self.list_suspects(report)
        if not suspects:
            return False
        self._reports[report.attempt] = report
        self._suspects[report.attempt] = suspects
        self._expire(report.broke_at)
        return True

    def is_known(self, report: CrashReport) -> bool:
        """Return whether a report was added before.

        :param report: the report.
        """
        return report.attempt in self._known_attempts

    def is_disproved(self, keys: SuspectKeys) -> bool:
        """Return whether most failures of some suspects were no crashes.

        :param keys: suspects that were found to be the cause.
        """
        failures = [
            report for report in self._reports.values() if keys <= report.keys
        ]
        crashes = {
            report.endpoint for report in self._iterate_crashes(failures)
        }
        disproved = {
            (report.endpoint, report.broke_at)
            for report in failures
            if self.breaks.has_survived(report.endpoint, report.broke_at)
        }
        return len(disproved) > len(crashes)

    def list_recent(
        self, since: float
    ) -> Sequence[EndpointSurvival | CrashReport]:
        """List what tells against crashes, then reports.

        Those of the prompts that recur most come first, then the newest.

        :param since: earliest moment.
        """
        recent = [
            report
            for report in self._reports.values()
            if report.broke_at > since
        ]
        counts = Counter(report.prompt for report in recent)
        reports = sorted(
            recent,
            key=lambda report: (-counts[report.prompt], -report.broke_at),
        )
        return (*self.breaks.list_survivals(since), *reports)

    def record_answer(self, key: SuspectKey, began_at: float) -> bool:
        """Record an answer; return whether it clears any report.

        :param key: a suspect that it tells against.
        :param began_at: moment of its first event, or of its end for a request.
        """
        self.answered.record(key, began_at)
        cleared = [
            report.attempt
            for report in self._reports.values()
            if report.sent_at <= began_at
            and key in self._suspects[report.attempt]
        ]
        for attempt in cleared:
            self._suspects[attempt] -= {key}
            if not self._suspects[attempt]:
                self._drop(attempt)
        return bool(cleared)

    def list_suspects(self, report: CrashReport) -> SuspectKeys:
        """Return the suspects of a report that no answer has cleared since.

        :param report: the report.
        """
        known = self._suspects.get(report.attempt)
        if known is not None:
            return known
        return frozenset(
            key
            for key in report.keys
            if self.answered.get(key) < report.sent_at
        )

    def find_culprits(
        self,
        blocked: Collection[SuspectKeys],
        former: Collection[SuspectKeys] = (),
    ) -> Iterator[Culprit]:
        """Iterate over what the reports prove to be the cause of crashes.

        Of each service the requests come first, as a request that was on board
        of all crashes accounts for the parts of its prompt as well.

        :param blocked: groups of suspects that are blocked.
        :param former: groups that were blocked, and not answered since.
        """
        by_service: dict[str, list[SuspectReport]] = {}
        crashes = self._iterate_crashes(self._reports.values())
        for report in list_unexplained(blocked, crashes):
            suspects = self.list_suspects(report) - list_requests(blocked)
            if suspects:
                by_service.setdefault(report.service, []).append(
                    (report, suspects)
                )
        for reports in by_service.values():
            known = find_known_before((*blocked, *former), reports)
            if known is not None:
                yield known
            for culprit in self._find_culprits_of_service(blocked, reports):
                crashes = self._iterate_crashes(self._failures)
                yield weigh_culprit(culprit, blocked, crashes)

    def count_crashes(self, key: SuspectKey) -> int:
        """Count the crashes that a suspect was on board of.

        Those before its last answer do not count.

        :param key: the suspect.
        """
        reports = [
            report
            for report in self._reports.values()
            if key in self._suspects[report.attempt]
        ]
        return len(
            {report.endpoint for report in self._iterate_crashes(reports)}
        )

    def is_proved_before(self, report: CrashReport) -> bool:
        """Return whether a request had enough crashes before a new one.

        :param report: the new report.
        """
        return recurs_alone(
            report.keys,
            [
                (known, self._suspects[known.attempt])
                for known in self._iterate_crashes(self._reports.values())
            ],
        )

    def _find_culprits_of_service(
        self,
        blocked: Collection[SuspectKeys],
        reports: Collection[SuspectReport],
    ) -> Iterator[Culprit]:
        yield from find_deadly_requests(reports)
        yield from find_deadly_parts(
            blocked,
            [
                (report, parts)
                for report, suspects in reports
                if (parts := select_parts(suspects))
            ],
            self.answered,
        )

    def _iterate_crashes(
        self, reports: Iterable[CrashReport]
    ) -> Iterator[CrashReport]:
        """Iterate over the reports of crashes.

        Each lifetime of an endpoint counts as an endpoint of its own.
        """
        for report in reports:
            lifetime = self.breaks.find_lifetime(
                report.endpoint, report.broke_at
            )
            if lifetime is not None:
                yield evolve(report, endpoint=lifetime)

    def _expire(self, now: float) -> None:
        outdated = [
            report.attempt
            for report in self._reports.values()
            if now - report.broke_at > REPORT_TTL_S
        ]
        if len(self._reports) > MAX_REPORTS:
            outdated.extend(self._list_weakest())
        for attempt in set(outdated):
            self._drop(attempt)

    def _drop(self, attempt: str) -> None:
        self._reports.pop(attempt)
        self._suspects.pop(attempt)

    def _list_weakest(self) -> Collection[str]:
        """List the reports to drop: those whose suspects failed least.

        Failures while an endpoint was down say nothing of its crash.
        """
        suspects = dict.fromkeys(self._reports, SuspectKeys())
        for report in self._iterate_crashes(self._reports.values()):
            suspects[report.attempt] = self.list_suspects(report)
        return suspects.keys() - choose_remaining(suspects)
