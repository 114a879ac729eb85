"""Validates each part of an engine's streamed answer.

Each event of an engine begins with ``id: <request>/<number>`` and its JSON
names the version that generated it.  Both are compared as bytes to avoid
parsing the JSON of every part; only the last part, which holds the usage, is
parsed.
"""

from collections.abc import AsyncIterator
from typing import Final

import httpcore
import orjson

from laurelwind.errors import (
    EndpointBrokenError,
    EndpointError,
    EndpointSilentError,
    ErrorKind,
)
from laurelwind.protocol.endpoints import (
    AnswerProgress,
    EngineCall,
    EngineStream,
    Usage,
)
from laurelwind.protocol.event_stream import MAX_EVENT_BYTES
from laurelwind.transport.network import HTTP_FAILURES
from laurelwind.transport.pools import EndpointPools

_EVENT_END: Final = b'\n\n'
_USAGE_MARKER: Final = b'"usage":{'
_DONE_MARKER: Final = b'data: [DONE]'
_DATA_PREFIX: Final = b'data: '


class HttpEngineStream(EngineStream):
    """The answer of an engine to one call.

    :param answer: HTTP answer with an unread body.
    :param call: the attempt that every part must match.
    :param pools: connection pools; those of the endpoint are retired when the
        connection fails.
    """

    def __init__(
        self,
        *,
        answer: httpcore.Response,
        call: EngineCall,
        pools: EndpointPools,
    ) -> None:
        self._pools = pools
        self._address = call.address
        self._limit_wait = call.limit_wait
        self.progress = AnswerProgress(
            last_part=call.after_part,
            load=_read_load(answer),
        )
        self._answer = answer
        # Number of the last part checked; the caller may not have it yet.
        self._checked_part = call.after_part
        self._prefix = f'id: {call.request_id}/'.encode()
        self._model = f'"model":"{call.reference}"'.encode()

    async def iterate_parts(self) -> AsyncIterator[bytes]:
        """Yield validated events; see :class:`EngineStream`."""
        buffer = bytearray()
        try:
            async for chunk in self._iterate_chunks():
                checked = self._check_batch(_take_events(buffer, chunk))
                if checked:
                    self.progress.last_part += checked.count(_EVENT_END)
                    yield checked
        except EndpointSilentError:
            self._pools.retire(self._address)
            raise
        except HTTP_FAILURES as error:
            self._pools.retire(self._address)
            raise EndpointBrokenError(
                ErrorKind.ANSWER_BROKEN,
                'the connection failed during the answer',
            ) from error
        self._check_complete(buffer)
        self.progress.last_part = self._checked_part

    async def _iterate_chunks(self) -> AsyncIterator[bytes]:
        chunks = aiter(self._answer.aiter_stream())
        while True:
            with self._limit_wait():
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk

    def _check_batch(self, batch: bytes) -> bytes:
        if not batch:
            return b''
        events = batch.split(_EVENT_END)
        for index, event in enumerate(events[:-1]):
            self._check_part_number(event)
            if self.progress.buffered_events or _USAGE_MARKER in event:
                leading = events[:index]
                self._buffer_ending(events[index:])
                return _EVENT_END.join((*leading, b'')) if leading else b''
            if self._model not in event:
                raise build_answer_error('a part belongs to another version')
        return batch

    def _check_part_number(self, event: bytes) -> None:
        number = self._checked_part + 1
        expected = b'%s%d\n' % (self._prefix, number)
        if not event.startswith(expected):
            raise build_answer_error(
                'a part is missing or belongs to another request'
            )
        self._checked_part = number

    def _buffer_ending(self, events: list[bytes]) -> None:
        for event in events[1:-1]:
            self._check_part_number(event)
        self.progress.buffered_events += _EVENT_END.join(events)
        if len(self.progress.buffered_events) > MAX_EVENT_BYTES:
            raise build_answer_error(
                f'the last parts are longer than {MAX_EVENT_BYTES} bytes'
            )
        if self.progress.usage is None:
            self.progress.usage = self._read_usage(events[0])

    def _read_usage(self, event: bytes) -> Usage:
        if self._model not in event:
            raise build_answer_error('the last part belongs to another version')
        _, _, raw = event.partition(_DATA_PREFIX)
        try:
            usage = orjson.loads(raw)['usage']
            return Usage(
                prompt_tokens=int(usage['prompt_tokens']),
                completion_tokens=int(usage['completion_tokens']),
                parts=int(usage['parts']),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise build_answer_error(
                'the usage in the last part is malformed'
            ) from error

    def _check_complete(self, remainder: bytearray) -> None:
        usage = self.progress.usage
        if (
            remainder
            or usage is None
            or _DONE_MARKER not in self.progress.buffered_events
        ):
            raise EndpointBrokenError(
                ErrorKind.ANSWER_BROKEN, 'the answer ended early'
            )
        if self._checked_part + 1 != usage.parts:
            raise build_answer_error(
                'the number of parts differs from the usage'
            )


def find_header(answer: httpcore.Response, name: bytes) -> bytes:
    """Return the value of a header, or empty bytes.

    :param answer: the answer.
    :param name: name of the header in lower case.
    """
    for header_name, text in answer.headers:
        if header_name.lower() == name:
            return text
    return b''


def _read_load(answer: httpcore.Response) -> int:
    text = find_header(answer, b'x-load')
    return int(text) if text.isdigit() else -1


def _take_events(buffer: bytearray, chunk: bytes) -> bytes:
    """Append a chunk, and take the events that are complete."""
    # The end of an event may begin in the bytes before the chunk.
    searched = max(len(buffer) - len(_EVENT_END) + 1, 0)
    buffer += chunk
    position = buffer.rfind(_EVENT_END, searched)
    events = b''
    if position >= 0:
        events = bytes(buffer[: position + len(_EVENT_END)])
        del buffer[: len(events)]
    if len(buffer) > MAX_EVENT_BYTES:
        raise build_answer_error(
            f'a part is longer than {MAX_EVENT_BYTES} bytes'
        )
    return events


def build_answer_error(message: str) -> EndpointError:
    """Build the error of an answer that is not valid.

    :param message: what is wrong with it.
    """
    return EndpointError(ErrorKind.ANSWER_BROKEN, message)
