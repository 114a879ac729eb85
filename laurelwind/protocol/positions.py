"""Positions of records: an era of the store and an offset in one number.

A store that is restored from an older copy loses its newest records and gives
their offsets out again.  Its era rises with each restore.  As the era leads,
every position of a later era is larger than all those before.
"""

from typing import Final

from attrs import frozen

_OFFSET_BITS: Final = 44
_OFFSET_MASK: Final = (1 << _OFFSET_BITS) - 1


@frozen(kw_only=True)
class Position:
    """A place in a topic.

    :ivar era: number of restores of the store from an older copy.
    :ivar offset: offset of a record, or the generation of a group.
    """

    era: int = 0
    offset: int = 0


def encode_position(position: Position) -> int:
    """Return the number that stands for a position.

    :param position: the position.
    """
    return (position.era << _OFFSET_BITS) | position.offset


def decode_position(number: int) -> Position:
    """Return the position that a number stands for.

    :param number: number from :func:`encode_position`.
    """
    return Position(era=number >> _OFFSET_BITS, offset=number & _OFFSET_MASK)
