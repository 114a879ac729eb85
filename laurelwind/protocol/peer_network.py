"""Interface of the messaging between daemons."""

import abc
from collections.abc import Awaitable, Callable, Mapping

from laurelwind.errors import LaurelwindError
from laurelwind.protocol.messages import Message

MessageHandler = Callable[[Message], Awaitable[Message]]


class PeerNetwork(abc.ABC):
    """Sends messages to other daemons and answers theirs."""

    @abc.abstractmethod
    async def send_request(
        self, address: str, message: Message, timeout_s: float
    ) -> Message:
        """Send a request to another daemon and wait for the answer.

        :param address: ``host:port`` at which the daemon listens for peers.
        :param message: the request.
        :param timeout_s: longest wait for the answer.
        :raises PeerError: if no authentic answer arrives in time.
        """

    async def notify(
        self, address: str, message: Message, timeout_s: float
    ) -> None:
        """Notify another daemon on a best-effort basis; failures are ignored.

        :param address: ``host:port`` at which the daemon listens for peers.
        :param message: the notification.
        :param timeout_s: longest wait for the acknowledgement.
        """
        try:
            await self.send_request(address, message, timeout_s)
        except LaurelwindError:
            return

    @abc.abstractmethod
    def register_handlers(
        self, handlers: Mapping[type[Message], MessageHandler]
    ) -> None:
        """Register the functions that answer messages.

        :param handlers: a function for each type of message.
        """
