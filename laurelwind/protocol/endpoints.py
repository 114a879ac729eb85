"""Interfaces of the clients for model engines and plain services."""

import abc
import contextlib
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from typing import Final

from attrs import define, frozen

HeaderPairs = Sequence[tuple[bytes, bytes]]
LimitWait = Callable[[], contextlib.AbstractContextManager[None]]

NO_PART: Final = -1


@frozen(kw_only=True)
class EngineCall:
    """One attempt to get a request answered by a model version.

    :ivar address: ``host:port`` of the endpoint.
    :ivar credential: name of a credential in the daemon's settings.
    :ivar request_id: id of the request; every part of the answer must carry it.
    :ivar reference: ``model@version``; every part of the answer must carry it.
    :ivar body: the request's JSON.
    :ivar priority: priority at the engine; zero is the most urgent.
    :ivar after_part: number of the part after which to resume, or -1 for a
        new answer.
    :ivar limit_wait: returns the context of each wait for the endpoint, which
        may end the wait with an :class:`EndpointSilentError`.
    :ivar traceparent: W3C trace context to forward, or an empty string.
    """

    address: str
    request_id: str
    reference: str
    body: bytes
    credential: str = ''
    priority: int = 0
    after_part: int = NO_PART
    limit_wait: LimitWait = contextlib.nullcontext
    traceparent: str = ''


@frozen(kw_only=True)
class Usage:
    """Usage of one answer, as reported by the engine.

    :ivar prompt_tokens: number of tokens in the prompt.
    :ivar completion_tokens: number of generated tokens.
    :ivar parts: number of parts in the whole answer, including the last one.
    """

    prompt_tokens: int
    completion_tokens: int
    parts: int


@define(kw_only=True)
class AnswerProgress:
    """Progress of a streamed answer.

    :ivar last_part: number of the last part handed out; the buffered ones count
        once the answer is complete.
    :ivar load: number of requests in flight last reported by the endpoint, or
        -1 if it has reported none.
    :ivar usage: ``None`` until the answer is complete.
    :ivar buffered_events: the last events of the answer, buffered until the
        answer is charged.
    """

    last_part: int = NO_PART
    load: int = NO_PART
    usage: Usage | None = None
    buffered_events: bytes = b''


class EngineStream(abc.ABC):
    """A streamed answer whose parts are checked as they arrive."""

    progress: AnswerProgress

    @abc.abstractmethod
    def iterate_parts(self) -> AsyncIterator[bytes]:
        """Iterate over the events of this request, in order and without gaps.

        The last events are not returned but buffered in
        ``progress.buffered_events``, and the usage in ``progress.usage``.

        :raises EndpointError: if the answer is cut off, comes from another
            request or version, or the limit of a wait ended it.
        """


class EngineClient(abc.ABC):
    """Client of model engines."""

    @abc.abstractmethod
    def open(
        self,
        call: EngineCall,
    ) -> contextlib.AbstractAsyncContextManager[EngineStream]:
        """Send a request and wait for the head of its answer.

        :param call: the request and its destination.
        :raises EndpointError: if no answer begins.
        """


@frozen(kw_only=True)
class ServiceCall:
    """One attempt to call a plain service.

    :ivar address: ``host:port`` of the endpoint.
    :ivar method: HTTP method.
    :ivar path: path and query, beginning with a slash.
    :ivar headers: headers to forward.
    :ivar body: the request's body.
    :ivar request_id: id of the request; the answer must carry it.
    :ivar timeout_s: deadline of the whole call, in seconds from its start.
    :ivar credential: name of a credential in the daemon's settings.
    :ivar traceparent: W3C trace context to forward, or an empty string.
    """

    address: str
    method: str
    path: str
    headers: HeaderPairs
    body: bytes
    request_id: str
    timeout_s: float
    credential: str = ''
    traceparent: str = ''


@frozen(kw_only=True)
class ServiceAnswer:
    """Answer of a plain service.

    :ivar status: HTTP status code.
    :ivar headers: headers to return to the caller.
    :ivar body: the complete body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


class ServiceClient(abc.ABC):
    """Client of plain services."""

    @abc.abstractmethod
    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Call a service once.

        :param call: the request and its destination.
        :raises EndpointError: if the call fails; its run state
            indicates whether the request may have run.
        """
