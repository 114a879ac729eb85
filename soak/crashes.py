"""Checks that prompts which crash endpoints cease to reach them."""

from collections.abc import Iterator, Sequence
from operator import itemgetter

from soak import bounds
from soak.callers import CallerRequest
from soak.fleet import Fleet


def check_crashes(
    fleet: Fleet, requests: Sequence[CallerRequest]
) -> Iterator[str]:
    """Yield a line if too many prompts crashed endpoints once it was known.

    :param fleet: executed requests and fault windows.
    :param requests: requests that have ended.
    """
    crashes = sorted(
        (
            (run.arrived_at, request)
            for request in requests
            for run in fleet.run_log.runs.get(request.request_id, [])
            if run.action == 'crash'
        ),
        key=itemgetter(0),
    )
    if len(crashes) < bounds.MIN_CRASHES:
        return
    known_at = crashes[bounds.MIN_CRASHES - 1][0] + bounds.SETTLE_S
    late = [
        f'{request.request_id} {arrived_at:.2f}'
        for arrived_at, request in crashes
        if arrived_at > known_at and _is_daemon_sound(fleet, request)
    ]
    if len(late) > bounds.MAX_LATE_CRASHES:
        yield f'crashes: {len(crashes)}, after {known_at:.2f}: {late}'


def _is_daemon_sound(fleet: Fleet, request: CallerRequest) -> bool:
    return all(
        fleet.fault_windows.is_fault_free(
            subject, request.sent_at - bounds.SETTLE_S, request.ended_at
        )
        for subject in ('store', request.daemon.subject)
    )
