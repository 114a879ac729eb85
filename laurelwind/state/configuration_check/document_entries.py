"""Findings on the chat daemon's documents, beside those of the validation."""

from collections.abc import Iterator
from typing import Any, Final

from laurelwind.state.configuration_check.findings import (
    Category,
    FieldPath,
    Finding,
    InstanceSize,
    Severity,
    build_finding,
)
from laurelwind.state.configuration_check.table_limits import check_body_limit
from laurelwind.state.document import (
    Document,
    Pool,
    Service,
    Version,
    VersionReference,
    VersionState,
    Workspace,
)

_ANY_METHOD: Final = '*'
_POOLS: Final = 'pools'
_SERVICES: Final = 'services'
_VERSIONS: Final = 'versions'
# States of versions that run requests: new ones, or those of begun sessions.
_RUNNING: Final = frozenset((VersionState.SERVING, VersionState.DRAINING))


def check_document_entries(
    document: Document, size: InstanceSize
) -> Iterator[Finding]:
    """Find the entries that no request can match, and limits above the memory.

    :param document: a document whose fields have the right types.
    :param size: what the smallest instance holds.
    """
    versions = _list_versions(document)
    yield from _check_pools(document, versions)
    yield from _check_users(document, versions)
    for name, service in document.services.items():
        yield from _check_routes((_SERVICES, name), service)
    for name, workspace in document.workspaces.items():
        path = ('workspaces', name)
        yield from _check_workspace(path, workspace, versions)
        yield from check_body_limit(
            (*path, 'limits', 'body_bytes'), workspace.limits.body_bytes, size
        )


def _build_unused(
    path: FieldPath,
    expected: str,
    field: Any,
    severity: Severity = Severity.WARNING,
) -> Finding:
    return build_finding(
        path, expected, field, severity=severity, category=Category.UNUSED
    )


def _list_versions(document: Document) -> dict[str, Version]:
    return {
        str(VersionReference(model=model_name, version=name)): version
        for model_name, model in document.models.items()
        for name, version in model.versions.items()
    }


def _check_pools(
    document: Document, versions: dict[str, Version]
) -> Iterator[Finding]:
    running = {
        version.pool
        for version in versions.values()
        if version.state in _RUNNING
    } | {service.pool for service in document.services.values()}
    named = running | {version.pool for version in versions.values()}
    for name, pool in document.pools.items():
        if name not in named:
            yield _build_unused(
                (_POOLS, name), 'no version or service names this pool', {}
            )
        yield from _check_endpoints((_POOLS, name), pool, name in running)


def _check_endpoints(
    path: FieldPath, pool: Pool, is_running: bool
) -> Iterator[Finding]:
    if all(endpoint.leaving for endpoint in pool.endpoints.values()):
        yield _build_unused(
            (*path, 'endpoints'),
            'expected an endpoint that is not leaving; every request to the'
            ' pool is refused',
            list(pool.endpoints),
            Severity.ERROR if is_running else Severity.WARNING,
        )


def _check_users(
    document: Document, versions: dict[str, Version]
) -> Iterator[Finding]:
    named = {
        reference
        for workspace in document.workspaces.values()
        for reference in workspace.versions
    }
    for reference, version in versions.items():
        if reference in named or version.state is VersionState.WITHDRAWN:
            continue
        parsed = VersionReference.parse(reference)
        yield _build_unused(
            ('models', parsed.model, _VERSIONS, parsed.version),
            'no workspace may use this version',
            reference,
        )
    called = {
        service
        for workspace in document.workspaces.values()
        for service in workspace.services
    }
    for service in document.services:
        if service not in called:
            yield _build_unused(
                (_SERVICES, service),
                'no workspace may call this service',
                service,
            )


def _check_routes(path: FieldPath, service: Service) -> Iterator[Finding]:
    for index, route in enumerate(service.routes):
        for before, first in enumerate(service.routes[:index]):
            covers_method = first.method in {_ANY_METHOD, route.method}
            if covers_method and route.path.startswith(first.path):
                yield _build_unused(
                    (*path, 'routes', str(index), 'path'),
                    f'routes.{before} before it covers its method and path and'
                    ' matches all calls',
                    route.path,
                )
                break


def _check_workspace(
    path: FieldPath, workspace: Workspace, versions: dict[str, Version]
) -> Iterator[Finding]:
    if not workspace.key_hashes:
        yield _build_unused(
            (*path, 'key_hashes'),
            'expected at least one key; no caller belongs to the workspace',
            [],
        )
    states = _list_states(workspace.versions, versions)
    if not workspace.services and _RUNNING.isdisjoint(states):
        yield _build_unused(
            (*path, _VERSIONS),
            'expected a version that runs, or a service; every request is'
            ' refused',
            list(workspace.versions),
            Severity.ERROR,
        )
    for name, task in workspace.tasks.items():
        states = _list_states(task.versions, versions)
        if VersionState.SERVING not in states:
            yield _build_unused(
                (*path, 'tasks', name, _VERSIONS),
                'expected a version in state serving; the task accepts no new'
                ' requests',
                list(task.versions),
            )


def _list_states(
    references: Any, versions: dict[str, Version]
) -> frozenset[VersionState]:
    return frozenset(
        versions[reference].state
        for reference in references
        if reference in versions
    )
