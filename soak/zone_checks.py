"""Checks the bounds on evacuated zones and cold endpoints."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

from soak import bounds
from soak.callers import CallerRequest
from soak.fleet import Fleet
from soak.zone_faults import ColdSpan, Evacuation, ZoneFaults
from standins.notices import Arrival

_WINDOW_S = 1.0


def check_zones(
    fleet: Fleet, requests: Sequence[CallerRequest], faults: ZoneFaults
) -> Iterator[str]:
    """Yield a line for each evacuation and cold time that was not respected.

    Requests that were answered with 421 do not count.

    :param fleet: arrivals at endpoints, and fault windows.
    :param requests: requests that have ended.
    :param faults: evacuations and cold times.
    """
    arrivals = defaultdict(list)
    for arrival in fleet.run_log.arrivals:
        if not arrival.is_misdirected:
            arrivals[arrival.endpoint].append(arrival)
    by_id = {request.request_id: request for request in requests}
    for evacuation in faults.evacuations:
        yield from _check_evacuation(fleet, evacuation, arrivals, by_id)
    for span in faults.cold_spans:
        text = _find_excess(fleet, span, arrivals[span.endpoint])
        if text is not None:
            yield text


def _check_evacuation(
    fleet: Fleet,
    evacuation: Evacuation,
    arrivals: Mapping[str, Sequence[Arrival]],
    requests: Mapping[str, CallerRequest],
) -> Iterator[str]:
    """Check that no daemon that reaches the store sends to the zone."""
    since = evacuation.written_at + bounds.EVACUATE_S
    for name, zone in fleet.zones.items():
        if zone != evacuation.zone:
            continue
        for arrival in arrivals.get(name, ()):
            request = requests.get(arrival.request_id)
            if request is None or not since < arrival.at < (
                evacuation.removed_at
            ):
                continue
            if fleet.is_undisturbed(
                request.daemon, evacuation.written_at, arrival.at
            ):
                yield (
                    f'evacuated: {arrival.request_id} reached {name} in {zone}'
                    f' at {arrival.at:.2f} from {request.incarnation}, the'
                    f' record was written at {evacuation.written_at:.2f}'
                )


def _find_excess(
    fleet: Fleet, span: ColdSpan, arrivals: Sequence[Arrival]
) -> str | None:
    """Find a second in which too many requests reached a cold endpoint.

    All daemons count, in contact or not. A fault of the endpoint's link excuses
    it, as requests arrive together at its end; and where the endpoint did not
    crash, a fault of the store, as no daemon could read its entry.
    """
    subjects = [f'endpoint {span.endpoint}']
    if span.is_stated:
        subjects.append('store')
    if not all(
        fleet.fault_windows.is_fault_free(
            subject, span.since - bounds.DRAIN_S, span.until
        )
        for subject in subjects
    ):
        return None
    moments = sorted(
        arrival.at
        for arrival in arrivals
        if span.since <= arrival.at <= span.until
    )
    most = max(
        (
            sum(last - _WINDOW_S < at <= last for at in moments)
            for last in moments
        ),
        default=0,
    )
    allowed = bounds.COLD_PER_S * bounds.COLD_OVERAGE + bounds.COLD_TOLERANCE
    if most <= allowed:
        return None
    return (
        f'cold: {most} requests in {_WINDOW_S} s reached {span.endpoint}, cold'
        f' from {span.since:.2f} to {span.until:.2f}; allowed {allowed:.0f}'
    )
