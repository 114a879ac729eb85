"""Checks that what endpoints announce in their answers is followed."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

from soak import bounds
from soak.callers import CallerRequest
from soak.fleet import Fleet
from soak.rate_limits import check_rate_limits
from standins.notices import PauseAnswer

_OK = 200


def check_announcements(
    fleet: Fleet, requests: Sequence[CallerRequest]
) -> Iterator[str]:
    """Yield a line for each announcement that a daemon did not follow.

    :param fleet: executed requests and fault windows.
    :param requests: requests that have ended.
    """
    yield from _check_leaving(fleet, requests)
    yield from _check_pauses(fleet, requests)
    yield from check_rate_limits(fleet, requests)


def _check_leaving(
    fleet: Fleet, requests: Sequence[CallerRequest]
) -> Iterator[str]:
    """Check that no request runs where an answer said that its endpoint leaves.

    A restart of the daemon excuses it.
    """
    told_at: dict[tuple[str, str], float] = {}
    for request in sorted(requests, key=lambda ended: ended.ended_at):
        runs = fleet.run_log.runs.get(request.request_id, [])
        if runs and runs[-1].is_leaving and request.status == _OK:
            told = (request.incarnation, runs[-1].endpoint)
            told_at.setdefault(told, request.ended_at)
    for request in requests:
        for run in fleet.run_log.runs.get(request.request_id, []):
            told = (request.incarnation, run.endpoint)
            since = told_at.get(told, float('inf'))
            if request.sent_at > since + bounds.DRAIN_S:
                yield (
                    f'leaving: {request.request_id} ran at {run.endpoint},'
                    f' which had told {request.incarnation} at {since:.2f},'
                    f' sent {request.sent_at:.2f}'
                )


def _check_pauses(
    fleet: Fleet, requests: Sequence[CallerRequest]
) -> Iterator[str]:
    """Check that hardly any request comes while an endpoint asks for a pause.

    A fault of the daemon or of the endpoint's link excuses it.
    """
    by_id = {request.request_id: request for request in requests}
    for answers in _group_pauses(fleet, by_id).values():
        first = answers[0]
        daemon = by_id[first.request_id].daemon
        late = [
            f'{answer.request_id} {answer.asked_at:.2f}'
            for answer in answers
            if answer.asked_at > first.asked_at + bounds.PAUSE_HEEDED_S
        ]
        is_sound = all(
            fleet.fault_windows.is_fault_free(
                subject, first.asked_at, first.ends_at
            )
            for subject in (daemon.subject, f'endpoint {first.endpoint}')
        )
        if is_sound and len(late) > bounds.MAX_LATE_IN_PAUSE:
            yield (
                f'pause: {first.endpoint} asked {daemon.name} at'
                f' {first.asked_at:.2f} until {first.ends_at:.2f}: {late}'
            )


def _group_pauses(
    fleet: Fleet, requests: Mapping[str, CallerRequest]
) -> Mapping[tuple[str, str, float], Sequence[PauseAnswer]]:
    """Group the answers of each pause by the process that got them."""
    groups = defaultdict(list)
    for answer in fleet.run_log.pauses:
        request = requests.get(answer.request_id)
        if request is not None:
            group = (request.incarnation, answer.endpoint, answer.ends_at)
            groups[group].append(answer)
    return groups
