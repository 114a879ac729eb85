"""Heads and destinations of chat answers."""

import abc

from attrs import frozen


@frozen(kw_only=True)
class ChatAnswerHead:
    """Metadata available when an answer begins.

    :ivar request_id: identifier of the request.
    :ivar reference: ``model@version`` that answers.
    :ivar is_escalated: whether the answer of a cheaper version was discarded.
    """

    request_id: str
    reference: str
    is_escalated: bool


class ChatAnswerSink(abc.ABC):
    """Destination of a streamed answer."""

    @abc.abstractmethod
    async def begin(self, head: ChatAnswerHead) -> None:
        """Begin the answer.

        :param head: metadata of the answer.
        """

    @abc.abstractmethod
    async def send(self, events: bytes) -> None:
        """Send events.

        :param events: complete server-sent events.
        """

    @abc.abstractmethod
    async def finish(self, events: bytes) -> None:
        """Send the last events, after the charge is recorded.

        :param events: complete server-sent events.
        """
