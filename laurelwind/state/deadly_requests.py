"""Finds requests that crash the endpoints which run them."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Final

from laurelwind.state.crash_reports import (
    CrashReport,
    SuspectKey,
    SuspectKeys,
    is_request,
    select_requests,
)
from laurelwind.state.culprits import (
    MIN_FAILURES,
    Culprit,
    SuspectReport,
    build_culprit,
)

# Crashes that blame a request though another suspect explains each of them.
MIN_SHARED_FAILURES: Final = 5

# The crashes that each suspect was on board of.
_Crashes = Mapping[SuspectKey, set[str]]


def find_deadly_requests(
    reports: Collection[SuspectReport],
) -> Iterator[Culprit]:
    """Iterate over the requests that failures prove to crash endpoints.

    The one at the most crashes comes first.

    :param reports: reports of a service that no blocked group explains.
    """
    crashes = _group_crashes(reports)
    counts = {key: len(crashes[key]) for key in filter(is_request, crashes)}
    for request in sorted(counts, key=counts.__getitem__, reverse=True):
        if counts[request] < MIN_FAILURES:
            break
        others = crashes.keys() - _list_own_keys(request, reports)
        is_explained = any(
            _explains(other, request, crashes) for other in others
        )
        if is_explained and counts[request] < MIN_SHARED_FAILURES:
            continue
        culprit = build_culprit(
            frozenset((request,)),
            reports,
            min_endpoints=MIN_FAILURES,
            min_prompts=1,
        )
        if culprit is not None:
            yield culprit


def list_recurring_crashes(reports: Collection[CrashReport]) -> set[str]:
    """Return the crashes with a request on board that recurs in many of them.

    They are likely to have that cause.

    :param reports: reports of crashes that no blocked group explains.
    """
    crashes = _group_crashes((report, report.keys) for report in reports)
    return set().union(
        *(
            endpoints
            for key, endpoints in crashes.items()
            if is_request(key) and len(endpoints) >= MIN_SHARED_FAILURES
        )
    )


def recurs_alone(keys: SuspectKeys, reports: Iterable[SuspectReport]) -> bool:
    """Return whether a request had enough crashes before its newest one.

    What other daemons know of these has arrived meanwhile.  Where another
    request has as many, its report of the newest crash may be under way.

    :param keys: the request, and parts of its prompt.
    :param reports: reports of crashes, the newest one of the request included.
    """
    crashes = _group_crashes(reports)
    recurring = {
        key
        for key, endpoints in crashes.items()
        if is_request(key) and len(endpoints) >= MIN_FAILURES
    }
    return recurring == select_requests(keys) and any(
        len(crashes[request]) > MIN_FAILURES for request in recurring
    )


def _group_crashes(reports: Iterable[SuspectReport]) -> _Crashes:
    crashes: dict[SuspectKey, set[str]] = defaultdict(set)
    for report, suspects in reports:
        for key in suspects:
            crashes[key].add(report.endpoint)
    return crashes


def _list_own_keys(
    request: SuspectKey, reports: Collection[SuspectReport]
) -> SuspectKeys:
    """Return a request and the parts of its prompt."""
    return frozenset(
        key
        for _, suspects in reports
        if request in suspects
        for key in suspects
    )


def _explains(
    other: SuspectKey, request: SuspectKey, crashes: _Crashes
) -> bool:
    """Return whether another suspect explains all crashes of a request.

    A part that was on board of just the same crashes is likely to be one that
    most prompts have.
    """
    if is_request(other):
        return crashes[other] >= crashes[request]
    return crashes[other] > crashes[request]
