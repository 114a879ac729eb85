"""Splits a byte stream into complete server-sent events."""

from collections.abc import Sequence
from typing import Final

from attrs import frozen

from laurelwind.errors import EndpointError, ErrorKind, RunState

_SEPARATORS: Final = (b'\n\n', b'\r\n\r\n')
# A separator may begin in bytes that were searched before.
_SEPARATOR_OVERLAP: Final = max(map(len, _SEPARATORS)) - 1
_ID_FIELD: Final = b'id'
_COMMENT: Final = b':'
# Longest event; what an endpoint sends without end must not fill the memory.
MAX_EVENT_BYTES: Final = 1_048_576


@frozen(kw_only=True)
class Event:
    """One complete server-sent event.

    :ivar event_id: value of the ``id`` field, or an empty string.
    :ivar raw: the bytes, including the empty line that terminates the event.
    """

    event_id: str
    raw: bytes

    @property
    def has_content(self) -> bool:
        """Whether it is more than comments, which readers ignore."""
        return any(
            line and not line.startswith(_COMMENT)
            for line in self.raw.splitlines()
        )


class EventSplitter:
    """Buffers a byte stream and returns events once they are complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Bytes at the start of the buffer that hold no end of an event.
        self._searched = 0

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    def feed(self, chunk: bytes) -> Sequence[Event]:
        """Append bytes, and return the events that they complete.

        :param chunk: bytes of the stream, cut at any place.
        :raises EndpointError: if an event is longer than MAX_EVENT_BYTES.
        """
        self._buffer += chunk
        events: list[Event] = []
        end = self._find_end()
        while end >= 0:
            raw = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched = 0
            events.append(Event(event_id=_parse_id(raw), raw=raw))
            end = self._find_end()
        self._searched = max(len(self._buffer) - _SEPARATOR_OVERLAP, 0)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EndpointError(
                ErrorKind.ANSWER_BROKEN,
                f'an event is longer than {MAX_EVENT_BYTES} bytes',
                run=RunState.RAN,
            )
        return events

    def _find_end(self) -> int:
        ends = []
        for separator in _SEPARATORS:
            position = self._buffer.find(separator, self._searched)
            if position >= 0:
                ends.append(position + len(separator))
        return min(ends, default=-1)


def _parse_id(raw: bytes) -> str:
    for line in raw.splitlines():
        name, _, field_value = line.partition(b':')
        if name == _ID_FIELD:
            return field_value.strip().decode('latin-1')
    return ''
