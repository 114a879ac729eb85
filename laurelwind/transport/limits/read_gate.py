"""Decides whether a connection is read."""

import asyncio

from uvicorn.protocols.http.flow_control import FlowControl


class ReadGate(FlowControl):
    """Flow control of a connection that may hold unparsed bytes.

    While it does, nothing resumes reading.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.is_holding = False

    def resume_reading(self) -> None:
        """Read again, unless unparsed bytes are held."""
        if not self.is_holding:
            super().resume_reading()

    def hold(self) -> None:
        """Stop reading, as unparsed bytes are held."""
        self.is_holding = True
        self.pause_reading()

    def release(self, *, reads: bool) -> None:
        """Note that all bytes were parsed.

        :param reads: whether to read again at once.
        """
        self.is_holding = False
        if reads:
            self.resume_reading()
