"""Fields of a routing table and their types."""

from collections.abc import Callable, Mapping
from typing import Any, Final

from attrs import field, frozen

from laurelwind.state.fields import parse_count, parse_number, parse_text
from laurelwind.state.routes import RequestKind


def _is_integer(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def _is_boolean(flag: Any) -> bool:
    return isinstance(flag, bool)


def _is_number(number: Any) -> bool:
    return isinstance(number, float) or _is_integer(number)


def _is_present(anything: Any) -> bool:
    return anything is not None


@frozen(kw_only=True)
class FieldType:
    """A type of fields.

    :ivar expected: what a field of this type holds, in plain English.
    :ivar parse: the decoder of the field; raises one of ``STRUCTURE_ERRORS``.
    :ivar is_usual: whether a value that the decoder accepts has this type.
    """

    expected: str
    parse: Callable[[Any], Any]
    is_usual: Callable[[Any], bool] = _is_present


@frozen
class FieldRule:
    """A field of an object.

    :ivar type: its type.
    :ivar is_required: whether the object must have it.
    :ivar is_defaulted: whether empty values are read as the default.
    :ivar is_nullable: whether null is read as the default.
    """

    type: FieldType
    is_required: bool = field(default=False, kw_only=True)
    is_defaulted: bool = field(default=False, kw_only=True)
    is_nullable: bool = field(default=False, kw_only=True)


FieldRules = Mapping[str, FieldRule]

_KINDS: Final = ', '.join(RequestKind)
_NUMBER: Final = FieldType(
    expected='expected a finite number', parse=parse_number, is_usual=_is_number
)
_INTEGER: Final = FieldType(
    expected='expected an integer', parse=int, is_usual=_is_integer
)
_BOOLEAN: Final = FieldType(
    expected='expected true or false', parse=bool, is_usual=_is_boolean
)
TEXT: Final = FieldRule(
    FieldType(
        expected='expected a non-empty string without control characters',
        parse=parse_text,
    ),
    is_required=True,
)
_DEFAULTED_NUMBER: Final = FieldRule(_NUMBER, is_defaulted=True)

TABLE_RULES: Final[FieldRules] = {
    'version': FieldRule(
        FieldType(
            expected='expected a non-negative integer', parse=parse_count
        ),
        is_required=True,
    ),
}
ROUTE_RULES: Final[FieldRules] = {
    'name': TEXT,
    'host': TEXT,
    'path_prefix': TEXT,
    'kind': FieldRule(
        FieldType(expected=f'expected one of {_KINDS}', parse=RequestKind),
        is_required=True,
    ),
    'timeout_ms': FieldRule(_NUMBER),
    'target_latency_ms': FieldRule(_NUMBER),
    'target_gap_ms': FieldRule(_NUMBER),
    'priority': FieldRule(_INTEGER),
    'max_attempts': FieldRule(_INTEGER),
    'public': FieldRule(_BOOLEAN),
    'resumable': FieldRule(_BOOLEAN),
}
SHARE_RULES: Final[FieldRules] = {
    'service': TEXT,
    'weight': FieldRule(_NUMBER, is_required=True),
}
SERVICE_RULES: Final[FieldRules] = {
    'name': TEXT,
    'cold_start_s': _DEFAULTED_NUMBER,
    'cold_per_s': _DEFAULTED_NUMBER,
}
ENGINE_RULES: Final[FieldRules] = {
    'kv_cache_tokens': FieldRule(_INTEGER, is_defaulted=True),
}
MODEL_RULES: Final[FieldRules] = {'name': TEXT, 'cost': FieldRule(_NUMBER)}
WORKSPACE_RULES: Final[FieldRules] = {
    'name': TEXT,
    'priority': FieldRule(_INTEGER, is_nullable=True),
}
LIMIT_RULES: Final[FieldRules] = {
    'max_body_bytes': FieldRule(_INTEGER),
    'max_header_bytes': FieldRule(_INTEGER, is_defaulted=True),
    'header_timeout_ms': _DEFAULTED_NUMBER,
    'idle_timeout_ms': _DEFAULTED_NUMBER,
}
