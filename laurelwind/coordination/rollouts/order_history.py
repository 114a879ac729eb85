"""Tells operators' orders from outdated ones of a restored store."""

from collections import deque
from typing import Final

from attrs import define, field

from laurelwind.protocol.keyed_store import KeyedRecord
from laurelwind.protocol.positions import decode_position

# Replaced orders of a service that are remembered.  A copy of the store some
# seconds old holds one of the last few.
_MAX_REPLACED: Final = 16
# Services whose orders are remembered; the first ones are forgotten.
MAX_KEYS: Final = 1024


@define(kw_only=True)
class _KnownOrder:
    """The newest order of one key.

    :ivar body: the order in force.
    :ivar era: era of the store in which it was first read.
    :ivar replaced: orders before it.
    """

    body: bytes
    era: int
    replaced: deque[bytes] = field(factory=lambda: deque(maxlen=_MAX_REPLACED))


class OrderHistory:
    """Orders that were read, by key.

    After a restore, an order that another one had replaced is outdated: it
    comes from the older copy, and its successor will be written again.
    """

    def __init__(self) -> None:
        self._known: dict[str, _KnownOrder] = {}

    def accept(self, record: KeyedRecord, body: bytes) -> bool:
        """Return whether an order is the newest one, and remember it.

        :param record: record of the order.
        :param body: its content.
        """
        era = decode_position(record.offset).era
        known = self._known.get(record.key)
        if known is None and len(self._known) >= MAX_KEYS:
            self._known.pop(next(iter(self._known)))
        if known is None:
            self._known[record.key] = _KnownOrder(body=body, era=era)
            return True
        if body == known.body:
            known.era = era
            return True
        if era > known.era and body in known.replaced:
            return False
        known.replaced.append(known.body)
        known.body = body
        known.era = era
        return True
