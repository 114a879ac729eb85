"""Datagrams between daemons."""

import abc
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

import orjson
from attrs import frozen

# Size of a datagram in bytes; it stays within the smallest MTU.
MAX_DATAGRAM_BYTES: Final = 1200
# What a datagram can hold: signed integers of 64 bits, and ages of moments in
# milliseconds, here up to 30 years.
_INTEGER_BITS: Final = 63
_INTEGER_LIMIT: Final = 1 << _INTEGER_BITS
_MAX_AGE_MS: Final = 1e12


@frozen(kw_only=True)
class DatagramMessage:
    """Message between daemons that carries a datagram.

    :ivar payload: the encoded document.
    """

    payload: str


class DatagramChannel(abc.ABC):
    """Exchanges small JSON documents with other daemons.

    Documents may be lost, repeated or overtake each other.
    """

    @abc.abstractmethod
    def add_listener(self, receive: Callable[[Any], None]) -> None:
        """Register a callback for received documents.

        :param receive: called with each document; ignores those of other kinds.
        """

    @abc.abstractmethod
    async def send(self, peer: str, datagram: bytes) -> None:
        """Send a document; a failure is logged.

        :param peer: ``host:port`` of the daemon.
        :param datagram: the encoded document.
        """


def decode_integer(number: Any) -> int:
    """Decode an integer that can be encoded again.

    :param number: the decoded JSON value.
    :raises ValueError: if it is none; also ``TypeError`` and ``OverflowError``.
    """
    integer = int(number)
    if not -_INTEGER_LIMIT <= integer < _INTEGER_LIMIT:
        raise ValueError
    return integer


def decode_age(number: Any) -> float:
    """Decode an age in milliseconds that can be encoded again.

    :param number: the decoded JSON value; negative for a moment to come.
    :raises ValueError: if it is none; also ``TypeError``.
    """
    age_ms = float(number)
    if not -_MAX_AGE_MS <= age_ms <= _MAX_AGE_MS:
        raise ValueError
    return age_ms


def pack_rows(kind: str, rows: Iterable[Any]) -> Iterator[bytes]:
    """Encode rows as datagrams with one field, which holds the rows.

    :param kind: name of the field.
    :param rows: the rows; one that is too large is sent alone.
    """
    packed: list[Any] = []
    size = 0
    for row in rows:
        row_size = len(orjson.dumps(row)) + 1
        if packed and size + row_size > MAX_DATAGRAM_BYTES:
            yield orjson.dumps({kind: packed})
            packed = []
            size = 0
        packed.append(row)
        size += row_size
    if packed:
        yield orjson.dumps({kind: packed})
