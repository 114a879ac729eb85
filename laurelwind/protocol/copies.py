"""Records of a topic on their way between daemons."""

import base64
from typing import Any, Final

import orjson

from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.keyed import Batch, KeyedRecord

_MS_PER_S: Final = 1000


def encode_batch(batch: Batch) -> bytes:
    """Write a batch.

    :param batch: the records.
    """
    rows = [_encode_record(found) for found in batch.records]
    return orjson.dumps(
        {
            'lag_ms': batch.lag_s * _MS_PER_S,
            'next_offset': batch.next_offset,
            'records': rows,
        }
    )


def decode_batch(text: bytes) -> Batch:
    """Read a batch.

    :param text: what :func:`encode_batch` wrote.
    :raises PlatformError: when it is something else.
    """
    try:
        return _decode(orjson.loads(text))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(
            ErrorKind.LOG_UNAVAILABLE, 'a daemon sent a batch of another form'
        ) from error


def _decode(found: dict[str, Any]) -> Batch:
    return Batch(
        records=tuple(_decode_record(row) for row in found['records']),
        next_offset=int(found['next_offset']),
        lag_s=float(found['lag_ms']) / _MS_PER_S,
        is_copy=True,
    )


def _encode_record(found: KeyedRecord) -> tuple[str, int, str | None]:
    body = None
    if found.body is not None:
        body = base64.b64encode(found.body).decode()
    return found.key, found.offset, body


def _decode_record(row: list[Any]) -> KeyedRecord:
    key, offset, body = row
    return KeyedRecord(
        key=str(key),
        offset=int(offset),
        body=None if body is None else base64.b64decode(body),
    )
