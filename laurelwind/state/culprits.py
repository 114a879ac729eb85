"""What the reports of crashes have in common."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from attrs import evolve, frozen

from laurelwind.state.crash_reports import (
    CrashReport,
    SuspectKey,
    SuspectKeys,
    find_series,
    is_request,
    select_parts,
    select_requests,
)

# Crashes that blame a suspect.
MIN_FAILURES: Final = 3

# A report, and the suspects that no answer has cleared.
SuspectReport = tuple[CrashReport, SuspectKeys]


@frozen(kw_only=True)
class Culprit:
    """Suspects that failures prove to be the cause of crashes.

    It is a whole request, or all parts that the failures have in common; the
    cause may be any of these.

    :ivar keys: the suspects.
    :ivar since: moment since which all attempts with the suspects have failed.
    :ivar share: share of the prompts on board of the crashes that hold them.
    :ivar failures: crashes with the suspects on board.
    :ivar unrelated: attempts that failed since then in other crashes.
    :ivar candidates: number of suspects of its kind on board of any of these.
    :ivar is_named: whether other failures named it before, so that it is no
        chance find.
    """

    keys: SuspectKeys
    since: float
    share: float
    failures: int = 0
    unrelated: int = 0
    candidates: int = 0
    is_named: bool = False

    @property
    def is_request(self) -> bool:
        """Whether the suspect is a whole request."""
        return any(map(is_request, self.keys))

    @property
    def service(self) -> str:
        """Name of the service of the suspects."""
        return next(service for service, _ in self.keys)

    def describe(self) -> Mapping[str, object]:
        """Return the fields of its log line."""
        return {
            'service': self.service,
            'parts': sorted(name for _, name in self.keys),
            'share': round(self.share, 3),
            'failures': self.failures,
            'unrelated': self.unrelated,
            'candidates': self.candidates,
        }


def list_remainders(
    blocked: Iterable[SuspectKeys], reports: Iterable[SuspectReport]
) -> set[SuspectKeys]:
    """List what is left of blocked groups in reports that they don't explain.

    One of the suspects of a group is the cause, so that the others are likely
    to be sound.

    :param blocked: groups of suspects that are blocked.
    :param reports: reports that no group explains.
    """
    remainders = {
        group & suspects for group in blocked for _, suspects in reports
    }
    return remainders - {frozenset()}


def find_known_before(
    known: Iterable[SuspectKeys], reports: Iterable[SuspectReport]
) -> Culprit | None:
    """Return suspects that were blocked, here or elsewhere, and failed again.

    :param known: groups of suspects that are or were blocked.
    :param reports: reports that no group explains.
    """
    names_blocked = [{name for _, name in group} for group in known]
    for report, suspects in reports:
        for names in names_blocked:
            keys = frozenset(key for key in suspects if key[1] in names)
            if len(keys) == len(names):
                return Culprit(keys=keys, since=report.sent_at, share=1)
    return None


def add_companions(
    culprit: Culprit, reports: Collection[SuspectReport]
) -> Culprit:
    """Add the suspects that were on board of all the same crashes.

    Either may be the cause, so that only prompts which hold them all are to be
    rejected.

    :param culprit: suspects that the failures prove to be the cause.
    :param reports: reports that no blocked group explains.
    """
    failures = [pair for pair in reports if pair[1] >= culprit.keys]
    crashes = {report.endpoint for report, _ in failures}
    keys = culprit.keys
    for key in sorted({key for _, suspects in failures for key in suspects}):
        group = keys | {key}
        endpoints = {
            report.endpoint for report, suspects in reports if key in suspects
        }
        is_held = any(suspects >= group for _, suspects in failures)
        if is_held and endpoints >= crashes:
            keys = group
    return evolve(culprit, keys=keys)


def count_values(
    reports: Iterable[SuspectReport], attribute: str
) -> Counter[SuspectKey]:
    """Count the different values of an attribute by suspect.

    :param reports: the reports.
    :param attribute: name of an attribute of the reports.
    """
    pairs = {
        (key, getattr(report, attribute))
        for report, suspects in reports
        for key in suspects
    }
    return Counter(key for key, _ in pairs)


def build_culprit(
    keys: SuspectKeys,
    reports: Collection[SuspectReport],
    *,
    min_endpoints: int,
    min_prompts: int,
) -> Culprit | None:
    """Return a group of suspects as the culprit if its failures suffice.

    :param keys: the group.
    :param reports: reports that no blocked group explains.
    :param min_endpoints: fewest different endpoints in a series of failures.
    :param min_prompts: fewest different prompts in the series.
    """
    failures = [
        report for report, suspects in reports if suspects.issuperset(keys)
    ]
    series = find_series(
        failures, min_endpoints=min_endpoints, min_prompts=min_prompts
    )
    if not series:
        return None
    endpoints = {report.endpoint for report in failures}
    prompts = {
        report.prompt for report, _ in reports if report.endpoint in endpoints
    }
    return Culprit(
        keys=keys,
        since=series[0].sent_at,
        share=len({report.prompt for report in failures}) / len(prompts),
    )


def compare_failures(
    culprit: Culprit, failures: Collection[CrashReport]
) -> Culprit:
    """Count the failures with the suspects of a culprit, and those without.

    :param culprit: suspects that the failures have in common.
    :param failures: all failures that no blocked group explains, also those
        whose suspects were cleared.
    """
    recent = [
        report
        for report in failures
        if report.service == culprit.service
        and report.broke_at >= culprit.since
        and _list_kind(report, culprit)
    ]
    crashes = {
        report.endpoint for report in recent if report.keys >= culprit.keys
    }
    candidates = {
        key for report in recent for key in _list_kind(report, culprit)
    }
    return evolve(
        culprit,
        failures=len(crashes),
        unrelated=sum(report.endpoint not in crashes for report in recent),
        candidates=1 if culprit.is_named else len(candidates),
    )


def _list_kind(report: CrashReport, culprit: Culprit) -> SuspectKeys:
    """Return the suspects of a report that are of the culprit's kind."""
    select = select_requests if culprit.is_request else select_parts
    return select(report.keys)
