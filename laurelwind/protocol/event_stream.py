"""Splits a byte stream into complete server-sent events."""

from collections.abc import Sequence
from typing import Final

from attrs import frozen

_SEPARATORS: Final = (b'\n\n', b'\r\n\r\n')
_ID_FIELD: Final = b'id'


@frozen(kw_only=True)
class Event:
    """One complete server-sent event.

    :ivar event_id: value of the ``id`` field, or an empty string.
    :ivar raw: the bytes, including the empty line that terminates the event.
    """

    event_id: str
    raw: bytes


class EventSplitter:
    """Buffers a byte stream and returns events once they are complete."""

    def __init__(self) -> None:
        self._buffer = b''

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    def feed(self, chunk: bytes) -> Sequence[Event]:
        """Append bytes, and return the events that they complete.

        :param chunk: bytes of the stream, cut at any place.
        """
        self._buffer += chunk
        events: list[Event] = []
        while True:
            end = _find_end(self._buffer)
            if end < 0:
                return events
            raw = self._buffer[:end]
            self._buffer = self._buffer[end:]
            events.append(Event(event_id=_parse_id(raw), raw=raw))


def _find_end(buffer: bytes) -> int:
    ends = []
    for separator in _SEPARATORS:
        position = buffer.find(separator)
        if position >= 0:
            ends.append(position + len(separator))
    return min(ends, default=-1)


def _parse_id(raw: bytes) -> str:
    for line in raw.splitlines():
        name, _, field_value = line.partition(b':')
        if name == _ID_FIELD:
            return field_value.strip().decode('latin-1')
    return ''
