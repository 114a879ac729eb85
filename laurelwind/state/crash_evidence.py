"""Finds the parts of prompts that crash the endpoints which answer them.

An attempt that breaks before its answer begins is evidence against all shared
parts of its prompt.  An answer that begins clears its parts of what was sent
before.  Parts that always failed together are blamed together, until an answer
with only some of them has begun.
"""

import itertools
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from typing import Final

from attrs import frozen

from laurelwind.state.crash_reports import (
    CrashReport,
    PartKey,
    PartKeys,
    find_series,
)
from laurelwind.state.endpoint_breaks import EndpointBreak, EndpointBreaks

# Failures, and different prompts among them, that blame a part.  The repeats of
# one prompt are one piece of evidence against each of its parts.
MIN_FAILURES: Final = 3
MIN_PROMPTS: Final = 2
# Failures that suffice for some of the parts that were blamed together.
MIN_FURTHER_FAILURES: Final = 2
# Lifetime of a report, in seconds.
REPORT_TTL_S: Final = 300.0
# The most reports that are kept, and how many of them make room for others.
MAX_REPORTS: Final = 256
DISCARDED_REPORTS: Final = 64
# The most attempts that are remembered, so that a report which was discarded is
# not taken for a new one when another daemon repeats it.
MAX_KNOWN_ATTEMPTS: Final = 4096
# The most parts of which answers are kept.
MAX_ANSWERED_PARTS: Final = 4096


# A report, and the parts that no answer has cleared.
_SuspectReport = tuple[CrashReport, PartKeys]


@frozen(kw_only=True)
class Culprit:
    """Parts that failures prove to be the cause of crashes.

    These are all parts that the failures have in common; the cause may be any
    of them.

    :ivar parts: the parts.
    :ivar since: moment since which all attempts with the parts have failed.
    """

    parts: PartKeys
    since: float


