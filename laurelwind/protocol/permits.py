"""Encoding of permits for endpoints with a rate limit.

A datagram is an object with one field, which names its kind. Moments are
encoded as ages in milliseconds, since daemons share no clock.
"""

import contextlib
import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

import orjson
from attrs import frozen

from laurelwind.protocol.cold import decode_statement, encode_statement
from laurelwind.protocol.datagrams import (
    decode_age,
    decode_integer,
    pack_rows,
)
from laurelwind.state.cold_endpoints import ColdStatement
from laurelwind.state.rate_limits import EndpointProcess, LimitStatement

# Longest name in a datagram.
MAX_NAME_LENGTH: Final = 64
_ASK: Final = 'permit_ask'
_ANSWER: Final = 'permit_answer'
_RETURN: Final = 'permit_return'
_LIMITS: Final = 'limits'
_FIELD_COUNT: Final = 4
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class PermitAsk:
    """Asks the holder of an endpoint's permits for one.

    :ivar number: number of the ask, unique among those of a daemon.
    :ivar asker: ``host:port`` at which peers reach the daemon that asks.
    :ivar process: the endpoint.
    :ivar zone: availability zone of the endpoint.
    :ivar max_wait_s: longest wait for the permit, in seconds.
    :ivar statement: the limit, as the asker knows it.
    :ivar cold: why the endpoint is cold, as the asker knows it, or ``None``.
    """

    number: int
    asker: str
    process: EndpointProcess
    zone: str
    max_wait_s: float
    statement: LimitStatement
    cold: ColdStatement | None = None


@frozen(kw_only=True)
class PermitAnswer:
    """Answers an ask.

    :ivar number: number of the ask.
    :ivar process: the endpoint.
    :ivar is_granted: whether the asker has a permit.
    :ivar wait_s: seconds until the permit is due, or if none is granted, until
        the next one would be.
    :ivar retry_s: seconds for which a daemon that gets no permit does not ask.
    :ivar statement: the newest statement that the holder knows, or ``None``.
    :ivar cold: the newest statement that it knows about a cold endpoint, or
        ``None``.
    """

    number: int
    process: EndpointProcess
    is_granted: bool = False
    wait_s: float = 0
    retry_s: float = 0
    statement: LimitStatement | None = None
    cold: ColdStatement | None = None


@frozen(kw_only=True)
class PermitReturn:
    """Returns a permit that was not used.

    :ivar number: number of the ask.
    :ivar asker: the daemon that asked.
    :ivar process: the endpoint.
    """

    number: int
    asker: str
    process: EndpointProcess


PermitMessage = PermitAsk | PermitAnswer | PermitReturn


def encode_message(message: PermitMessage, now: float) -> bytes:
    """Encode a message.

    :param message: the message.
    :param now: the current moment, on the monotonic clock.
    """
    if isinstance(message, PermitReturn):
        row = [message.number, message.asker, *message.process]
        return orjson.dumps({_RETURN: row})
    statement = _encode_statement(message.statement, now)
    # Only rows for cold endpoints have a fifth field.
    cold = [] if message.cold is None else [encode_statement(message.cold, now)]
    if isinstance(message, PermitAnswer):
        verdict = (message.is_granted, message.wait_s, message.retry_s)
        row = [message.number, message.process, verdict, statement, *cold]
        return orjson.dumps({_ANSWER: row})
    sender = (message.number, message.asker)
    endpoint = (*message.process, message.zone)
    row = [sender, endpoint, message.max_wait_s, statement, *cold]
    return orjson.dumps({_ASK: row})


def decode_message(document: Any, now: float) -> PermitMessage | None:
    """Decode a message, or return ``None`` if it is none or malformed.

    :param document: the decoded JSON document.
    :param now: the current moment, on the monotonic clock.
    """
    if not isinstance(document, dict) or len(document) != 1:
        return None
    kind, row = next(iter(document.items()))
    decode = _DECODERS.get(kind)
    if decode is None:
        return None
    with contextlib.suppress(TypeError, ValueError, OverflowError):
        return decode(row, now)
    return None


