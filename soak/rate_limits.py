"""Checks that the daemons together keep the rate limits of endpoints."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

from soak import bounds
from soak.callers import CallerRequest
from soak.fleet import Fleet
from standins.notices import Arrival


def check_rate_limits(
    fleet: Fleet, requests: Sequence[CallerRequest]
) -> Iterator[str]:
    """Yield a line for each limit that was exceeded.

    Counted is what reaches an endpoint from daemon processes that got an
    answer with a limit a while before. A fault of a daemon or of the endpoint's
    link excuses what that daemon sends.
    """
    by_id = {request.request_id: request for request in requests}
    for endpoint, arrivals in _group_by_endpoint(fleet).items():
        for span in _split_limited(arrivals):
            counted = list(_select_counted(fleet, span, by_id))
            text = _find_excess(endpoint, span, counted)
            if text is not None:
                yield text


def _group_by_endpoint(fleet: Fleet) -> Mapping[str, Sequence[Arrival]]:
    groups = defaultdict(list)
    for arrival in sorted(
        fleet.run_log.arrivals, key=lambda arrival: arrival.answered_at
    ):
        groups[arrival.endpoint].append(arrival)
    return groups


def _split_limited(arrivals: Sequence[Arrival]) -> Iterator[list[Arrival]]:
    """Yield the arrivals of each time in which an endpoint states a limit."""
    span: list[Arrival] = []
    for arrival in arrivals:
        if arrival.rate_limit is not None:
            span.append(arrival)
        elif span:
            yield span
            span = []
    if span:
        yield span


def _select_counted(
    fleet: Fleet,
    span: Sequence[Arrival],
    requests: Mapping[str, CallerRequest],
) -> Iterator[Arrival]:
    informed_at: dict[str, float] = {}
    for arrival in span:
        request = requests.get(arrival.request_id)
        if request is None:
            continue
        since = informed_at.setdefault(request.incarnation, arrival.answered_at)
        if arrival.at < since + bounds.LIMIT_HEEDED_S:
            continue
        subjects = (request.daemon.subject, f'endpoint {arrival.endpoint}')
        if all(
            fleet.fault_windows.is_fault_free(
                subject, arrival.at - bounds.LIMIT_WINDOW_S, arrival.at
            )
            for subject in subjects
        ):
            yield arrival


def _find_excess(
    endpoint: str, span: Sequence[Arrival], counted: Sequence[Arrival]
) -> str | None:
    started_at = span[0].answered_at
    for last in counted:
        if last.at < started_at + bounds.LIMIT_CHECKED_AFTER_S:
            continue
        since = last.at - bounds.LIMIT_WINDOW_S
        window = [
            arrival for arrival in counted if since < arrival.at <= last.at
        ]
        rate = max(
            (
                arrival.rate_limit
                for arrival in span
                if arrival.rate_limit is not None
                and since - bounds.LIMIT_WINDOW_S < arrival.at <= last.at
            ),
        )
        allowed = rate * bounds.LIMIT_WINDOW_S * bounds.LIMIT_FACTOR
        if len(window) > allowed + bounds.LIMIT_EXTRA:
            return (
                f'limit: {endpoint} stated {rate} a second from'
                f' {started_at:.2f} and got {len(window)} requests in'
                f' {bounds.LIMIT_WINDOW_S} s until {last.at:.2f}; allowed'
                f' {allowed + bounds.LIMIT_EXTRA:.0f}'
            )
    return None
