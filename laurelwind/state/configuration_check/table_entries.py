"""Entries of a routing table that no request can match."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final, TypeVar

from laurelwind.state.configuration_check.findings import (
    Category,
    FieldPath,
    Finding,
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

Subject = TypeVar('Subject')

_WORKSPACES: Final = 'tenants'


def check_table_entries(table: Mapping[str, Any]) -> Iterator[Finding]:
    """Find the entries of a table that no request can match.

    :param table: a table that daemons accept, as plain JSON types.
    """
    routes = list_routes(table)
    services = list_services(table)
    for rows in (routes, services, list_workspaces(table)):
        yield from _check_names(rows)
    yield from _check_matches(routes)
    for route in routes:
        yield from _check_split(route)
        yield from _check_targets(route, services)
        yield from _check_models(route, services)
    yield from _check_services(routes, services)
    if _WORKSPACES in table:
        yield from _check_keys(list_workspaces(table))
        yield from _check_users(routes, list_workspaces(table))


def _build_unused(
    path: FieldPath,
    expected: str,
    field: Any,
    severity: Severity = Severity.WARNING,
) -> Finding:
    return build_finding(
        path, expected, field, severity=severity, category=Category.UNUSED
    )


def _iterate_repeats(
    subjects: Sequence[Subject], get_identity: Callable[[Subject], object]
) -> Iterator[tuple[Subject, Subject]]:
    """Iterate over subjects whose identity occurs before, after the first."""
    firsts: dict[object, Subject] = {}
    for subject in subjects:
        first = firsts.setdefault(get_identity(subject), subject)
        if first is not subject:
            yield first, subject


def _check_names(rows: Sequence[Row]) -> Iterator[Finding]:
    for first, row in _iterate_repeats(rows, lambda row: row.name):
        first_path = '.'.join(first.path)
        yield _build_unused(
            (*row.path, 'name'),
            f'expected a name other than that of {first_path}',
            row.name,
        )


def _check_matches(routes: Sequence[Row]) -> Iterator[Finding]:
    for first, route in _iterate_repeats(routes, _get_target):
        yield _build_unused(
            (*route.path, 'path_prefix'),
            f'route {first.name} before it has the same host and prefix and'
            ' gets all requests',
            route.fields['path_prefix'],
        )
    for route in routes:
        prefix = route.fields['path_prefix']
        if not prefix.startswith('/') or not {'?', '#'}.isdisjoint(prefix):
            yield _build_unused(
                (*route.path, 'path_prefix'),
                'expected a path that begins with a slash, without a query; no'
                ' request matches',
                prefix,
            )
        # The port of a request's host is not compared.
        if ':' in route.fields['host']:
            yield _build_unused(
                (*route.path, 'host'),
                'expected a host without a port; no request matches',
                route.fields['host'],
            )


def _get_target(route: Row) -> tuple[str, str]:
    return route.fields['host'].lower(), route.fields['path_prefix']


def _check_split(route: Row) -> Iterator[Finding]:
    path = (*route.path, 'backends')
    if not route.services:
        yield _build_unused(
            path,
            'expected a weight above zero; every request is refused',
            [backend['weight'] for backend in route.backends],
            Severity.ERROR,
        )
        return
    for index, backend in enumerate(route.backends):
        if backend['weight'] <= 0:
            yield _build_unused(
                (*path, str(index), 'weight'),
                'expected a weight above zero; the service gets no request',
                backend['weight'],
            )


def _check_targets(route: Row, services: Sequence[Row]) -> Iterator[Finding]:
    """Find services that a table with services does not list."""
    listed = {service.name for service in services}
    for name in sorted(route.services - listed if listed else ()):
        yield build_finding(
            route.path,
            f'expected service {name} among the services; its engines and'
            ' limits are unknown',
            route.name,
            severity=Severity.WARNING,
        )


def _check_models(route: Row, services: Sequence[Row]) -> Iterator[Finding]:
    for service in services:
        known = {model['name'] for model in service.engine_models.values()}
        if not known or service.name not in route.services:
            continue
        for index, name in enumerate(route.models):
            if name not in known:
                yield _build_unused(
                    (*route.path, 'sizes', str(index)),
                    f'expected a model of service {service.name}',
                    name,
                )


def _check_services(
    routes: Sequence[Row], services: Sequence[Row]
) -> Iterator[Finding]:
    for service in services:
        users = [route for route in routes if service.name in route.services]
        if not users:
            yield _build_unused(
                (*service.path, 'name'),
                'no route sends requests to this service',
                service.name,
            )
            continue
        # Callers of a route without models name any of them.
        if not all(route.models for route in users):
            continue
        named = {model for route in users for model in route.models}
        for index, model in service.engine_models.items():
            if model['name'] not in named:
                yield _build_unused(
                    (*service.path, 'engine', 'models', index, 'name'),
                    'no route names this model',
                    model['name'],
                )


def _check_keys(workspaces: Sequence[Row]) -> Iterator[Finding]:
    keys = [
        (key, (*workspace.path, 'api_keys', str(index)))
        for workspace in workspaces
        for index, key in enumerate(workspace.keys)
    ]
    # The last workspace with a key has it.
    for last, repeated in _iterate_repeats(
        tuple(reversed(keys)), lambda pair: pair[0]
    ):
        owner = '.'.join(last[1])
        yield _build_unused(
            repeated[1], f'expected a key other than {owner}', repeated[0]
        )
    for workspace in workspaces:
        if not workspace.keys:
            yield _build_unused(
                (*workspace.path, 'api_keys'),
                'expected at least one key; no caller belongs to the workspace',
                workspace.keys,
            )


def _check_users(
    routes: Sequence[Row], workspaces: Sequence[Row]
) -> Iterator[Finding]:
    private = [route for route in routes if not route.is_public]
    callers = [workspace for workspace in workspaces if workspace.keys]
    if private and not callers:
        yield _build_unused(
            (_WORKSPACES,),
            'expected a workspace with a key; the routes that are not public'
            ' refuse every request',
            [workspace.name for workspace in workspaces],
            Severity.ERROR,
        )
        return
    for workspace in callers:
        if private and not any(
            allows_common_region(route, workspace) for route in private
        ):
            yield _build_unused(
                workspace.regions_path,
                'expected a region that a route allows; the workspace may use'
                ' no route',
                workspace.fields.get('allowed_regions'),
                Severity.ERROR,
            )
    for route in routes:
        yield from _check_callers(route, callers)


def _check_callers(route: Row, callers: Sequence[Row]) -> Iterator[Finding]:
    is_usable = route.regions is None or bool(route.regions)
    if not route.is_public:
        is_usable = any(
            allows_common_region(route, workspace) for workspace in callers
        )
    if not is_usable:
        yield _build_unused(
            route.regions_path,
            'expected a region that a workspace allows; every request is'
            ' refused',
            route.fields.get('allowed_regions'),
            Severity.ERROR,
        )
