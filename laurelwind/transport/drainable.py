"""State of an application whose requests are drained at a stop."""

from laurelwind.coordination.selection_errors import build_stopping_error
from laurelwind.errors import (
    EndpointError,
    ErrorKind,
    LaurelwindError,
)
from laurelwind.transport.caller_exchange import CallerExchange
from laurelwind.transport.open_exchanges import OpenExchanges


class TruncatedAnswerError(Exception):
    """Makes the server close the connection during an answer.

    The caller then detects that the answer is truncated.
    """


class DrainableApplication:
    """Base class of applications whose requests are drained at a stop.

    :ivar exchanges: exchanges in progress.
    :ivar is_draining: whether each answer closes its connection.
    :ivar rejects_requests: whether new requests are refused.
    """

    def __init__(self) -> None:
        self.exchanges = OpenExchanges()
        self.is_draining = False
        self.rejects_requests = False

    def start_draining(self) -> None:
        """Close the connection of each answer that begins from now on."""
        self.is_draining = True
        self.exchanges.close_connections()

    def check_open(self) -> None:
        """Refuse a request if the daemon is about to stop.

        :raises CapacityError: if new requests are refused.
        """
        if self.rejects_requests:
            raise build_stopping_error()


def build_stop_error(exchange: CallerExchange) -> LaurelwindError:
    """Build the error of an exchange that a stop ends.

    :param exchange: an exchange whose answer is not complete.
    """
    if exchange.has_body:
        return EndpointError(
            ErrorKind.DEADLINE_EXCEEDED,
            'the daemon stopped before an endpoint had answered',
        )
    return build_stopping_error()
