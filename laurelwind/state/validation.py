"""Validation of configuration documents; reports all faults at once."""

import ipaddress
import re
from collections.abc import Iterator, Sequence
from typing import Any, Final

from laurelwind.errors import ConfigurationError, ErrorKind, Fault
from laurelwind.state.conversion import structure_strictly
from laurelwind.state.document import (
    SCHEMA_NUMBER,
    Document,
    Pool,
    Service,
    Task,
    Version,
    VersionReference,
    Workspace,
)

_HASH_PATTERN: Final = re.compile('[0-9a-f]{64}')
_NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_MAX_PORT: Final = 65535
_EXPECTED_POSITIVE: Final = 'expected a number above zero'
_EXPECTED_NOT_NEGATIVE: Final = 'expected zero or more'


def read_document(raw: Any) -> Document:
    """Build a document from plain JSON types and validate it.

    :param raw: the document as plain JSON types.
    :raises ConfigurationError: listing every fault with its path.
    """
    document = structure_strictly(raw, Document)
    faults = check_document(document)
    if faults:
        raise ConfigurationError(
            ErrorKind.CONFIGURATION_INVALID,
            f'{len(faults)} faults in the document',
            faults=faults,
        )
    return document


def check_document(document: Document) -> Sequence[Fault]:
    """List the faults in a document whose fields have the right types.

    :param document: the document to check.
    """
    return tuple(_iterate_faults(document))


def is_address(text: str) -> bool:
    """Return whether a text is ``host:port`` with a numeric host.

    :param text: the text to check.
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= _MAX_PORT


def is_hash(text: str) -> bool:
    """Return whether a text is a SHA-256 hash in lowercase hex.

    :param text: the text to check.
    """
    return _HASH_PATTERN.fullmatch(text) is not None


def _iterate_faults(document: Document) -> Iterator[Fault]:
    if document.schema != SCHEMA_NUMBER:
        yield Fault(path='schema', expected=f'expected {SCHEMA_NUMBER}')
    yield from _check_names(document)
    yield from _check_models(document)
    for name, pool in document.pools.items():
        yield from _check_pool(f'pools.{name}', pool)
    for name, service in document.services.items():
        yield from _check_service(f'services.{name}', service, document)
    for name, workspace in document.workspaces.items():
        yield from _check_workspace(f'workspaces.{name}', workspace, document)
    yield from _check_shared_keys(document)


def _check_names(document: Document) -> Iterator[Fault]:
    tables = {
        'models': document.models,
        'pools': document.pools,
        'services': document.services,
        'workspaces': document.workspaces,
    }
    for table, entries in tables.items():
        for name in entries:
            if not _NAME_PATTERN.fullmatch(name):
                yield _build_name_fault(f'{table}.{name}')
    for model_name, model in document.models.items():
        for name in model.versions:
            if not _NAME_PATTERN.fullmatch(name):
                yield _build_name_fault(f'models.{model_name}.versions.{name}')


def _build_name_fault(path: str) -> Fault:
    return Fault(
        path=path,
        expected='expected 1 to 63 letters, digits, dots, dashes, underscores',
    )


def _check_models(document: Document) -> Iterator[Fault]:
    for model_name, model in document.models.items():
        for name, version in model.versions.items():
            path = f'models.{model_name}.versions.{name}'
            yield from _check_version(path, version, document)


def _check_version(
    path: str,
    version: Version,
    document: Document,
) -> Iterator[Fault]:
    if version.pool not in document.pools:
        yield Fault(
            path=f'{path}.pool',
            expected='expected the name of a pool in the document',
        )
    if version.price.prompt < 0:
        yield Fault(
            path=f'{path}.price.prompt', expected=_EXPECTED_NOT_NEGATIVE
        )
    if version.price.completion < 0:
        yield Fault(
            path=f'{path}.price.completion', expected=_EXPECTED_NOT_NEGATIVE
        )
    if not 0 < version.expected_pass_rate < 1:
        yield Fault(
            path=f'{path}.expected_pass_rate',
            expected='expected a number between zero and one',
        )


def _check_pool(path: str, pool: Pool) -> Iterator[Fault]:
    if pool.in_flight < 1:
        yield Fault(path=f'{path}.in_flight', expected=_EXPECTED_POSITIVE)
    for name, endpoint in pool.endpoints.items():
        if not is_address(endpoint.address):
            yield Fault(
                path=f'{path}.endpoints.{name}.address',
                expected='expected an IP address and a port',
            )


def _check_service(
    path: str,
    service: Service,
    document: Document,
) -> Iterator[Fault]:
    if service.pool not in document.pools:
        yield Fault(
            path=f'{path}.pool',
            expected='expected the name of a pool in the document',
        )
    if service.price < 0:
        yield Fault(path=f'{path}.price', expected=_EXPECTED_NOT_NEGATIVE)
    for index, route in enumerate(service.routes):
        if not route.path.startswith('/'):
            yield Fault(
                path=f'{path}.routes.{index}.path',
                expected='expected a path that begins with a slash',
            )


def _check_workspace(
    path: str,
    workspace: Workspace,
    document: Document,
) -> Iterator[Fault]:
    for index, key_hash in enumerate(workspace.key_hashes):
        if not is_hash(key_hash):
            yield Fault(
                path=f'{path}.key_hashes.{index}',
                expected='expected a SHA-256 hash of 64 hex digits',
            )
    for index, reference in enumerate(workspace.versions):
        if not _has_version(document, reference):
            yield Fault(
                path=f'{path}.versions.{index}',
                expected='expected model@version of a version in the document',
            )
    for index, service in enumerate(workspace.services):
        if service not in document.services:
            yield Fault(
                path=f'{path}.services.{index}',
                expected='expected the name of a service in the document',
            )
    for name, task in workspace.tasks.items():
        yield from _check_task(f'{path}.tasks.{name}', task, workspace)
    yield from _check_limits(f'{path}.limits', workspace)


def _check_task(path: str, task: Task, workspace: Workspace) -> Iterator[Fault]:
    if not 0 <= task.quality <= 1:
        yield Fault(
            path=f'{path}.quality',
            expected='expected a number from zero to one',
        )
    if not task.versions:
        yield Fault(
            path=f'{path}.versions',
            expected='expected at least one version',
        )
    for index, reference in enumerate(task.versions):
        if reference not in workspace.versions:
            yield Fault(
                path=f'{path}.versions.{index}',
                expected='expected a version that the workspace may use',
            )


def _check_limits(path: str, workspace: Workspace) -> Iterator[Fault]:
    limits = workspace.limits
    amounts = {
        'in_flight': limits.in_flight,
        'share': limits.share,
        'body_bytes': limits.body_bytes,
        'deadline_s': limits.deadline_s,
    }
    for name, amount in amounts.items():
        if amount <= 0:
            yield Fault(path=f'{path}.{name}', expected=_EXPECTED_POSITIVE)


def _check_shared_keys(document: Document) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for name, workspace in document.workspaces.items():
        for index, key_hash in enumerate(workspace.key_hashes):
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                yield Fault(
                    path=f'workspaces.{name}.key_hashes.{index}',
                    expected=f'expected a key that {owner} does not use',
                )


def _has_version(document: Document, text: str) -> bool:
    reference = VersionReference.parse(text)
    model = document.models.get(reference.model)
    return model is not None and reference.version in model.versions
