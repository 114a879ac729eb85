"""Lifts blocks on behalf of operators."""

from collections.abc import Sequence

from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.state.blocks import Block
from laurelwind.state.crash_reports import SuspectKey


def lift_blocks(screen: SuspectScreen, key: SuspectKey) -> Sequence[Block]:
    """Lift the blocks that hold a suspect, in all daemons; return them.

    :param screen: holds the blocks.
    :param key: the suspect.
    """
    lifted = [block for block in screen.blocks if key in block.keys]
    for block in lifted:
        screen.lift(block.keys)
    return lifted
