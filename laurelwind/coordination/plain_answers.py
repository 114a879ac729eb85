"""Bodies of plain answers."""

from collections.abc import Callable
from typing import Final

from laurelwind.coordination.relay_attempts import Attempt
from laurelwind.protocol.exchanges import CallerAnswer

# Answers up to this size are buffered completely before delivery begins, so
# that a request whose answer breaks off can be retried.
MAX_BUFFERED_BYTES: Final = 1_048_576
# Most bytes of all answers that are buffered at once. 60 answers of 1 MB took
# a daemon to 138 MB, beyond the smallest instance of 128 MB.
MAX_ALL_BUFFERED_BYTES: Final = 16_777_216


def _hold_freely(change_bytes: int) -> bool:
    """Hold any number of bytes."""
    return True


class AnswerBuffers:
    """Buffers plain answers before they begin, within a total.

    Beyond the total an answer begins with what was read of it, as one does
    that is too long to be buffered.

    :param max_bytes: most bytes of all buffered answers together.
    :param hold: adds a number of bytes, which may be negative, to what the
        process holds for callers; returns whether that is within its limit.
    """

    def __init__(
        self,
        *,
        max_bytes: int = MAX_ALL_BUFFERED_BYTES,
        hold: Callable[[int], bool] = _hold_freely,
    ) -> None:
        self._max_bytes = max_bytes
        self._hold = hold
        self._held_bytes = 0

    async def read(
        self, attempt: Attempt, *, needs_whole: bool
    ) -> tuple[bytes, bool]:
        """Read a plain answer, up to the size that is buffered.

        :param attempt: the attempt that is answered.
        :param needs_whole: whether the total of the answers may be exceeded,
            though not the limit of the process.
        :returns: what was read, and whether that is the whole answer.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            while size < MAX_BUFFERED_BYTES:
                chunk = await attempt.exchange.read_chunk()
                if not chunk:
                    return b''.join(chunks), True
                chunks.append(chunk)
                size += len(chunk)
                if not self._try_hold(len(chunk), needs_whole=needs_whole):
                    break
        finally:
            self._held_bytes -= size
            self._hold(-size)
        return b''.join(chunks), False

    def _try_hold(self, size: int, *, needs_whole: bool) -> bool:
        """Hold some bytes; return whether more of the answer may be read."""
        self._held_bytes += size
        is_within = self._hold(size)
        return is_within and (
            needs_whole or self._held_bytes <= self._max_bytes
        )


async def relay_remaining(
    attempt: Attempt, body: bytes, answer: CallerAnswer
) -> None:
    """Relay what is left of a plain answer.

    :param attempt: the attempt that is answered.
    :param body: what was read before.
    :param answer: answer to the caller, which has begun.
    """
    while body:
        await answer.send(body)
        body = await attempt.exchange.read_chunk()
    await answer.finish()
