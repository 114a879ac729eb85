"""Wire format of the record batches that daemons exchange."""

import base64
from typing import Any, Final

import orjson

from laurelwind.errors import ErrorKind, PlatformError
from laurelwind.protocol.keyed_store import Batch, KeyedRecord

_MS_PER_S: Final = 1000


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch as JSON.

    :param batch: the records.
    """
    rows = [_encode_record(record) for record in batch.records]
    return orjson.dumps(
        {
            'lag_ms': batch.lag_s * _MS_PER_S,
            'next_offset': batch.next_offset,
            'records': rows,
        }
    )


def decode_batch(text: bytes) -> Batch:
    """Decode a batch.

    :param text: JSON written by :func:`encode_batch`.
    :raises PlatformError: if the JSON is not a valid batch.
    """
    try:
        return _build_batch(orjson.loads(text))
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(
            ErrorKind.LOG_UNAVAILABLE,
            'a peer sent a malformed batch of records',
        ) from error


def _build_batch(decoded: dict[str, Any]) -> Batch:
    return Batch(
        records=tuple(_decode_record(row) for row in decoded['records']),
        next_offset=int(decoded['next_offset']),
        lag_s=float(decoded['lag_ms']) / _MS_PER_S,
        is_copy=True,
    )


def _encode_record(record: KeyedRecord) -> tuple[str, int, str | None]:
    body = None
    if record.body is not None:
        body = base64.b64encode(record.body).decode()
    return record.key, record.offset, body


def _decode_record(row: list[Any]) -> KeyedRecord:
    key, offset, body = row
    return KeyedRecord(
        key=str(key),
        offset=int(offset),
        body=None if body is None else base64.b64decode(body),
    )
