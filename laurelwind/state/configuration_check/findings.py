"""Findings on a configuration."""

import enum
from typing import Any, Final

from attrs import frozen

from laurelwind.state.configuration_check.values import describe_value

FieldPath = tuple[str, ...]

# Stands for the value of a field that is missing.
MISSING: Final = object()


class Severity(enum.StrEnum):
    """What a finding costs.

    ``ERROR``: daemons reject the document, or every request to an entry of it
    fails. ``WARNING``: an entry has no effect, or limits contradict each other
    for some of the requests.
    """

    ERROR = 'error'
    WARNING = 'warning'


class Category(enum.StrEnum):
    """What a finding is about.

    ``INVALID``: a field that daemons reject, or read as something else.
    ``UNUSED``: an entry that no request can match. ``LIMITS``: limits that
    contradict each other. ``COMPARISON``: the comparison is not possible.
    """

    INVALID = 'invalid'
    UNUSED = 'unused'
    LIMITS = 'limits'
    COMPARISON = 'comparison'


@frozen(kw_only=True)
class Finding:
    """One finding on a configuration.

    :ivar severity: what it costs.
    :ivar category: what it is about.
    :ivar path: dotted path of the field; rows of a list by index.
    :ivar found: its value as JSON, keys as a digest, or ``None`` if the field
        is missing.
    :ivar expected: what is expected, or what follows from the value.
    """

    severity: Severity
    category: Category
    path: str
    expected: str
    found: str | None = None

    def __str__(self) -> str:
        """Format the finding on one line."""
        shown = '' if self.found is None else f' (is {self.found})'
        return f'{self.severity} {self.path}: {self.expected}{shown}'


@frozen(kw_only=True)
class InstanceSize:
    """What the smallest instance of the fleet holds.

    :ivar memory_bytes: its memory.
    :ivar body_bytes: largest request body that it holds.
    """

    memory_bytes: int
    body_bytes: int


def build_finding(
    path: FieldPath,
    expected: str,
    field: Any = MISSING,
    *,
    severity: Severity = Severity.ERROR,
    category: Category = Category.INVALID,
) -> Finding:
    """Build a finding on a field.

    :param path: names and indexes from the document to the field.
    :param expected: what is expected, or what follows from the value.
    :param field: the value, or ``MISSING``.
    :param severity: what the finding costs.
    :param category: what the finding is about.
    """
    return Finding(
        severity=severity,
        category=category,
        path='.'.join(path) or 'document',
        expected=expected,
        found=None if field is MISSING else describe_value(field, path),
    )
