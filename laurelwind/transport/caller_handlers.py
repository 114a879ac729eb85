"""The caller interface: chat completions, sessions and models."""

import contextlib
import functools
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.coordination.cascade import CascadePlanner
from laurelwind.coordination.chat_requests import ChatRequest
from laurelwind.coordination.dispatch import ChatDispatcher
from laurelwind.coordination.follower import ConfigurationFollower
from laurelwind.errors import (
    CallerError,
    ErrorKind,
    LaurelwindError,
)
from laurelwind.state.document import Document, Workspace
from laurelwind.state.identity import create_identifier
from laurelwind.state.sessions import Session, SessionSigner
from laurelwind.transport.application import Resource
from laurelwind.transport.caller_exchange import CallerExchange
from laurelwind.transport.sinks import BufferedSink, StreamSink

_CREATED: Final = 201
_SESSION_HEADER: Final = 'x-session'
_TIMEOUT_HEADER: Final = 'x-timeout-s'
_MAX_SESSION_BODY_BYTES: Final = 4096
_MODEL: Final = 'model'


@frozen(kw_only=True)
class Caller:
    """The authenticated caller of a request.

    :ivar name: name of the workspace.
    :ivar workspace: configuration of the workspace.
    :ivar document: the configuration in force.
    """

    name: str
    workspace: Workspace
    document: Document


class CallerAuthenticator:
    """Authenticates callers by key and counts requests in flight.

    :param follower: provides the configuration in force.
    """

    def __init__(self, *, follower: ConfigurationFollower) -> None:
        self._follower = follower
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests being served."""
        return self._in_flight

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight for the duration of the context."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    def authenticate(self, exchange: CallerExchange) -> Caller:
        """Authenticate the caller of a request.

        :param exchange: the request.
        :raises CallerError: when its key is missing or unknown.
        """
        key = exchange.read_api_key()
        current = self._follower.current
        name = current.find_workspace(key)
        if name is None:
            raise CallerError(ErrorKind.KEY_UNKNOWN, 'unknown key')
        return Caller(
            name=name,
            workspace=current.document.workspaces[name],
            document=current.document,
        )


class ChatHandlers:
    """Handlers of chat completions, sessions and models.

    :param authenticator: authenticates callers.
    :param dispatcher: serves chat requests.
    :param planner: chooses the version that a session is pinned to.
    :param signer: signs session tokens.
    """

    def __init__(
        self,
        *,
        authenticator: CallerAuthenticator,
        dispatcher: ChatDispatcher,
        planner: CascadePlanner,
        signer: SessionSigner,
    ) -> None:
        self._authenticator = authenticator
        self._dispatcher = dispatcher
        self._planner = planner
        self._signer = signer

    def list_resources(self) -> Sequence[Resource]:
        """List the resources of these handlers."""
        return (
            Resource(
                path='/v1/chat/completions',
                methods={'POST': self.complete_chat},
                span_name='entry',
            ),
            Resource(
                path='/v1/sessions',
                methods={'POST': self.open_session},
                span_name='entry',
            ),
            Resource(path='/v1/models', methods={'GET': self.list_models}),
        )

    async def complete_chat(self, exchange: CallerExchange) -> None:
        """Answer a chat completion.

        :param exchange: the caller's request.
        """
        caller = self._authenticator.authenticate(exchange)
        limits = caller.workspace.limits
        body = await exchange.read_json(limits.body_bytes)
        check_chat_body(body)
        request = ChatRequest(
            request_id=exchange.request_id,
            workspace=caller.name,
            requested=body[_MODEL],
            body=body,
            session=self._read_session(exchange, caller),
            deadline_s=exchange.read_seconds(_TIMEOUT_HEADER),
        )
        sink = (
            StreamSink(exchange=exchange)
            if body.get('stream')
            else BufferedSink(exchange=exchange)
        )
        with self._authenticator.track_request():
            await run_until_disconnect(
                exchange,
                functools.partial(
                    self._dispatcher.run,
                    request,
                    sink,
                ),
            )

    async def open_session(self, exchange: CallerExchange) -> None:
        """Open a session that is pinned to one version.

        :param exchange: the caller's request.
        """
        caller = self._authenticator.authenticate(exchange)
        body = await exchange.read_json(_MAX_SESSION_BODY_BYTES)
        requested = body.get(_MODEL)
        if not isinstance(requested, str):
            raise CallerError(
                ErrorKind.BODY_MALFORMED,
                'model must be a string',
            )
        session = Session(
            session_id=create_identifier(),
            workspace=caller.name,
            task=requested,
            reference=self._planner.choose_for_session(
                caller.document,
                caller.name,
                requested,
            ),
        )
        answer = {
            'session': self._signer.sign(session),
            'id': session.session_id,
            _MODEL: requested,
            'version': session.reference,
        }
        await exchange.send_json(answer, status=_CREATED)

    async def list_models(self, exchange: CallerExchange) -> None:
        """List the tasks and versions that the workspace may request.

        :param exchange: the caller's request.
        """
        caller = self._authenticator.authenticate(exchange)
        workspace = caller.workspace
        names = [*workspace.tasks, *workspace.versions]
        models = [
            {
                'id': name,
                'object': _MODEL,
                'created': 0,
                'owned_by': caller.name,
            }
            for name in names
        ]
        await exchange.send_json({'object': 'list', 'data': models})

    def _read_session(
        self,
        exchange: CallerExchange,
        caller: Caller,
    ) -> Session | None:
        token = exchange.headers.get(_SESSION_HEADER)
        if token is None:
            return None
        return self._signer.read(token, caller.name)


def check_chat_body(body: Mapping[str, Any]) -> None:
    """Validate the fields of a chat request that the router reads.

    :param body: the JSON object sent by the caller.
    :raises CallerError: when a field is missing or of a wrong type.
    """
    if not isinstance(body.get(_MODEL), str):
        raise CallerError(ErrorKind.BODY_MALFORMED, 'model must be a string')
    messages = body.get('messages')
    message_list = messages if isinstance(messages, list) else ()
    if not message_list or not all(
        isinstance(message, dict) for message in message_list
    ):
        raise CallerError(
            ErrorKind.BODY_MALFORMED,
            'messages must be a non-empty list of objects',
        )
    if not isinstance(body.get('stream', False), bool | None):
        raise CallerError(
            ErrorKind.BODY_MALFORMED,
            'stream must be true or false',
        )


async def run_until_disconnect(
    exchange: CallerExchange,
    work: Callable[[], Awaitable[None]],
) -> None:
    """Run a coroutine function and cancel it when the caller disconnects.

    :param exchange: the caller's request.
    :param work: coroutine function without arguments.
    :raises LaurelwindError: as raised by ``work``.
    """
    failure: LaurelwindError | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_on_disconnect, exchange, group)
        try:
            await work()
        except LaurelwindError as error:
            failure = error
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _cancel_on_disconnect(
    exchange: CallerExchange, group: TaskGroup
) -> None:
    await exchange.wait_for_disconnect()
    group.cancel_scope.cancel()
