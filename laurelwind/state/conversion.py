"""Conversion between attrs classes and plain JSON types."""

import enum
from collections.abc import Sequence
from typing import Any, Final, TypeVar

import orjson
from cattrs import Converter, transform_error
from cattrs.preconf.orjson import make_converter

from laurelwind.errors import ConfigurationError, ErrorKind, Fault

TargetType = TypeVar('TargetType')

_ROOT_PATH: Final = '$'


def build_converter(*, strict: bool) -> Converter:
    """Build a converter for attrs classes.

    :param strict: reject unknown fields, for text that people write; otherwise
        ignore them, so that messages of newer releases can be read.
    """
    converter: Converter = make_converter(forbid_extra_keys=strict)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(str, _structure_str)
    return converter


def _structure_int(raw: Any, int_type: type[int]) -> int:
    if isinstance(raw, int) and not isinstance(raw, bool):
        # Enumerations of numbers come here as well.
        return int_type(raw)
    raise ValueError('expected a whole number')


def _structure_float(raw: Any, _: Any) -> float:
    if isinstance(raw, int | float) and not isinstance(raw, bool):
        return float(raw)
    raise ValueError('expected a number')


def _structure_str(raw: Any, string_type: type[str]) -> str:
    if not isinstance(raw, str):
        raise ValueError('expected a string')
    if not issubclass(string_type, enum.StrEnum):
        return raw
    allowed = [str(member) for member in string_type]
    if raw not in allowed:
        names = ', '.join(allowed)
        raise ValueError(f'expected one of {names}')
    return string_type(raw)


def _structure_bool(raw: Any, _: Any) -> bool:
    if isinstance(raw, bool):
        return raw
    raise ValueError('expected true or false')


STRICT: Final = build_converter(strict=True)
LENIENT: Final = build_converter(strict=False)


def list_faults(error: Exception) -> Sequence[Fault]:
    """List the faults behind a failed conversion, each with its path.

    :param error: the exception that the converter raised.
    """
    lines = transform_error(error, path=_ROOT_PATH)
    return tuple(_parse_fault(line) for line in lines)


def _parse_fault(line: str) -> Fault:
    expected, _, path = line.rpartition(' @ ')
    field_path = path.removeprefix(_ROOT_PATH).removeprefix('.')
    return Fault(path=field_path or 'document', expected=expected)


def structure_strictly(
    raw: Any,
    target_type: type[TargetType],
    *,
    kind: ErrorKind = ErrorKind.CONFIGURATION_INVALID,
) -> TargetType:
    """Build an attrs object from plain types.

    :param raw: plain JSON or TOML types.
    :param target_type: the attrs class to build.
    :param kind: kind of the error to raise.
    :raises ConfigurationError: listing every fault, if any field is missing,
        unknown or of the wrong type.
    """
    try:
        return STRICT.structure(raw, target_type)
    except Exception as error:
        faults = list_faults(error)
        raise ConfigurationError(
            kind,
            f'{len(faults)} fields are missing, unknown or invalid',
            faults=faults,
        ) from None


def dump_json(payload: Any) -> bytes:
    """Encode an attrs object as JSON.

    :param payload: an attrs object, or plain types.
    """
    return orjson.dumps(LENIENT.unstructure(payload))
