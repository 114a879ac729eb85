"""How far a request has been received."""

import enum
from collections.abc import Sequence
from typing import Final

from attrs import define

# Bytes of memory that a header takes beyond its text, in the lists and tables
# that hold it until the request is answered.
HEADER_BYTES: Final = 512
# Copies of a body that exist at once while it is joined and sent on.
BODY_COPIES: Final = 3
# Bytes of chunk lines, extensions and trailers that a body may have for each
# chunk, and on top of that.
CHUNK_BYTES: Final = 32
EXTRA_BYTES: Final = 65_536


class Phase(enum.Enum):
    """What a connection expects next."""

    START = 'start'
    HEAD = 'head'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    COMPLETE = 'complete'


@define(kw_only=True)
class IncomingRequest:
    """What was received of a request.

    :ivar phase: what is expected next.
    :ivar head_bytes: bytes of the head.
    :ivar header_count: number of headers.
    :ivar declared_bytes: size of a body whose length was stated.
    :ivar body_bytes: bytes of the body.
    :ivar pieces: pieces in which the body was parsed.
    :ivar chunk_bytes: bytes of a body in chunks, with all that frames it.
    """

    phase: Phase = Phase.START
    head_bytes: int = 0
    header_count: int = 0
    declared_bytes: int = 0
    body_bytes: int = 0
    pieces: int = 0
    chunk_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that the request takes."""
        return (
            self.head_bytes
            + HEADER_BYTES * self.header_count
            + BODY_COPIES * self.body_bytes
        )

    @property
    def has_excess_framing(self) -> bool:
        """Whether more bytes frame the body than its chunks need."""
        allowance = EXTRA_BYTES + CHUNK_BYTES * self.pieces
        return self.chunk_bytes - self.body_bytes > allowance

    def begin_body(self, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Expect the body that the head announces.

        :param headers: headers of the request, names in lower case.
        """
        self.header_count = len(headers)
        is_chunked = False
        for name, text in headers:
            if name == b'content-length':
                self.phase = Phase.LENGTH
                self.declared_bytes = int(text) if text.isdigit() else 0
            elif name == b'transfer-encoding':
                is_chunked = True
        if is_chunked or self.phase is not Phase.LENGTH:
            self.phase = Phase.CHUNKS
