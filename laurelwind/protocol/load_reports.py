"""Datagrams with load reports of endpoints and the demand by class.

A datagram is an object with one field, which names its kind.
"""

import math
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

import orjson
from attrs import frozen

from laurelwind.protocol.datagrams import MAX_DATAGRAM_BYTES
from laurelwind.protocol.exchanges import LoadReport

_KIND: Final = 'load'
# Reports in one datagram, and the services whose demand it holds.
MAX_REPORTS: Final = 20
MAX_SERVICES: Final = 4
# Older reports tell nothing, and older figures of other daemons nothing either.
MAX_AGE_S: Final = 1.5
_MAX_COUNT: Final = 1_000_000
_MAX_SLOWDOWN: Final = 100.0
# Fields of a report, and the first one behind the counts.
_REPORT_FIELDS: Final = 6
_PACE_FIELD: Final = 4
_CLASS_FIELDS: Final = 3
_MAX_TOKENS: Final = 1_000_000_000
_MS_PER_S: Final = 1000
_PERCENT: Final = 100


@frozen(kw_only=True)
class SharedReport:
    """A load report with its endpoint and age.

    :ivar endpoint: name of the endpoint.
    :ivar report: the report, with a pace.
    :ivar age_s: seconds since a daemon received it from the endpoint.
    """

    endpoint: str
    report: LoadReport
    age_s: float


@frozen(kw_only=True)
class SharedClass:
    """What a daemon measured of one class of requests of a service.

    :ivar share: share of the class in the daemon's demand.
    :ivar tokens: mean of the tokens that a request may hold, or zero.
    :ivar deviation: standard deviation of these tokens.
    """

    share: float = 0
    tokens: float = 0
    deviation: float = 0


# Classes of a service, most costly first, by service.
Demand = Mapping[str, Sequence[SharedClass]]


def encode_reports(reports: Sequence[SharedReport], demand: Demand) -> bytes:
    """Encode a datagram, with as many reports as it has room for.

    :param reports: at most ``MAX_REPORTS`` reports, the most important first.
    :param demand: what was measured of the classes.
    """
    rounded = {
        service: [
            (round(one.share, 3), round(one.tokens), round(one.deviation))
            for one in classes
        ]
        for service, classes in tuple(demand.items())[:MAX_SERVICES]
    }
    rows = [_encode_report(shared) for shared in reports]
    datagram = orjson.dumps({_KIND: [rows, rounded]})
    while len(datagram) > MAX_DATAGRAM_BYTES and rows:
        rows = rows[: len(rows) // 2]
        datagram = orjson.dumps({_KIND: [rows, rounded]})
    return datagram


def decode_reports(document: Any) -> Iterator[SharedReport]:
    """Decode the reports of a datagram; malformed ones are left out.

    :param document: the parsed datagram of any kind.
    """
    rows, _ = _get_fields(document)
    for row in rows[:MAX_REPORTS] if isinstance(rows, list) else ():
        if _is_report(row):
            running, waiting, slots = row[1:_PACE_FIELD]
            percent, age_ms = row[_PACE_FIELD:]
            yield SharedReport(
                endpoint=row[0],
                report=LoadReport(
                    running=int(running),
                    waiting=int(waiting),
                    slots=int(slots),
                    slowdown=percent / _PERCENT,
                ),
                age_s=age_ms / _MS_PER_S,
            )


def decode_demand(document: Any) -> dict[str, Sequence[SharedClass]]:
    """Decode the demand of a datagram; malformed services are left out.

    :param document: the parsed datagram of any kind.
    """
    _, demand = _get_fields(document)
    if not isinstance(demand, dict):
        return {}
    return {
        service: [
            SharedClass(share=row[0], tokens=row[1], deviation=row[2])
            for row in rows
        ]
        for service, rows in tuple(demand.items())[:MAX_SERVICES]
        if isinstance(rows, list) and all(map(_is_class, rows))
    }


def _get_fields(document: Any) -> tuple[Any, Any]:
    fields = document.get(_KIND) if isinstance(document, dict) else None
    if not isinstance(fields, list) or len(fields) != 2:
        return None, None
    return fields[0], fields[1]


def _encode_report(shared: SharedReport) -> list[str | int]:
    report = shared.report
    percent = round((report.slowdown or 1) * _PERCENT)
    return [
        shared.endpoint,
        report.running,
        report.waiting,
        report.slots,
        max(percent, 1),
        round(shared.age_s * _MS_PER_S),
    ]


def _is_class(row: Any) -> bool:
    if not isinstance(row, list) or len(row) != _CLASS_FIELDS:
        return False
    return _is_number(row[0], 1) and all(
        _is_number(field, _MAX_TOKENS) for field in row[1:]
    )


def _is_report(row: Any) -> bool:
    if not isinstance(row, list) or len(row) != _REPORT_FIELDS:
        return False
    name, *counts = row[:_PACE_FIELD]
    percent, age_ms = row[_PACE_FIELD:]
    if not isinstance(name, str):
        return False
    if not all(_is_number(count, _MAX_COUNT) for count in counts):
        return False
    has_pace = _is_number(percent, _MAX_SLOWDOWN * _PERCENT) and percent > 0
    return has_pace and _is_number(age_ms, MAX_AGE_S * _MS_PER_S)


def _is_number(field: Any, maximum: float) -> bool:
    return (
        isinstance(field, int | float)
        and not isinstance(field, bool)
        and math.isfinite(field)
        and 0 <= field <= maximum
    )
