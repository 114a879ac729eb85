"""Encoding of what daemons tell each other about crashes.

A datagram is an object whose ``crashes`` are rows, or one that asks for them.
Each row begins with its kind and holds ages in milliseconds, since daemons
share no clock.
"""

import contextlib
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final

import orjson
from attrs import asdict, frozen

from laurelwind.protocol.datagrams import MAX_DATAGRAM_BYTES
from laurelwind.state.blocks import Block
from laurelwind.state.crash_reports import CrashReport, SuspectKey, SuspectKeys
from laurelwind.state.endpoint_breaks import EndpointBreak, EndpointSurvival

# Longest names, and the most parts of a prompt, in a row.  A row has room for
# the name of the request as well.
MAX_NAME_LENGTH: Final = 64
MAX_PARTS: Final = 8
_MAX_KEYS: Final = MAX_PARTS + 1
# Largest number of rounds of a block that makes a difference.
_MAX_ROUNDS: Final = 16
_FIELD: Final = 'crashes'
_QUESTION: Final = 'crashes_asked_by'
# A host, by its address or its name, and a port.
_ADDRESS: Final = re.compile(
    r'(?:[\w-]{1,63}\.)*[\w-]{1,63}:(\d{1,5})', re.ASCII
)
_MAX_PORT: Final = 65535
_PREFIX: Final = b'{"crashes":['
_SUFFIX: Final = b']}'
_REPORT: Final = 'report'
_ANSWER: Final = 'answer'
_BLOCK: Final = 'block'
_BREAK: Final = 'break'
_SURVIVAL: Final = 'survival'
# Age of a moment that never was.
_NEVER_MS: Final = -1
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class SuspectAnswer:
    """An answer that tells against a suspect.

    :ivar key: the suspect.
    :ivar began_at: moment of its first event, or for a whole request of its
        end, on the monotonic clock.
    """

    key: SuspectKey
    began_at: float


CrashNotice = (
    CrashReport | EndpointBreak | EndpointSurvival | SuspectAnswer | Block
)


def limit_name(name: str) -> str:
    """Cut a name that would take too much of a datagram.

    :param name: any name.
    """
    return name[:MAX_NAME_LENGTH]


def encode_notices(
    notices: Iterable[CrashNotice], now: float
) -> Iterator[bytes]:
    """Encode notices as datagrams.

    :param notices: the notices.
    :param now: the current moment, on the monotonic clock.
    """
    rows: list[bytes] = []
    size = 0
    for notice in notices:
        row = orjson.dumps(_encode_row(notice, now))
        if rows and size + len(row) >= MAX_DATAGRAM_BYTES:
            yield _join_rows(rows)
            rows = []
            size = 0
        rows.append(row)
        size += len(row) + 1
    if rows:
        yield _join_rows(rows)


def decode_notices(document: Any, now: float) -> Iterator[CrashNotice]:
    """Decode the notices of a datagram; malformed rows are left out.

    :param document: the decoded JSON document.
    :param now: the current moment, on the monotonic clock.
    """
    rows = document.get(_FIELD) if isinstance(document, dict) else None
    for row in rows if isinstance(rows, list) else ():
        with contextlib.suppress(KeyError, TypeError, ValueError):
            yield _decode_row(row, now)


def encode_question(address: str) -> bytes:
    """Encode a question for what a daemon knows.

    :param address: ``host:port`` of the daemon that asks.
    """
    return orjson.dumps({_QUESTION: address})


def decode_question(document: Any) -> str | None:
    """Return the address of the daemon that asks, or ``None`` if none does.

    :param document: the decoded JSON document.
    """
    address = document.get(_QUESTION) if isinstance(document, dict) else None
    match = _ADDRESS.fullmatch(address) if isinstance(address, str) else None
    if match is None or int(match[1]) > _MAX_PORT:
        return None
    return match[0]


def _join_rows(rows: Iterable[bytes]) -> bytes:
    return _PREFIX + b','.join(rows) + _SUFFIX


