"""Callers that misuse daemons, beside the ordinary ones."""

import contextlib
import enum
import itertools
import random
from collections.abc import Iterator
from typing import Final

import anyio

from laurelwind.transport.network import split_address
from soak import bounds
from soak.durations import choose_duration
from soak.fault_journal import FaultJournal
from soak.fleet import Fleet

# Connections of one misuse, and bytes of a body: all bodies together are larger
# than the smallest instance.
MISUSE_CALLERS: Final = 40
BODY_BYTES: Final = 4_000_000
# Bytes of a head or of blank lines, far beyond their limits.
ENDLESS_BYTES: Final = 1_000_000
# Size of the answers to requests sent ahead, and their number on a connection:
# more than the buffers of the sockets hold.
ANSWER_BYTES: Final = 200_000
PIPELINED_REQUESTS: Final = 40
_PIECE_BYTES: Final = 65_536


class Misuse(enum.StrEnum):
    """What a caller sends that no ordinary caller sends."""

    HEAD = 'head'
    BLANK_LINES = 'blank lines'
    BODY = 'body'
    PIPELINED = 'pipelined'


class MisuseFaults:
    """Lets callers misuse daemons.

    No fault window is recorded: the guarantees to ordinary callers hold.

    :param fleet: fleet to misuse.
    :param journal: records the faults.
    """

    def __init__(self, *, fleet: Fleet, journal: FaultJournal):
        self._fleet = fleet
        self._journal = journal
        self._count = 0

    async def misuse(self, rng: random.Random) -> None:
        """Send to a daemon in one way, and read nothing, for some seconds."""
        daemon = rng.choice(self._fleet.daemons)
        misuse = rng.choice(tuple(Misuse))
        duration_s = choose_duration(rng)
        self._journal.record(f'misuse: {misuse}', daemon.name, duration_s)
        with anyio.move_on_after(duration_s):
            async with anyio.create_task_group() as group:
                for _ in range(MISUSE_CALLERS):
                    self._count += 1
                    pieces = generate_pieces(misuse, f'misuse-{self._count}')
                    group.start_soon(
                        _send_unread, daemon.addresses['callers'], pieces
                    )


def generate_pieces(misuse: Misuse, name: str) -> Iterator[bytes]:
    """Generate what one connection sends.

    :param misuse: kind of misuse.
    :param name: begin of the ids of its requests.
    """
    match misuse:
        case Misuse.HEAD:
            yield _encode_head(f'{name}-0', 1)[:-2]
            yield from _repeat(b'X-Name: text\r\n')
        case Misuse.BLANK_LINES:
            yield from _repeat(b'\r\n')
        case Misuse.BODY:
            # The last byte is missing.
            yield _encode_head(f'{name}-0', 1, BODY_BYTES + 1)
            yield from itertools.repeat(
                bytes(_PIECE_BYTES), BODY_BYTES // _PIECE_BYTES
            )
        case Misuse.PIPELINED:
            for number in range(PIPELINED_REQUESTS):
                yield _encode_head(f'{name}-{number}', ANSWER_BYTES)


def _repeat(text: bytes) -> Iterator[bytes]:
    piece = text * (_PIECE_BYTES // len(text))
    return itertools.repeat(piece, ENDLESS_BYTES // len(piece))


def _encode_head(
    request_id: str, answer_bytes: int, body_bytes: int = 0
) -> bytes:
    lines = (
        f'POST /look/{answer_bytes} HTTP/1.1',
        f'Host: {bounds.HOST}',
        f'X-Request-Id: {request_id}',
        f'Authorization: Bearer {bounds.PERMANENT_KEY}',
        f'Content-Length: {body_bytes}',
    )
    return '\r\n'.join((*lines, '', '')).encode()


async def _send_unread(address: str, pieces: Iterator[bytes]) -> None:
    """Send without reading, and keep the connection open."""
    with contextlib.suppress(OSError, anyio.BrokenResourceError):
        async with await anyio.connect_tcp(*split_address(address)) as stream:
            for piece in pieces:
                await stream.send(piece)
            await anyio.sleep_forever()
