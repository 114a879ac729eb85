"""Findings on a configuration in either format."""

import enum
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

from laurelwind.errors import ConfigurationError, Fault
from laurelwind.state.configuration_check.document_entries import (
    check_document_entries,
)
from laurelwind.state.configuration_check.field_paths import find_field
from laurelwind.state.configuration_check.findings import (
    Finding,
    InstanceSize,
    Severity,
    build_finding,
)
from laurelwind.state.configuration_check.table_entries import (
    check_table_entries,
)
from laurelwind.state.configuration_check.table_fields import (
    check_table_fields,
)
from laurelwind.state.configuration_check.table_limits import (
    check_table_limits,
)
from laurelwind.state.conversion import structure_strictly
from laurelwind.state.document import Document
from laurelwind.state.validation import check_document

# Fields of one format that the other one does not have.
_TABLE_FIELDS: Final = frozenset(('version', 'routes', 'tenants', 'limits'))
_DOCUMENT_FIELDS: Final = frozenset(('schema', 'models', 'pools', 'workspaces'))


class Format(enum.StrEnum):
    """Format of a configuration.

    ``TABLE``: the relay's routing table. ``DOCUMENT``: the chat daemon's
    configuration document.
    """

    TABLE = 'table'
    DOCUMENT = 'document'


def detect_format(configuration: Any) -> Format | None:
    """Return the format whose fields a configuration has, if it has any.

    :param configuration: plain JSON types.
    """
    if not isinstance(configuration, Mapping):
        return None
    table_count = len(_TABLE_FIELDS & configuration.keys())
    document_count = len(_DOCUMENT_FIELDS & configuration.keys())
    if table_count == document_count:
        return None
    return Format.TABLE if table_count > document_count else Format.DOCUMENT


def check_configuration(
    configuration: Any, size: InstanceSize
) -> Sequence[Finding]:
    """List the findings on a configuration, errors first.

    :param configuration: plain JSON types.
    :param size: what the smallest instance holds.
    """
    match detect_format(configuration):
        case Format.TABLE:
            findings = list(_check_table(configuration, size))
        case Format.DOCUMENT:
            findings = list(_check_document(configuration, size))
        case _:
            findings = [
                build_finding(
                    (),
                    'expected the fields of a routing table (version, routes)'
                    ' or of a document (models, pools, workspaces)',
                    configuration,
                )
            ]
    return sorted(
        findings, key=lambda finding: finding.severity is not Severity.ERROR
    )


def _check_table(table: Any, size: InstanceSize) -> Iterator[Finding]:
    findings = check_table_fields(table)
    yield from findings
    if any(finding.severity is Severity.ERROR for finding in findings):
        return
    yield from check_table_entries(table)
    yield from check_table_limits(table, size)


def _check_document(raw: Any, size: InstanceSize) -> Iterator[Finding]:
    try:
        document = structure_strictly(raw, Document)
    except ConfigurationError as error:
        yield from _list_faults(error.faults, raw)
        return
    yield from _list_faults(check_document(document), raw)
    yield from check_document_entries(document, size)


def _list_faults(faults: Sequence[Fault], raw: Any) -> Iterator[Finding]:
    for fault in faults:
        path, field = find_field(fault.path, raw)
        yield build_finding(path, fault.expected, field)
