"""Checks that new routing tables let callers in."""

from collections.abc import Iterator, Sequence

from soak import bounds
from soak.callers import CallerRequest
from soak.fleet import Fleet

_UNAUTHORIZED = 401


def check_admission(
    fleet: Fleet, requests: Sequence[CallerRequest]
) -> Iterator[str]:
    """Yield a line for each caller that only an older table turns away.

    Faults of the daemon or of its store excuse it, those of other daemons or
    of their store do not.

    :param fleet: published tables and fault windows.
    :param requests: requests that have ended.
    """
    for request in requests:
        since = request.sent_at - bounds.APPLY_S
        if (
            request.status == _UNAUTHORIZED
            and _is_key_in_force(fleet, request, since)
            and fleet.is_undisturbed(request.daemon, since, request.ended_at)
        ):
            yield (
                f'table: {request.request_id} sent {request.sent_at:.2f} to'
                f' {request.incarnation} was denied with a key that was in'
                f' force {bounds.APPLY_S:.1f} s before'
            )


def _is_key_in_force(
    fleet: Fleet, request: CallerRequest, since: float
) -> bool:
    """Return whether a key is in each table from a time to the answer."""
    tables = fleet.tables
    ends = [table.published_at for table in tables[1:]]
    return all(
        request.key in table.keys
        for table, ended_at in zip(tables, [*ends, float('inf')], strict=True)
        if table.published_at <= request.ended_at and ended_at >= since
    )