def encode_limits(
    limits: Iterable[tuple[EndpointProcess, LimitStatement]], now: float
) -> Iterator[bytes]:
    """Encode statements as datagrams.

    :param limits: endpoints and their statements.
    :param now: the current moment, on the monotonic clock.
    """
    return pack_rows(
        _LIMITS,
        (
            [*process, _encode_statement(statement, now)]
            for process, statement in limits
        ),
    )


def decode_limits(
    document: Any, now: float
) -> Iterator[tuple[EndpointProcess, LimitStatement]]:
    """Decode the statements of a datagram; malformed ones are left out.

    :param document: the decoded JSON document.
    :param now: the current moment, on the monotonic clock.
    """
    rows = document.get(_LIMITS) if isinstance(document, dict) else None
    for row in rows if isinstance(rows, list) else ():
        with contextlib.suppress(TypeError, ValueError, OverflowError):
            name, started_ms, fields = row
            statement = _decode_statement(fields, now)
            yield _decode_process(name, started_ms), statement


def _decode_ask(row: Any, now: float) -> PermitAsk:
    fields, cold = _split_cold(row, now)
    (number, asker), (name, started_ms, zone), max_wait_s, statement = fields
    return PermitAsk(
        number=decode_integer(number),
        asker=_decode_name(asker),
        process=_decode_process(name, started_ms),
        zone=_decode_name(zone),
        max_wait_s=_decode_seconds(max_wait_s),
        statement=_decode_statement(statement, now),
        cold=cold,
    )


def _decode_answer(row: Any, now: float) -> PermitAnswer:
    fields, cold = _split_cold(row, now)
    number, process, (is_granted, wait_s, retry_s), statement = fields
    return PermitAnswer(
        number=decode_integer(number),
        process=_decode_process(*process),
        is_granted=bool(is_granted),
        wait_s=_decode_seconds(wait_s),
        retry_s=_decode_seconds(retry_s),
        statement=(
            None if statement is None else _decode_statement(statement, now)
        ),
        cold=cold,
    )


def _decode_return(row: Any, _now: float) -> PermitReturn:
    number, asker, name, started_ms = row
    return PermitReturn(
        number=decode_integer(number),
        asker=_decode_name(asker),
        process=_decode_process(name, started_ms),
    )


def _encode_statement(
    statement: LimitStatement | None, now: float
) -> list[Any] | None:
    if statement is None:
        return None
    return [
        statement.rate,
        *(
            None
            if moment == math.inf
            else max(round((now - moment) * _MS_PER_S), 0)
            for moment in (
                statement.sent_at,
                statement.stated_at,
                statement.limited_at,
            )
        ),
    ]


def _decode_statement(fields: Any, now: float) -> LimitStatement:
    rate, sent_ms, stated_ms, limited_ms = fields
    return LimitStatement(
        rate=None if rate is None else _decode_seconds(rate),
        sent_at=_decode_moment(sent_ms, now),
        stated_at=_decode_moment(stated_ms, now),
        limited_at=(
            math.inf if limited_ms is None else _decode_moment(limited_ms, now)
        ),
    )


def _split_cold(
    row: Sequence[Any], now: float
) -> tuple[Sequence[Any], ColdStatement | None]:
    """Return the fields of a row, and what it states about a cold endpoint."""
    if len(row) <= _FIELD_COUNT:
        return row, None
    return row[:_FIELD_COUNT], decode_statement(row[_FIELD_COUNT], now)


def _decode_process(name: Any, started_ms: Any) -> EndpointProcess:
    return _decode_name(name), decode_integer(started_ms)


def _decode_name(name: Any) -> str:
    if not isinstance(name, str) or len(name) > MAX_NAME_LENGTH:
        raise ValueError
    return name


def _decode_moment(age_ms: Any, now: float) -> float:
    return now - decode_age(_decode_seconds(age_ms)) / _MS_PER_S


def _decode_seconds(number: Any) -> float:
    seconds = float(number)
    if not 0 <= seconds < math.inf:
        raise ValueError
    return seconds


_DECODERS: Final[Mapping[str, Callable[[Any, float], PermitMessage]]] = (
    MappingProxyType(
        {
            _ASK: _decode_ask,
            _ANSWER: _decode_answer,
            _RETURN: _decode_return,
        }
    )
)