class CrashEvidence:
    """Reports of crashes, and the parts whose answers began."""

    def __init__(self) -> None:
        self._reports: dict[str, CrashReport] = {}
        self._known_attempts: dict[str, None] = {}
        self._breaks = EndpointBreaks()
        self._answered_services: dict[str, float] = {}
        # Moments of the last answers, the latest at the end.
        self._answered: dict[PartKey, float] = {}

    @property
    def reports(self) -> Collection[CrashReport]:
        """The reports, in the order of their arrival."""
        return self._reports.values()

    def add(self, report: CrashReport) -> bool:
        """Add a report; return whether it is new and blames any part.

        :param report: the report.
        """
        if report.attempt in self._known_attempts:
            return False
        self.record_break(report.broken)
        if not self.list_suspects(report):
            return False
        self._known_attempts[report.attempt] = None
        if len(self._known_attempts) > MAX_KNOWN_ATTEMPTS:
            self._known_attempts.pop(next(iter(self._known_attempts)))
        self._reports[report.attempt] = report
        self._expire(report.broke_at)
        return True

    def record_break(self, broken: EndpointBreak) -> bool:
        """Record a broken connection; return whether it begins an outage.

        :param broken: the connection.
        """
        return self._breaks.record(broken)

    def record_service_answer(self, service: str, began_at: float) -> None:
        """Record that a service answers, whatever the prompt.

        :param service: name of the service.
        :param began_at: moment at which an answer began.
        """
        self._answered_services[service] = began_at

    def record_answer(self, part: PartKey, began_at: float) -> bool:
        """Record an answer that began; return whether it clears any report.

        :param part: a shared part of its prompt.
        :param began_at: moment of its first event.
        """
        previous_at = self._answered.pop(part, float('-inf'))
        self._answered[part] = max(previous_at, began_at)
        if len(self._answered) > MAX_ANSWERED_PARTS:
            self._answered.pop(next(iter(self._answered)))
        cleared = [
            report
            for report in self._reports.values()
            if part in report.parts and previous_at < report.sent_at <= began_at
        ]
        for report in cleared:
            if not self.list_suspects(report):
                self._reports.pop(report.attempt)
        return bool(cleared)

    def get_answered_at(self, part: PartKey) -> float:
        """Return the moment of the last answer that began, or minus infinity.

        :param part: the part.
        """
        return self._answered.get(part, float('-inf'))

    def list_suspects(self, report: CrashReport) -> PartKeys:
        """Return the parts of a report that no answer has cleared since.

        :param report: the report.
        """
        return frozenset(
            part
            for part in report.parts
            if self.get_answered_at(part) < report.sent_at
        )

    def find_culprit(self, blocked: Collection[PartKeys]) -> Culprit | None:
        """Return what the reports prove to be the cause of crashes, if any.

        :param blocked: groups of parts that were found before.
        """
        unexplained = [
            (report, self.list_suspects(report))
            for report in self._list_unexplained(blocked)
        ]
        for parts in _list_remainders(blocked, unexplained):
            culprit = _build_culprit(
                parts,
                unexplained,
                min_endpoints=MIN_FURTHER_FAILURES,
                min_prompts=1,
            )
            if culprit is not None:
                return self._confirm(culprit)
        return self._confirm(self._find_common_cause(unexplained))

    def _list_unexplained(
        self, blocked: Collection[PartKeys]
    ) -> list[CrashReport]:
        """List the reports of crashes that no blocked prompt was on board of.

        A crash has one cause, so that the other attempts had no part in it.
        """
        crashes = [
            report
            for report in self._reports.values()
            if self._breaks.is_crash(report.endpoint, report.broke_at)
        ]
        explained = {
            report.endpoint
            for report in crashes
            if any(group <= report.parts for group in blocked)
        }
        return [
            report for report in crashes if report.endpoint not in explained
        ]

    def _find_common_cause(
        self, reports: Collection[_SuspectReport]
    ) -> Culprit | None:
        """Return the largest group of parts that the failures prove.

        The parts at the most crashes come first, and of these the ones whose
        last answer is the longest ago.
        """
        frequencies = _count_endpoints(reports)
        ranked = sorted(frequencies, key=self.get_answered_at)
        ranked.sort(key=frequencies.__getitem__, reverse=True)
        cause: Culprit | None = None
        for part in ranked:
            if frequencies[part] < MIN_FAILURES:
                break
            group = {part} if cause is None else cause.parts | {part}
            cause = (
                _build_culprit(
                    frozenset(group),
                    reports,
                    min_endpoints=MIN_FAILURES,
                    min_prompts=MIN_PROMPTS,
                )
                or cause
            )
        return cause

    def _confirm(self, culprit: Culprit | None) -> Culprit | None:
        """Return a culprit whose service has answered others meanwhile.

        Where nothing is answered, the failures have another cause.
        """
        if culprit is None:
            return None
        service = next(service for service, _ in culprit.parts)
        answered_at = self._answered_services.get(service, float('-inf'))
        return culprit if answered_at > culprit.since else None

    def _expire(self, now: float) -> None:
        outdated = [
            report.attempt
            for report in self._reports.values()
            if now - report.broke_at > REPORT_TTL_S
        ]
        if len(self._reports) > MAX_REPORTS:
            outdated.extend(self._iterate_weakest(DISCARDED_REPORTS))
        for attempt in outdated:
            self._reports.pop(attempt, None)

    def _iterate_weakest(self, count: int) -> Iterator[str]:
        """Iterate over the reports to drop: those whose parts failed least."""
        suspects = {
            report.attempt: self.list_suspects(report)
            for report in self._reports.values()
        }
        frequencies = Counter(itertools.chain.from_iterable(suspects.values()))
        strengths = {
            attempt: max((frequencies[part] for part in parts), default=0)
            for attempt, parts in suspects.items()
        }
        yield from sorted(strengths, key=strengths.__getitem__)[:count]


def _list_remainders(
    blocked: Iterable[PartKeys], reports: Iterable[_SuspectReport]
) -> set[PartKeys]:
    """List what is left of blocked groups in reports that they don't explain.

    One of the parts of a group is the cause, so that the others are likely to
    be sound.
    """
    remainders = {
        group & suspects for group in blocked for _, suspects in reports
    }
    return remainders - {frozenset()}


def _count_endpoints(reports: Iterable[_SuspectReport]) -> Counter[PartKey]:
    """Count the endpoints that crashed with each part on board."""
    pairs = {
        (part, report.endpoint)
        for report, suspects in reports
        for part in suspects
    }
    return Counter(part for part, _ in pairs)


def _build_culprit(
    parts: PartKeys,
    reports: Iterable[_SuspectReport],
    *,
    min_endpoints: int,
    min_prompts: int,
) -> Culprit | None:
    """Return a group of parts as the culprit if its failures suffice."""
    series = find_series(
        (report for report, suspects in reports if suspects.issuperset(parts)),
        min_endpoints=min_endpoints,
        min_prompts=min_prompts,
    )
    return Culprit(parts=parts, since=series[0].sent_at) if series else None
