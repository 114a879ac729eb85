"""Relayed requests and answers, and the interfaces that carry them."""

import abc
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Final

from attrs import field, frozen

HeaderPairs = Sequence[tuple[bytes, bytes]]
_EVENT_STREAM_TYPE: Final = 'text/event-stream'


@frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may have in common.

    :ivar name: identifier of the part's content.
    :ivar tokens: length of the part.
    """

    name: str
    tokens: int


@frozen(kw_only=True)
class RelayRequest:
    """A caller's complete request.

    :ivar request_id: the caller's identifier of this attempt.
    :ivar method: HTTP method.
    :ivar target: path and query, as the caller sent them.
    :ivar host: host name that the caller used.
    :ivar key: the caller's API key, or an empty string.
    :ivar headers: headers to forward.
    :ivar body: the body.
    :ivar deadline_s: seconds that the caller waits, or ``None``.
    :ivar model: model that the caller requests, or an empty string.
    :ivar prompt_tokens: length of the prompt, or zero if not given.
    :ivar output_tokens: largest length of the answer, or zero if not given.
    :ivar length_hint: the caller's estimate of the answer's length in tokens,
        or zero if not given.
    :ivar parts: parts of the prompt, in order.
    :ivar session: identifier that related requests share, or an empty string.
    :ivar last_event_id: the last event of a stream that the caller received,
        or an empty string.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    key: str = field(default='', repr=False)
    headers: HeaderPairs = ()
    body: bytes = field(default=b'', repr=False)
    deadline_s: float | None = None
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    length_hint: int = 0
    parts: Sequence[PromptPart] = ()
    session: str = ''
    last_event_id: str = ''

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')


def _accept_requests() -> bool:
    return True


@frozen(kw_only=True)
class Dispatch:
    """Parameters of forwarding a request to one endpoint.

    :ivar address: ``host:port`` of the endpoint.
    :ivar endpoint: name of the endpoint; another endpoint at the same address
        refuses the request.
    :ivar workspace: name of the caller's workspace, or an empty string.
    :ivar deadline_s: seconds that remain for the request.
    :ivar model: model to use, or an empty string to keep the caller's choice.
    :ivar priority: priority among the requests of an engine, 0 to 9, or
        ``None``.
    :ivar last_event_id: event after which a stream resumes, or an empty
        string.
    :ivar is_repeatable: whether the request may be sent again if its
        connection breaks.
    :ivar accepts_requests: returns whether the endpoint still accepts requests,
        asked once a connection to it is open.
    """

    address: str
    endpoint: str
    workspace: str
    deadline_s: float
    model: str = ''
    priority: int | None = None
    last_event_id: str = ''
    is_repeatable: bool = False
    accepts_requests: Callable[[], bool] = field(
        default=_accept_requests, repr=False
    )


@frozen(kw_only=True)
class LoadReport:
    """Load that an endpoint reports in an answer.

    :ivar running: number of running requests.
    :ivar waiting: number of queued requests.
    :ivar slots: largest number of requests that run concurrently.
    :ivar slowdown: time that work takes there at the moment, as a multiple of
        the usual time, or ``None`` if it is not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@frozen(kw_only=True)
class AnswerHead:
    """The head of an endpoint's answer.

    :ivar status: HTTP status code.
    :ivar headers: headers to return to the caller.
    :ivar request_id: the request that it belongs to, or an empty string; if the
        head names several, all of them, which is the id of none.
    :ivar did_not_run: whether the endpoint reports that the request did not
        run.
    :ivar media_type: declared type of the body, without parameters and in lower
        case, or an empty string.
    :ivar length: declared length of the body, or ``None``.
    :ivar load: load of the endpoint, or ``None``.
    :ivar confidence: confidence of the model in its answer, 0 to 100, or
        ``None``.
    :ivar has_body: whether a body may follow.
    :ivar is_framed: whether the end of the body is marked, other than by the
        end of the connection.
    :ivar is_leaving: whether the endpoint reports that it is about to stop.
    :ivar rate_limits: rate limits of the endpoint in requests per second, as
        sent, one for each header.
    :ivar retry_after: seconds, as sent, for which an endpoint that refused the
        request asks for no further one, or an empty string.
    """

    status: int
    headers: HeaderPairs = ()
    request_id: str = ''
    did_not_run: bool = False
    media_type: str = ''
    length: int | None = None
    load: LoadReport | None = None
    confidence: float | None = None
    has_body: bool = True
    is_framed: bool = True
    is_leaving: bool = False
    rate_limits: Sequence[str] = ()
    retry_after: str = ''

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    @property
    def is_stream(self) -> bool:
        """Whether the body is declared as a stream of server-sent events."""
        return self.media_type == _EVENT_STREAM_TYPE


class EndpointExchange(abc.ABC):
    """A request sent to one endpoint, and its answer.

    A wait that is cancelled loses nothing and may be repeated.
    """

    @abc.abstractmethod
    async def read_head(self) -> AnswerHead:
        """Wait for the head of the answer.

        :raises EndpointError: if no answer arrives, or it belongs to another
            request.
        """

    @abc.abstractmethod
    async def read_chunk(self) -> bytes:
        """Wait for the next chunk of the body, which is empty at its end.

        :raises EndpointError: if the answer is cut off.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Reuse the connection if it is clean, or close it to stop the work."""


class EndpointGateway(abc.ABC):
    """Opens exchanges with endpoints."""

    @abc.abstractmethod
    async def send(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> EndpointExchange:
        """Send a complete request.

        :param request: the caller's request.
        :param dispatch: destination, and headers to add.
        :raises EndpointError: if the request was not sent completely; its run
            state indicates whether the endpoint may have received it.
        """


class CallerAnswer(abc.ABC):
    """The answer sent to one caller.

    :ivar has_begun: whether its head has been sent.
    :ivar endpoint: the last endpoint that received the request, or an empty
        string.
    :ivar events: number of events sent, if it is a stream.
    """

    has_begun: bool = False
    endpoint: str = ''
    events: int = 0

    @abc.abstractmethod
    async def begin(
        self, status: int, headers: HeaderPairs, length: int | None
    ) -> None:
        """Send the head.

        :param status: HTTP status code.
        :param headers: headers without those that frame the body.
        :param length: length of the body, or ``None`` if it is streamed.
        """

    @abc.abstractmethod
    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the body.

        :param chunk: bytes of the body.
        """

    @abc.abstractmethod
    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last chunk and end the body.

        :param chunk: bytes of the body.
        """


class HeaderCodec(abc.ABC):
    """Converts between typed messages and HTTP headers."""

    @abc.abstractmethod
    def decode_request(
        self, method: str, target: bytes, headers: HeaderPairs, body: bytes
    ) -> RelayRequest:
        """Decode a caller's request.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers as received, with names in lower case.
        :param body: the body.
        """

    @abc.abstractmethod
    def encode_request_headers(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> HeaderPairs:
        """Encode the headers for an endpoint, except the body's length.

        :param request: the caller's request.
        :param dispatch: parameters that the headers carry.
        """

    @abc.abstractmethod
    def decode_answer_head(
        self, status: int, headers: HeaderPairs
    ) -> AnswerHead:
        """Decode the head of an endpoint's answer.

        :param status: HTTP status code.
        :param headers: headers as received.
        """
