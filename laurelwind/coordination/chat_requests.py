"""Chat requests of callers, and their progress."""

import contextlib
import functools
from collections.abc import Iterator, Mapping
from typing import Any, Final

import orjson
from attrs import define, field, frozen

from laurelwind.coordination.retry_limits import MAX_BROKEN_ATTEMPTS
from laurelwind.coordination.suspects.calls import (
    ScreenedRequest,
    build_screened,
)
from laurelwind.errors import EndpointError, RunState
from laurelwind.protocol.endpoints import AnswerProgress
from laurelwind.state.sessions import Session

_CHAT_TARGET: Final = '/v1/chat/completions'


@frozen(kw_only=True)
class ChatRequest:
    """A caller's chat completion request.

    :ivar request_id: identifier passed on with every hop.
    :ivar workspace: workspace of the caller.
    :ivar requested: a task, a model, or ``model@version``.
    :ivar body: JSON body of the request.
    :ivar session: the session of the request, if any.
    :ivar deadline_s: time limit in seconds, or ``None`` for the limit of the
        workspace.
    """

    request_id: str
    workspace: str
    requested: str
    body: Mapping[str, Any]
    session: Session | None = None
    deadline_s: float | None = None

    @functools.cached_property
    def screened(self) -> ScreenedRequest:
        """The request, as it may be blamed for crashes."""
        return build_screened(
            self.request_id,
            workspace=self.workspace,
            method='POST',
            target=_CHAT_TARGET,
            body=orjson.dumps(self.body, option=orjson.OPT_SORT_KEYS),
        )


@define(kw_only=True)
class FetchState:
    """Progress of a request through its versions and attempts.

    :ivar request: the request.
    :ivar reference: ``model@version`` of the current step.
    :ivar progress: progress of the answer of that version.
    :ivar run_state: whether the request reached an endpoint, if known.
    :ivar broken_attempts: number of attempts, at any version, whose connection
        broke before the answer began.
    """

    request: ChatRequest
    reference: str = ''
    progress: AnswerProgress = field(factory=AnswerProgress)
    run_state: RunState = RunState.NOT_RUN
    broken_attempts: int = 0

    @property
    def is_suspect(self) -> bool:
        """Whether the request itself is the likely cause of its failures."""
        return self.broken_attempts >= MAX_BROKEN_ATTEMPTS


@contextlib.contextmanager
def track_run_state(fetch_state: FetchState) -> Iterator[None]:
    """Update whether a request reached an endpoint, also on failures.

    :param fetch_state: the request.
    """
    previous_run_state = fetch_state.run_state
    if previous_run_state is RunState.NOT_RUN:
        fetch_state.run_state = RunState.UNKNOWN
    try:
        yield
    except EndpointError as error:
        if error.run is RunState.NOT_RUN:
            fetch_state.run_state = previous_run_state
        raise
