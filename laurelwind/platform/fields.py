"""Checked fields of the platform's documents."""

import ipaddress
import re
import sys
from typing import Any, Final

import orjson

from laurelwind.errors import ConfigurationError, ErrorKind
from laurelwind.state.fields import parse_count, parse_number, parse_text

# Writers that hold numbers as floats round larger integers (RFC 8259).
MAX_EXACT_COUNT: Final = 2**sys.float_info.mant_dig - 1
_ADDRESS: Final = re.compile(
    r'(?:\[([\da-f:.]+)\]|([\da-f:.]+)):(\d{1,5})', re.ASCII | re.IGNORECASE
)
_MAX_PORT: Final = 65535


def parse_object(body: bytes) -> dict[str, Any]:
    """Parse a document that is a JSON object.

    :param body: the document.
    :raises ConfigurationError: if it is anything else.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise build_error(error) from error
    if not isinstance(document, dict):
        raise build_error(TypeError('expected a JSON object'))
    return document


def parse_address(field: Any) -> str:
    """Return an address, ``host:port`` with a numeric host.

    Host names are refused: looking one up takes time and threads, and text that
    is no valid name fails with errors that no connection raises.

    :param field: the field of a document.
    :raises TypeError: if it is no string.
    :raises ValueError: if it is anything else, or its port is out of range.
    """
    address = _ADDRESS.fullmatch(parse_text(field))
    if address is None:
        raise ValueError('expected HOST:PORT with a numeric host')
    bracketed_host, host, port = address.groups()
    if bracketed_host:
        ipaddress.IPv6Address(bracketed_host)
    else:
        ipaddress.ip_address(host)
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'expected a port from 1 to {_MAX_PORT}')
    return str(field)


def parse_duration(field: Any) -> float:
    """Return a finite number above zero.

    :param field: the field of a document.
    :raises TypeError: if it is no number.
    :raises ValueError: if it is not finite or not above zero.
    """
    duration = parse_number(field)
    if duration <= 0:
        raise ValueError('expected a number above zero')
    return duration


def parse_exact_count(field: Any) -> int:
    """Return a non-negative integer that every writer of JSON holds exactly.

    :param field: the field of a document.
    :raises TypeError: if it is no non-negative integer.
    :raises ValueError: if it is larger than ``MAX_EXACT_COUNT``.
    """
    count = parse_count(field)
    if count > MAX_EXACT_COUNT:
        raise ValueError(f'expected an integer up to {MAX_EXACT_COUNT}')
    return count


def build_error(error: Exception) -> ConfigurationError:
    """Build the error of a document that cannot be used.

    :param error: what its structure raised.
    """
    return ConfigurationError(
        ErrorKind.CONFIGURATION_INVALID,
        f'invalid document ({type(error).__name__}: {error})',
    )
