"""Differences between two configurations, field by field."""

import enum
import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

from attrs import frozen

from laurelwind.state.configuration_check.findings import MISSING, FieldPath
from laurelwind.state.configuration_check.values import (
    compute_key_digest,
    describe_value,
    is_listed_by_field,
)

_KEY_LISTS: Final = frozenset(('api_keys', 'key_hashes'))
_WORKSPACES: Final = ('tenants',)
# Fields that name the entries of a list.
_NAMES: Final = ('name', 'service')


class Change(enum.StrEnum):
    """How a field differs."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@frozen(kw_only=True)
class Difference:
    """A field that differs between two configurations.

    :ivar change: how it differs.
    :ivar path: dotted path of the field; rows by name.
    :ivar before: its value in force as JSON, keys as a digest, or ``None``.
    :ivar after: its new value, as above.
    """

    change: Change
    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        """Format the difference on one line."""
        if self.change is Change.CHANGED:
            return f'{self.change} {self.path}: {self.before} -> {self.after}'
        shown = self.after if self.before is None else self.before
        return f'{self.change} {self.path}: {shown}'


def list_differences(before: Any, after: Any) -> Sequence[Difference]:
    """List the fields that differ between two configurations.

    :param before: the configuration in force, as plain JSON types.
    :param after: the new configuration of the same format.
    """
    return tuple(_compare((), before, after))


def _compare(path: FieldPath, before: Any, after: Any) -> Iterator[Difference]:
    if _encode(before) == _encode(after):
        return
    before_fields = _index_fields(path, before)
    after_fields = _index_fields(path, after)
    if before_fields is not None and after_fields is not None:
        names = dict.fromkeys((*before_fields, *after_fields))
        for name in names:
            yield from _compare(
                (*path, name),
                before_fields.get(name, MISSING),
                after_fields.get(name, MISSING),
            )
        if names:
            return
    yield _build_difference(path, before, after)


def _encode(field: Any) -> str:
    # Equality of Python would take 1 and true for the same.
    return '' if field is MISSING else json.dumps(field, sort_keys=True)


def _index_fields(path: FieldPath, field: Any) -> Mapping[str, Any] | None:
    """Return what is compared on its own; ``None`` if it is the whole field."""
    if field is MISSING:
        return {}
    if path and path[-1] in _KEY_LISTS:
        return _index_keys(path, field)
    if not is_listed_by_field(path):
        return None
    if isinstance(field, Mapping):
        # Names of fields may be keys where a list of workspaces is expected.
        return None if path == _WORKSPACES else field
    if isinstance(field, list) and all(
        isinstance(row, Mapping) for row in field
    ):
        return _index_rows(field)
    return None


def _index_keys(path: FieldPath, field: Any) -> Mapping[str, Any] | None:
    if not isinstance(field, list):
        return None
    return {compute_key_digest(str(key), path): key for key in field}


def _index_rows(rows: Sequence[Mapping[str, Any]]) -> Mapping[str, Any]:
    indexed: dict[str, Any] = {}
    for index, row in enumerate(rows):
        names = [
            row[field] for field in _NAMES if isinstance(row.get(field), str)
        ]
        name = names[0] if names else str(index)
        # Rows may share a name, which only some formats forbid.
        indexed[f'{name}#{index}' if name in indexed else name] = row
    return indexed


def _build_difference(path: FieldPath, before: Any, after: Any) -> Difference:
    change = Change.CHANGED
    if before is MISSING:
        change = Change.ADDED
    if after is MISSING:
        change = Change.REMOVED
    return Difference(
        change=change,
        path='.'.join(path) or 'document',
        before=None if before is MISSING else describe_value(before, path),
        after=None if after is MISSING else describe_value(after, path),
    )
