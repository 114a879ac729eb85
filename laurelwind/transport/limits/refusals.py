"""Answers to requests that are refused while they are received."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from laurelwind.coordination.retries import draw_retry_after
from laurelwind.transport.limits.account import EndReason


def _encode(status: HTTPStatus, *headers: str) -> bytes:
    lines = (
        f'HTTP/1.1 {status.value} {status.phrase}',
        'connection: close',
        'content-length: 0',
        *headers,
    )
    return '\r\n'.join((*lines, '', '')).encode()


_SHORTAGES: Final = frozenset((EndReason.MEMORY, EndReason.CONNECTIONS))
_REFUSALS: Final[Mapping[EndReason, bytes]] = {
    EndReason.HEAD: _encode(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
    EndReason.BLANK_LINES: b'',
    EndReason.FRAMING: _encode(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    EndReason.UNREAD: b'',
}


def encode_refusal(reason: EndReason) -> bytes:
    """Encode the answer to a request that is refused.

    The request is incomplete, so that it has not run. Callers that are refused
    together, as something is short, get different times at which to return.

    :param reason: limit at which its connection is ended.
    """
    if reason not in _SHORTAGES:
        return _REFUSALS[reason]
    return _encode(
        HTTPStatus.SERVICE_UNAVAILABLE,
        f'retry-after: {draw_retry_after():.2f}',
    )
