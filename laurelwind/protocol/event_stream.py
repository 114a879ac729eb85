"""Splits a stream into whole events."""

from collections.abc import Sequence
from typing import Final

from attrs import frozen

_SEPARATORS: Final = (b'\n\n', b'\r\n\r\n')
_ID_FIELD: Final = b'id'


@frozen(kw_only=True)
class Event:
    """One whole event.

    :ivar event_id: its id, or empty.
    :ivar raw: its bytes, with the empty line that ends it.
    """

    event_id: str
    raw: bytes


class EventSplitter:
    """Gives out events only once they are whole."""

    def __init__(self) -> None:
        self._pending = b''

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun that is not whole."""
        return bool(self._pending.strip())

    def feed(self, chunk: bytes) -> Sequence[Event]:
        """Take in some bytes, and give the events that are whole now.

        :param chunk: the bytes.
        """
        self._pending += chunk
        events: list[Event] = []
        while True:
            end = _find_end(self._pending)
            if end < 0:
                return events
            raw = self._pending[:end]
            self._pending = self._pending[end:]
            events.append(Event(event_id=_read_id(raw), raw=raw))


def _find_end(pending: bytes) -> int:
    ends = []
    for separator in _SEPARATORS:
        place = pending.find(separator)
        if place >= 0:
            ends.append(place + len(separator))
    return min(ends, default=-1)


def _read_id(raw: bytes) -> str:
    for line in raw.splitlines():
        name, _, text = line.partition(b':')
        if name == _ID_FIELD:
            return text.strip().decode('latin-1')
    return ''
