"""Limits of a routing table that contradict each other."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

from laurelwind.state.configuration_check.findings import (
    Category,
    FieldPath,
    Finding,
    InstanceSize,
    Severity,
    build_finding,
)
from laurelwind.state.configuration_check.table_rows import (
    Row,
    allows_common_region,
    list_routes,
    list_services,
    list_workspaces,
)
from laurelwind.state.routes import CallerLimits

# Names of routes that a finding lists; the number of the others follows them.
_MAX_NAMES: Final = 5
_BYTES_PER_MB: Final = 1_048_576
_TIMEOUT: Final = 'timeout_ms'
_LATENCY: Final = 'target_latency_ms'
_ATTEMPTS: Final = 'max_attempts'
_COLD_TIME: Final = 'cold_start_s'
_COLD_RATE: Final = 'cold_per_s'
_BODY: Final = 'max_body_bytes'


def check_table_limits(
    table: Mapping[str, Any], size: InstanceSize
) -> Iterator[Finding]:
    """Find the limits of a table that contradict each other.

    :param table: a table that daemons accept, as plain JSON types.
    :param size: what the smallest instance holds.
    """
    routes = list_routes(table)
    for route in routes:
        yield from _check_times(route)
    for service in list_services(table):
        yield from _check_cold_fields(service)
    for workspace in list_workspaces(table):
        yield from _check_regions(workspace, routes)
    limits = table.get('limits') or {}
    body_bytes = limits.get(_BODY, CallerLimits().body_bytes)
    yield from check_body_limit(('limits', _BODY), int(body_bytes), size)


def build_limit_finding(
    path: FieldPath,
    expected: str,
    field: Any,
    severity: Severity = Severity.WARNING,
) -> Finding:
    """Build a finding on a limit.

    :param path: names and indexes from the document to the field.
    :param expected: what is expected.
    :param field: the value.
    :param severity: what the finding costs.
    """
    return build_finding(
        path, expected, field, severity=severity, category=Category.LIMITS
    )


def check_body_limit(
    path: FieldPath, body_bytes: int, size: InstanceSize
) -> Iterator[Finding]:
    """Check that instances hold bodies of the size that is allowed.

    :param path: path of the limit.
    :param body_bytes: the limit in bytes.
    :param size: what the smallest instance holds.
    """
    if body_bytes > size.body_bytes:
        memory_mb = size.memory_bytes // _BYTES_PER_MB
        yield build_limit_finding(
            path,
            f'expected at most {size.body_bytes} bytes, which an instance of'
            f' {memory_mb} MB holds; larger bodies are refused',
            body_bytes,
        )
    elif body_bytes <= 0:
        yield build_limit_finding(
            path,
            'expected a number above zero; every body is refused',
            body_bytes,
        )


def _check_times(route: Row) -> Iterator[Finding]:
    fields = route.fields
    for name in (_LATENCY, 'target_gap_ms'):
        if fields.get(name, 1) <= 0:
            yield build_limit_finding(
                (*route.path, name),
                'expected a number above zero',
                fields[name],
            )
    if _TIMEOUT not in fields:
        return
    timeout_ms = fields[_TIMEOUT]
    if timeout_ms <= 0:
        yield build_limit_finding(
            (*route.path, _TIMEOUT),
            'expected a number above zero; no request has any time',
            timeout_ms,
            Severity.ERROR,
        )
        return
    yield from _check_latency(route, timeout_ms)


def _check_latency(route: Row, timeout_ms: float) -> Iterator[Finding]:
    latency_ms = route.fields.get(_LATENCY, 0)
    attempts = int(route.fields.get(_ATTEMPTS, 1))
    if latency_ms > timeout_ms:
        yield build_limit_finding(
            (*route.path, _TIMEOUT),
            f'expected at least the {_LATENCY} of {latency_ms}',
            timeout_ms,
        )
    elif attempts > 1 and attempts * latency_ms > timeout_ms:
        fitting = int(timeout_ms // latency_ms)
        yield build_limit_finding(
            (*route.path, _ATTEMPTS),
            f'expected at most {fitting}: that many attempts of the'
            f' {_LATENCY} of {latency_ms} fit into the {_TIMEOUT} of'
            f' {timeout_ms}',
            attempts,
        )


def _check_cold_fields(service: Row) -> Iterator[Finding]:
    cold_s = service.fields.get(_COLD_TIME) or 0
    cold_per_s = service.fields.get(_COLD_RATE) or 0
    for name, number in ((_COLD_TIME, cold_s), (_COLD_RATE, cold_per_s)):
        if number < 0:
            yield build_limit_finding(
                (*service.path, name), 'expected zero or more', number
            )
    if cold_s > 0 and not cold_per_s:
        yield build_limit_finding(
            (*service.path, _COLD_RATE),
            f'expected a rate above zero with the {_COLD_TIME} of {cold_s};'
            ' endpoints never count as cold',
            cold_per_s,
        )
    if cold_per_s > 0 and not cold_s:
        yield build_limit_finding(
            (*service.path, _COLD_TIME),
            f'expected a time above zero with the {_COLD_RATE} of'
            f' {cold_per_s}; endpoints never count as cold',
            cold_s,
        )


def _check_regions(workspace: Row, routes: Sequence[Row]) -> Iterator[Finding]:
    private = [route for route in routes if not route.is_public]
    names = [
        route.name
        for route in private
        if route.regions
        and workspace.regions
        and not allows_common_region(route, workspace)
    ]
    # A workspace that may use no route at all is found as an unused entry.
    if not names or len(names) == len(private):
        return
    shown = ', '.join(names[:_MAX_NAMES])
    others = len(names) - _MAX_NAMES
    rest = f' and {others} more' if others > 0 else ''
    yield build_limit_finding(
        workspace.regions_path,
        f'no region in common with the routes {shown}{rest}, which refuse its'
        ' requests',
        workspace.fields['allowed_regions'],
    )
