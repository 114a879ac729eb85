"""Checked fields of documents."""

import math
import re
from collections.abc import Sequence
from typing import Any, Final

# Raised where a document has an unexpected structure.
STRUCTURE_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    ArithmeticError,
)
_CONTROL_CHARACTER: Final = re.compile(r'[\x00-\x1f\x7f]')


def parse_text(field: Any) -> str:
    """Return a non-empty string without control characters.

    :param field: the field of a document.
    :raises TypeError: if it is anything else.
    :raises ValueError: if it has control characters.
    """
    if not isinstance(field, str) or not field:
        raise TypeError('expected a non-empty string')
    # Texts become header lines, which a control character would split.
    if _CONTROL_CHARACTER.search(field):
        raise ValueError('expected a string without control characters')
    return field


def parse_number(field: Any) -> float:
    """Return a finite number.

    :param field: the field of a document.
    :raises TypeError: if it is anything else.
    :raises ValueError: if it is not finite.
    """
    if not isinstance(field, int | float) or isinstance(field, bool):
        raise TypeError('expected a number')
    if not math.isfinite(field):
        raise ValueError('expected a finite number')
    return float(field)


def parse_list(field: Any) -> Sequence[Any]:
    """Return a list.

    :param field: the field of a document.
    :raises TypeError: if it is anything else.
    """
    if not isinstance(field, list):
        raise TypeError('expected a list')
    return field


def parse_count(field: Any) -> int:
    """Return a non-negative integer.

    :param field: the field of a document.
    :raises TypeError: if it is anything else.
    """
    if not isinstance(field, int) or isinstance(field, bool) or field < 0:
        raise TypeError('expected a non-negative integer')
    return field