def _encode_row(notice: CrashNotice, now: float) -> list[Any]:
    if isinstance(notice, SuspectAnswer):
        return [_ANSWER, *notice.key, _encode_age(notice.began_at, now)]
    if isinstance(notice, EndpointBreak):
        return [
            _BREAK,
            notice.endpoint,
            _encode_age(notice.broke_at, now),
            _encode_age(notice.alive_at, now),
        ]
    if isinstance(notice, EndpointSurvival):
        return [
            _SURVIVAL,
            notice.endpoint,
            _encode_age(notice.sent_at, now),
            _encode_age(notice.alive_at, now),
        ]
    if isinstance(notice, Block):
        return [
            _BLOCK,
            *_encode_keys(notice.keys),
            _encode_age(notice.since, now),
            _encode_age(notice.seen_at, now),
            notice.rounds,
        ]
    return [
        _REPORT,
        *_encode_keys(notice.keys),
        (notice.attempt, notice.endpoint, notice.prompt),
        (
            _encode_age(notice.sent_at, now),
            _encode_age(notice.broke_at, now),
            _encode_age(notice.alive_at, now),
        ),
    ]


def _decode_row(row: list[Any], now: float) -> CrashNotice:
    kind, *fields = row
    return _DECODERS[kind](fields, now)


def _decode_report(fields: list[Any], now: float) -> CrashReport:
    service, names, identifiers, ages = fields
    attempt, endpoint, prompt = map(_decode_name, identifiers)
    sent_ms, *break_ages = ages
    return CrashReport(
        attempt=attempt,
        prompt=prompt,
        keys=_decode_keys(service, names),
        sent_at=_decode_age(sent_ms, now),
        **asdict(_decode_break([endpoint, *break_ages], now)),
    )


def _decode_break(fields: list[Any], now: float) -> EndpointBreak:
    endpoint, broke_ms, alive_ms = fields
    return EndpointBreak(
        endpoint=_decode_name(endpoint),
        broke_at=_decode_age(broke_ms, now),
        alive_at=_decode_last_age(alive_ms, now),
    )


def _decode_survival(fields: list[Any], now: float) -> EndpointSurvival:
    endpoint, sent_ms, alive_ms = fields
    return EndpointSurvival(
        endpoint=_decode_name(endpoint),
        sent_at=_decode_age(sent_ms, now),
        alive_at=_decode_age(alive_ms, now),
    )


def _decode_answer(fields: list[Any], now: float) -> SuspectAnswer:
    service, name, age_ms = fields
    return SuspectAnswer(
        key=(_decode_name(service), _decode_name(name)),
        began_at=_decode_age(age_ms, now),
    )


def _decode_block(fields: list[Any], now: float) -> Block:
    service, names, *numbers = fields
    since_ms, seen_ms, rounds = numbers
    return Block(
        keys=_decode_keys(service, names),
        since=_decode_age(since_ms, now),
        seen_at=_decode_age(seen_ms, now),
        rounds=min(max(int(rounds), 0), _MAX_ROUNDS),
    )


def _encode_keys(keys: SuspectKeys) -> tuple[str, list[str]]:
    service = next(service for service, _ in keys)
    return service, sorted(name for _, name in keys)


def _decode_keys(service: Any, names: Any) -> SuspectKeys:
    if not isinstance(names, list) or not 0 < len(names) <= _MAX_KEYS:
        raise ValueError
    return frozenset(
        (_decode_name(service), _decode_name(name)) for name in names
    )


def _encode_age(moment: float, now: float) -> int:
    if moment == float('-inf'):
        return _NEVER_MS
    return max(round((now - moment) * _MS_PER_S), 0)


def _decode_age(age_ms: Any, now: float) -> float:
    age_s = float(age_ms) / _MS_PER_S
    if not 0 <= age_s < float('inf'):
        raise ValueError
    return now - age_s


def _decode_last_age(age_ms: Any, now: float) -> float:
    if age_ms == _NEVER_MS:
        return float('-inf')
    return _decode_age(age_ms, now)


def _decode_name(name: Any) -> str:
    if not isinstance(name, str) or len(name) > MAX_NAME_LENGTH:
        raise ValueError
    return name


_Decoder = Callable[[list[Any], float], CrashNotice]
_DECODERS: Final[Mapping[str, _Decoder]] = MappingProxyType(
    {
        _REPORT: _decode_report,
        _ANSWER: _decode_answer,
        _BLOCK: _decode_block,
        _BREAK: _decode_break,
        _SURVIVAL: _decode_survival,
    }
)
