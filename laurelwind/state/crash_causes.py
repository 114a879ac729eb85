"""Tells which crashes are explained by what is blocked."""

from collections.abc import Collection, Iterable, Sequence

from laurelwind.state.crash_reports import (
    CrashReport,
    SuspectKeys,
    select_requests,
)
from laurelwind.state.culprits import Culprit, compare_failures
from laurelwind.state.deadly_requests import list_recurring_crashes


def list_requests(blocked: Iterable[SuspectKeys]) -> SuspectKeys:
    """Return the whole requests among groups of blocked suspects.

    :param blocked: groups of suspects that are blocked.
    """
    return select_requests(frozenset().union(*blocked))


def list_unexplained(
    blocked: Collection[SuspectKeys], crashes: Iterable[CrashReport]
) -> Sequence[CrashReport]:
    """List the reports of crashes that no blocked suspect was on board of.

    A crash has one cause, so that the other attempts had no part in it.  A
    request that is blocked remains evidence against the parts of its prompt, of
    which one may be the cause.

    :param blocked: groups of suspects that are blocked.
    :param crashes: reports of crashes, each with the lifetime of its endpoint.
    """
    reports = list(crashes)
    causes: dict[str, set[SuspectKeys]] = {}
    for crash in reports:
        groups = {group for group in blocked if group <= crash.keys}
        causes.setdefault(crash.endpoint, set()).update(groups)
    return [
        report
        for report in reports
        if all(
            group <= report.keys and select_requests(group)
            for group in causes[report.endpoint]
        )
    ]


def weigh_culprit(
    culprit: Culprit,
    blocked: Collection[SuspectKeys],
    crashes: Iterable[CrashReport],
) -> Culprit:
    """Add to a culprit what tells whether it is one by chance.

    :param culprit: suspects that the failures have in common.
    :param blocked: groups of suspects that are blocked.
    :param crashes: reports of crashes, also those whose suspects were cleared.
    """
    failures = list_unexplained(blocked, crashes)
    explained = list_recurring_crashes(failures)
    blocked_requests = list_requests(blocked)
    return compare_failures(
        culprit,
        [
            report
            for report in failures
            if culprit.keys <= report.keys
            or (
                blocked_requests.isdisjoint(report.keys)
                and report.endpoint not in explained
            )
        ],
    )
