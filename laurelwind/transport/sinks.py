"""Sinks that send answers to callers, streamed or as one document."""

from typing import Final

from laurelwind.coordination.chat_answers import ChatAnswerHead, ChatAnswerSink
from laurelwind.protocol.answers import build_completion
from laurelwind.transport.caller_exchange import CallerExchange

_STATUS_OK: Final = 200
_STREAM_HEADERS: Final = (
    (b'content-type', b'text/event-stream'),
    (b'cache-control', b'no-store'),
)


class StreamSink(ChatAnswerSink):
    """Forwards events as they arrive.

    :param exchange: exchange with the caller.
    """

    def __init__(self, *, exchange: CallerExchange) -> None:
        self._exchange = exchange

    async def begin(self, head: ChatAnswerHead) -> None:
        """Send the head; see :class:`ChatAnswerSink`."""
        headers = (*_STREAM_HEADERS, *build_version_headers(head))
        await self._exchange.begin(_STATUS_OK, headers)

    async def send(self, events: bytes) -> None:
        """Send events; see :class:`ChatAnswerSink`."""
        await self._exchange.send_chunk(events)

    async def finish(self, events: bytes) -> None:
        """Send the last events; see :class:`ChatAnswerSink`."""
        await self._exchange.send_chunk(events, is_last=True)


class BufferedSink(ChatAnswerSink):
    """Buffers events and sends them as one completion at the end.

    :param exchange: exchange with the caller.
    """

    def __init__(self, *, exchange: CallerExchange) -> None:
        self._exchange = exchange
        self._events: list[bytes] = []
        self._head: ChatAnswerHead | None = None

    async def begin(self, head: ChatAnswerHead) -> None:
        """Buffer the head; see :class:`ChatAnswerSink`."""
        self._head = head

    async def send(self, events: bytes) -> None:
        """Buffer events; see :class:`ChatAnswerSink`."""
        self._events.append(events)

    async def finish(self, events: bytes) -> None:
        """Send the complete completion; see :class:`ChatAnswerSink`."""
        self._events.append(events)
        completion = build_completion(b''.join(self._events))
        headers = (
            () if self._head is None else build_version_headers(self._head)
        )
        await self._exchange.send_json(completion, headers=headers)


def build_version_headers(
    head: ChatAnswerHead,
) -> tuple[tuple[bytes, bytes], ...]:
    """Build the headers that name the model version of an answer.

    :param head: head of the answer.
    """
    escalated = b'true' if head.is_escalated else b'false'
    return (
        (b'x-model-version', head.reference.encode()),
        (b'x-escalated', escalated),
    )
