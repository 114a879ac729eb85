"""Time-ordered identifiers (UUIDv7) for requests, records and keys.

The first 48 bits are milliseconds since the epoch, so that the age of an
identifier can be derived from the identifier alone.
"""

import uuid
from typing import Final

import uuid6

_TIME_SHIFT: Final = 80
_VERSION_NUMBER: Final = 7
_MS_PER_S: Final = 1000


def create_identifier() -> str:
    """Create an identifier with the current time."""
    return str(uuid6.uuid7())


def read_time(identifier: str) -> float | None:
    """Return the creation time of a time-ordered identifier.

    :param identifier: any text.
    :returns: seconds since the epoch, or ``None`` if it is not a UUIDv7.
    """
    try:
        number = uuid.UUID(identifier)
    except ValueError:
        return None
    if number.version != _VERSION_NUMBER:
        return None
    return (number.int >> _TIME_SHIFT) / _MS_PER_S
