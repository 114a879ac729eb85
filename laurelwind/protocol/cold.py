"""Encoding of statements about cold endpoints.

Moments are encoded as times from now in milliseconds, since daemons share no
clock.
"""

import contextlib
import math
from collections.abc import Iterable, Iterator
from typing import Any, Final

import orjson

from laurelwind.protocol.datagrams import (
    decode_age,
    decode_integer,
    pack_rows,
)
from laurelwind.state.cold_endpoints import ColdStatement

# Longest name in a datagram.
MAX_NAME_LENGTH: Final = 64
# Longest cold time that a statement may leave, in seconds.
MAX_COLD_S: Final = 600.0
_COLD: Final = 'cold'
_MS_PER_S: Final = 1000


def encode_cold(
    statements: Iterable[tuple[str, ColdStatement]], now: float
) -> Iterator[bytes]:
    """Encode statements as datagrams.

    :param statements: names of endpoints and their statements.
    :param now: the current moment, on the monotonic clock.
    """
    return pack_rows(
        _COLD,
        (
            [name, encode_statement(statement, now)]
            for name, statement in statements
        ),
    )


def encode_sign() -> bytes:
    """Encode a sign of life: a datagram without statements."""
    return orjson.dumps({_COLD: []})


def decode_cold(
    document: Any, now: float
) -> Iterator[tuple[str, ColdStatement]]:
    """Decode the statements of a datagram; malformed ones are left out.

    :param document: the decoded JSON document.
    :param now: the current moment, on the monotonic clock.
    """
    rows = document.get(_COLD) if isinstance(document, dict) else None
    for row in rows if isinstance(rows, list) else ():
        with contextlib.suppress(TypeError, ValueError, OverflowError):
            name, fields = row
            if not isinstance(name, str) or len(name) > MAX_NAME_LENGTH:
                continue
            yield name, decode_statement(fields, now)


def encode_statement(statement: ColdStatement, now: float) -> list[Any]:
    """Encode a statement as a row.

    :param statement: the statement.
    :param now: the current moment, on the monotonic clock.
    """
    times = [
        None if moment == math.inf else round((moment - now) * _MS_PER_S)
        for moment in (statement.since, statement.reached_at, statement.until)
    ]
    process = statement.progress
    return [process, statement.rate, times, statement.is_confirmed]


def decode_statement(fields: Any, now: float) -> ColdStatement:
    """Decode the row of a statement.

    :param fields: the decoded row.
    :param now: the current moment, on the monotonic clock.
    :raises ValueError: if it is malformed; also ``TypeError`` and
        ``OverflowError``.
    """
    process, rate, times, is_confirmed = fields
    started_ms, sequence = process
    since, reached_at, until = (_decode_moment(time, now) for time in times)
    return _check(
        ColdStatement(
            started_ms=decode_integer(started_ms),
            sequence=decode_integer(sequence),
            rate=float(rate),
            since=since,
            reached_at=reached_at,
            until=until,
            is_confirmed=bool(is_confirmed),
        ),
        now,
    )


def _check(statement: ColdStatement, now: float) -> ColdStatement:
    """Return a statement if its fields are in range and in order."""
    if not 0 <= statement.rate < math.inf or not _is_ordered(statement, now):
        raise ValueError
    return statement


def _is_ordered(statement: ColdStatement, now: float) -> bool:
    """Return whether the moments are in order and the end is not too late."""
    if statement.is_reached and statement.until - now > MAX_COLD_S:
        return False
    return (
        statement.since <= now
        and statement.since <= statement.reached_at <= statement.until
    )


def _decode_moment(time_ms: Any, now: float) -> float:
    if time_ms is None:
        return math.inf
    return now + decode_age(time_ms) / _MS_PER_S
