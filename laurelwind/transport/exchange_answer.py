"""The answer to a relayed request on the ASGI interface."""

from laurelwind.protocol.exchanges import (
    CallerAnswer,
    HeaderPairs,
    RelayRequest,
)
from laurelwind.state.load import read_monotonic_clock
from laurelwind.transport.caller_exchange import CallerExchange


class ExchangeAnswer(CallerAnswer):
    """Answer to a caller on the ASGI interface.

    :param exchange: exchange with the caller.
    :param request: the request that is answered.
    :param arrived_at: moment of its arrival, on the monotonic clock.
    """

    def __init__(
        self,
        *,
        exchange: CallerExchange,
        request: RelayRequest,
        arrived_at: float,
    ) -> None:
        self.exchange = exchange
        self.request = request
        self.arrived_at = arrived_at

    @property
    def elapsed_s(self) -> float:
        """Seconds since the request arrived."""
        return read_monotonic_clock() - self.arrived_at

    async def begin(
        self, status: int, headers: HeaderPairs, length: int | None
    ) -> None:
        """Send the head; see :class:`CallerAnswer`."""
        self.has_begun = True
        framing = []
        if length is not None:
            framing.append((b'content-length', str(length).encode()))
        await self.exchange.begin(status, (*headers, *framing))

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the body; see :class:`CallerAnswer`."""
        await self.exchange.send_chunk(chunk)

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last chunk of the body; see :class:`CallerAnswer`."""
        await self.exchange.send_chunk(chunk, is_last=True)
