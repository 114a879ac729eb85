"""Checks that prompts and requests that crash endpoints cease to reach them."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from operator import itemgetter

from soak import bounds
from soak.callers import CallerRequest
from soak.fleet import Fleet


def check_crashes(
    fleet: Fleet, requests: Sequence[CallerRequest]
) -> Iterator[str]:
    """Yield a line if too many requests crashed endpoints once it was known.

    :param fleet: executed requests and fault windows.
    :param requests: requests that have ended.
    """
    groups: dict[bytes, list[CallerRequest]] = defaultdict(list)
    for request in requests:
        groups[request.repeated].append(request)
    for repeated, group in groups.items():
        if repeated:
            yield from _check_group(
                fleet,
                group,
                min_crashes=bounds.MIN_REPEATED_CRASHES,
                max_late=bounds.MAX_LATE_REPEATS,
            )
        else:
            yield from _check_group(
                fleet,
                group,
                min_crashes=bounds.MIN_CRASHES,
                max_late=bounds.MAX_LATE_CRASHES,
            )


def _check_group(
    fleet: Fleet,
    requests: Sequence[CallerRequest],
    *,
    min_crashes: int,
    max_late: int,
) -> Iterator[str]:
    """Check requests that crash endpoints for the same cause."""
    crashes = sorted(
        (
            (run.arrived_at, request)
            for request in requests
            for run in fleet.run_log.runs.get(request.request_id, [])
            if run.action == 'crash'
        ),
        key=itemgetter(0),
    )
    if len(crashes) < min_crashes:
        return
    known_at = crashes[min_crashes - 1][0] + bounds.SETTLE_S
    late = [
        f'{request.request_id} {arrived_at:.2f}'
        for arrived_at, request in crashes
        if arrived_at > known_at and _is_daemon_sound(fleet, request)
    ]
    if len(late) > max_late:
        yield f'crashes: {len(crashes)}, after {known_at:.2f}: {late}'


def _is_daemon_sound(fleet: Fleet, request: CallerRequest) -> bool:
    return all(
        fleet.fault_windows.is_fault_free(
            subject, request.sent_at - bounds.SETTLE_S, request.ended_at
        )
        for subject in ('store', request.daemon.subject)
    )
