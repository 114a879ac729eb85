"""Requests that are passed on as they are, and their answers."""

import abc
from collections.abc import Sequence
from http import HTTPStatus

from attrs import field, frozen

HeaderPairs = Sequence[tuple[bytes, bytes]]


@frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    :ivar name: names the part's content.
    :ivar tokens: its length.
    """

    name: str
    tokens: int


@frozen(kw_only=True)
class RelayRequest:
    """A caller's request, read whole.

    :ivar request_id: the caller's own name for this attempt.
    :ivar method: HTTP method.
    :ivar target: path and query, as the caller sent them.
    :ivar host: host name that the caller used.
    :ivar key: the caller's key, or empty.
    :ivar headers: headers that are passed on.
    :ivar body: the body.
    :ivar deadline_s: seconds that the caller waits, or ``None``.
    :ivar model: model that the caller names, or empty.
    :ivar prompt_tokens: length of the prompt.
    :ivar output_tokens: longest answer in tokens.
    :ivar parts: parts of the prompt, in order.
    :ivar session: names what belongs together, or empty.
    :ivar last_event_id: the caller has a stream's events up to this one.
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
    parts: Sequence[PromptPart] = ()
    session: str = ''
    last_event_id: str = ''

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')


@frozen(kw_only=True)
class Dispatch:
    """How a request is passed on to one endpoint.

    :ivar address: ``host:port`` of the endpoint.
    :ivar endpoint: its name; any other endpoint there refuses the request.
    :ivar workspace: name of the caller's workspace, or empty.
    :ivar deadline_s: seconds that are left.
    :ivar model: model to use, or empty where the caller names it.
    :ivar priority: rank among the requests of an engine, 0 to 9, or ``None``.
    :ivar last_event_id: a stream goes on behind this event, or empty.
    :ivar is_repeatable: whether it may be sent again when its connection
        breaks.
    """

    address: str
    endpoint: str
    workspace: str
    deadline_s: float
    model: str = ''
    priority: int | None = None
    last_event_id: str = ''
    is_repeatable: bool = False


@frozen(kw_only=True)
class EndpointReport:
    """What an endpoint's answer says of its load.

    :ivar running: requests that run.
    :ivar waiting: requests that wait.
    :ivar slots: requests that may run at once.
    """

    running: int
    waiting: int
    slots: int


@frozen(kw_only=True)
class AnswerHead:
    """The head of an endpoint's answer.

    :ivar status: HTTP status code.
    :ivar headers: headers that are passed back.
    :ivar request_id: the request that it belongs to, or empty.
    :ivar did_not_run: whether the endpoint says that the request did not run.
    :ivar is_stream: whether the body is a series of events.
    :ivar length: declared length of the body, or ``None``.
    :ivar load: the endpoint's load, or ``None``.
    :ivar confidence: the model's opinion of its answer, 0 to 100, or ``None``.
    :ivar has_body: whether a body may follow.
    """

    status: int
    headers: HeaderPairs = ()
    request_id: str = ''
    did_not_run: bool = False
    is_stream: bool = False
    length: int | None = None
    load: EndpointReport | None = None
    confidence: float | None = None
    has_body: bool = True

    @property
    def is_success(self) -> bool:
        """Whether the request succeeded."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


class EndpointExchange(abc.ABC):
    """One request at one endpoint."""

    @abc.abstractmethod
    async def read_head(self) -> AnswerHead:
        """Wait for the head of the answer.

        :raises EndpointError: when there is none, or it is not the request's.
        """

    @abc.abstractmethod
    async def read_chunk(self) -> bytes:
        """Wait for more of the body; empty at its end.

        :raises EndpointError: when the answer broke off.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Keep the connection if it is clean, otherwise end the work."""


class EndpointGateway(abc.ABC):
    """Opens exchanges with endpoints."""

    @abc.abstractmethod
    async def send(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> EndpointExchange:
        """Send a request whole.

        :param request: the caller's request.
        :param dispatch: where it goes, and what is added.
        :raises EndpointError: when it was not sent, or not whole; its run
            state tells whether the endpoint may have seen it.
        """


class CallerAnswer(abc.ABC):
    """The answer to one caller."""

    has_begun: bool = False

    @abc.abstractmethod
    async def begin(
        self, status: int, headers: HeaderPairs, length: int | None
    ) -> None:
        """Send the head.

        :param status: HTTP status code.
        :param headers: headers besides the framing.
        :param length: length of the body, or ``None`` where it streams.
        """

    @abc.abstractmethod
    async def send(self, chunk: bytes) -> None:
        """Send a part of the body.

        :param chunk: its bytes.
        """

    @abc.abstractmethod
    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last part of the body.

        :param chunk: its bytes.
        """


class HeaderCodec(abc.ABC):
    """Translates headers from and to the names that the outside uses."""

    @abc.abstractmethod
    def read_request(
        self, method: str, target: bytes, headers: HeaderPairs, body: bytes
    ) -> RelayRequest:
        """Read a caller's request.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: as received, names in lower case.
        :param body: the body.
        """

    @abc.abstractmethod
    def write_request(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> HeaderPairs:
        """Write the headers for an endpoint, without the body's length.

        :param request: the caller's request.
        :param dispatch: what is added.
        """

    @abc.abstractmethod
    def read_answer(self, status: int, headers: HeaderPairs) -> AnswerHead:
        """Read the head of an endpoint's answer.

        :param status: HTTP status code.
        :param headers: as received.
        """
