"""Requests that crash the stand-in endpoints which run them."""

import re
from typing import Final

_BODY: Final = re.compile(rb'deadly [0-9]+ step ([0-9])')


def encode_deadly_body(number: int, step: int) -> bytes:
    """Encode the body of a request that crashes endpoints.

    :param number: tells such requests apart.
    :param step: what is sent before the crash: nothing (0), the head of the
        answer (1), or so many events or bytes less one as well.
    """
    return b'deadly %d step %d' % (number, step)


def read_crash_step(body: bytes) -> int | None:
    """Return the step at which a request crashes endpoints, or ``None``.

    :param body: body of the request.
    """
    match = _BODY.fullmatch(body)
    return None if match is None else int(match[1])
