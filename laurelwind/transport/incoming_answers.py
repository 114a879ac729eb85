"""Answers that are being received on a connection."""

from collections import deque
from typing import Final

_FIRST_FINAL_STATUS: Final = 200
_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
_IDLE_TIMEOUT_MARGIN_S: Final = 0.5


class IncomingAnswer:
    """An answer that is being received.

    :ivar status: HTTP status code, or zero before it is known.
    :ivar headers: headers received so far.
    :ivar chunks: bytes of the body that were not read yet.
    :ivar has_complete_head: whether all headers of a final answer are there.
    :ivar is_ended: whether the whole body was received.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: deque[bytes] = deque()
        self.has_complete_head = False
        self.is_ended = False

    @property
    def is_interim(self) -> bool:
        """Whether it is a 1xx answer that precedes the final one."""
        return self.status < _FIRST_FINAL_STATUS

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body is marked."""
        return any(name.lower() in _FRAMING_HEADERS for name, _ in self.headers)


def parse_idle_timeout(header_value: bytes) -> float | None:
    """Return the seconds for which an idle connection may be used again.

    :param header_value: value of the header ``Keep-Alive``.
    :returns: ``None`` if it names no time-out.
    """
    for parameter in header_value.split(b','):
        name, _, seconds = parameter.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return max(int(seconds) - _IDLE_TIMEOUT_MARGIN_S, 0)
    return None
