"""Paths of fields in the faults of the validation."""

import re
from collections.abc import Mapping, Sequence
from typing import Any, Final

from laurelwind.state.configuration_check.findings import MISSING, FieldPath

# A part of a path: a key in brackets, an index in brackets, or a name.
_PART: Final = re.compile(r"\['((?:[^'\\]|\\.)*)'\]|\[(\d+)\]|\.?([^.\[]+)")
_DOCUMENT: Final = 'document'


def find_field(path: str, document: Any) -> tuple[FieldPath, Any]:
    """Find the field that a fault names.

    Names may contain dots, so that names of the document are tried before
    parts of the path.

    :param path: path of the fault.
    :param document: the document as plain JSON types.
    :return: names and indexes from the document to the field, and its value or
        ``MISSING``.
    """
    if path == _DOCUMENT:
        return (), document
    return _walk(_split_path(path), document)


def _split_path(path: str) -> Sequence[str]:
    return [match[match.lastindex or 0] for match in _PART.finditer(path)]


def _walk(parts: Sequence[str], document: Any) -> tuple[FieldPath, Any]:
    field = document
    found: list[str] = []
    position = 0
    while position < len(parts):
        length = _measure_name(field, parts[position:])
        name = '.'.join(parts[position : position + length])
        field = _get_child(field, name)
        found.append(name)
        position += length
    return tuple(found), field


def _measure_name(field: Any, parts: Sequence[str]) -> int:
    """Return how many parts of a path the name of a child takes."""
    lengths = (
        length
        for length in range(len(parts), 0, -1)
        if _get_child(field, '.'.join(parts[:length])) is not MISSING
    )
    return next(lengths, 1)


def _get_child(field: Any, name: str) -> Any:
    if isinstance(field, Mapping):
        return field.get(name, MISSING)
    if isinstance(field, list) and name.isdecimal() and int(name) < len(field):
        return field[int(name)]
    return MISSING
