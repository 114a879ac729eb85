"""Error kinds, their HTTP answers and the exception hierarchy.

Every failure that reaches a caller or an operator has one of these kinds.
New kinds are defined only here, so that each has an entry in the table.
"""

import enum
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from attrs import field, frozen

SHORT_RETRY_S: Final = 1.0
LONG_RETRY_S: Final = 5.0


class RunState(enum.StrEnum):
    """Whether the request behind an error reached an endpoint."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ErrorKind(enum.StrEnum):
    """Error codes returned to callers and operators."""

    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    BODY_MALFORMED = 'body_malformed'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TOO_SLOW = 'body_too_slow'
    HEADER_INVALID = 'header_invalid'
    ROUTE_UNKNOWN = 'route_unknown'
    METHOD_UNKNOWN = 'method_unknown'
    PROMPT_BLOCKED = 'prompt_blocked'
    MODEL_UNKNOWN = 'model_unknown'
    VERSION_NOT_ALLOWED = 'version_not_allowed'
    SERVICE_UNKNOWN = 'service_unknown'
    SESSION_INVALID = 'session_invalid'
    SESSION_ENDED = 'session_ended'
    IDEMPOTENCY_KEY_MISSING = 'idempotency_key_missing'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    IDEMPOTENCY_KEY_EXPIRED = 'idempotency_key_expired'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    OVERLOADED = 'overloaded'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    NO_ENDPOINT = 'no_endpoint'
    ENDPOINT_FAILED = 'endpoint_failed'
    ANSWER_BROKEN = 'answer_broken'
    LOG_UNAVAILABLE = 'log_unavailable'
    PEER_UNAVAILABLE = 'peer_unavailable'
    NOT_READY = 'not_ready'
    STOPPING = 'stopping'
    CONFIGURATION_INVALID = 'configuration_invalid'
    CONFIGURATION_CONFLICT = 'configuration_conflict'
    TRACE_UNKNOWN = 'trace_unknown'
    INTERNAL = 'internal'


@frozen(kw_only=True)
class AnswerDefaults:
    """Defaults of the answer for one error kind.

    :ivar status: HTTP status code.
    :ivar run: whether the request reached an endpoint.
    :ivar retry_after_s: seconds to wait before a retry, or ``None`` if a
        retry of the same request cannot succeed.
    """

    status: int
    run: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None


ANSWER_DEFAULTS: Final[Mapping[ErrorKind, AnswerDefaults]] = MappingProxyType(
    {
        ErrorKind.KEY_MISSING: AnswerDefaults(status=HTTPStatus.UNAUTHORIZED),
        ErrorKind.KEY_UNKNOWN: AnswerDefaults(status=HTTPStatus.UNAUTHORIZED),
        ErrorKind.BODY_MALFORMED: AnswerDefaults(status=HTTPStatus.BAD_REQUEST),
        ErrorKind.BODY_TOO_LARGE: AnswerDefaults(
            status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        ),
        ErrorKind.BODY_TOO_SLOW: AnswerDefaults(
            status=HTTPStatus.REQUEST_TIMEOUT
        ),
        ErrorKind.HEADER_INVALID: AnswerDefaults(status=HTTPStatus.BAD_REQUEST),
        ErrorKind.ROUTE_UNKNOWN: AnswerDefaults(status=HTTPStatus.NOT_FOUND),
        ErrorKind.METHOD_UNKNOWN: AnswerDefaults(
            status=HTTPStatus.METHOD_NOT_ALLOWED
        ),
        ErrorKind.PROMPT_BLOCKED: AnswerDefaults(status=HTTPStatus.BAD_REQUEST),
        ErrorKind.MODEL_UNKNOWN: AnswerDefaults(status=HTTPStatus.NOT_FOUND),
        ErrorKind.VERSION_NOT_ALLOWED: AnswerDefaults(
            status=HTTPStatus.FORBIDDEN
        ),
        ErrorKind.SERVICE_UNKNOWN: AnswerDefaults(status=HTTPStatus.NOT_FOUND),
        ErrorKind.SESSION_INVALID: AnswerDefaults(status=HTTPStatus.FORBIDDEN),
        ErrorKind.SESSION_ENDED: AnswerDefaults(status=HTTPStatus.GONE),
        ErrorKind.IDEMPOTENCY_KEY_MISSING: AnswerDefaults(
            status=HTTPStatus.BAD_REQUEST
        ),
        ErrorKind.IDEMPOTENCY_KEY_REUSED: AnswerDefaults(
            status=HTTPStatus.UNPROCESSABLE_ENTITY
        ),
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED: AnswerDefaults(
            status=HTTPStatus.UNPROCESSABLE_ENTITY, run=RunState.UNKNOWN
        ),
        ErrorKind.IN_PROGRESS: AnswerDefaults(
            status=HTTPStatus.CONFLICT,
            run=RunState.UNKNOWN,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.OUTCOME_UNKNOWN: AnswerDefaults(
            status=HTTPStatus.CONFLICT, run=RunState.UNKNOWN
        ),
        ErrorKind.OVERLOADED: AnswerDefaults(
            status=HTTPStatus.TOO_MANY_REQUESTS, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.DEADLINE_EXCEEDED: AnswerDefaults(
            status=HTTPStatus.GATEWAY_TIMEOUT,
            run=RunState.UNKNOWN,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.NO_ENDPOINT: AnswerDefaults(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.ENDPOINT_FAILED: AnswerDefaults(
            status=HTTPStatus.BAD_GATEWAY,
            run=RunState.UNKNOWN,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.ANSWER_BROKEN: AnswerDefaults(
            status=HTTPStatus.BAD_GATEWAY,
            run=RunState.RAN,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.LOG_UNAVAILABLE: AnswerDefaults(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=LONG_RETRY_S
        ),
        ErrorKind.PEER_UNAVAILABLE: AnswerDefaults(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.NOT_READY: AnswerDefaults(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.STOPPING: AnswerDefaults(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.CONFIGURATION_INVALID: AnswerDefaults(
            status=HTTPStatus.UNPROCESSABLE_ENTITY
        ),
        ErrorKind.CONFIGURATION_CONFLICT: AnswerDefaults(
            status=HTTPStatus.CONFLICT
        ),
        ErrorKind.TRACE_UNKNOWN: AnswerDefaults(status=HTTPStatus.NOT_FOUND),
        ErrorKind.INTERNAL: AnswerDefaults(
            status=HTTPStatus.INTERNAL_SERVER_ERROR, run=RunState.UNKNOWN
        ),
    }
)


@frozen(kw_only=True)
class Fault:
    """A validation error in a document or a settings file.

    :ivar path: dotted path of the invalid field.
    :ivar expected: the expected value, in plain English.
    """

    path: str
    expected: str

    def __str__(self) -> str:
        """Format the fault on one line."""
        return f'{self.path}: {self.expected}'


@frozen(kw_only=True)
class ErrorAnswer:
    """Body of every error answer.

    :ivar kind: error kind.
    :ivar message: one plain sentence without keys or credentials.
    :ivar run: whether the request reached an endpoint.
    :ivar request_id: id of the failed request, or an empty string.
    :ivar retry_after_s: seconds to wait before a retry, or ``None`` if a
        retry cannot succeed.
    :ivar faults: all validation errors of a document or a request body.
    """

    kind: ErrorKind
    message: str
    run: RunState
    request_id: str = ''
    retry_after_s: float | None = None
    faults: Sequence[Fault] = field(factory=tuple)


class LaurelwindError(Exception):
    """Base class of all exceptions of this package.

    :param kind: error kind, which sets the defaults of the answer.
    :param message: one plain sentence that a caller may read, without keys
        or credentials.
    :param run: overrides the default of the kind, for a request whose outcome
        is known more precisely.
    :param retry_after_s: overrides the default of the kind, in seconds.
    :param faults: all validation errors of a document or a request body.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        run: RunState | None = None,
        retry_after_s: float | None = None,
        faults: Sequence[Fault] = (),
    ) -> None:
        super().__init__(message)
        defaults = ANSWER_DEFAULTS[kind]
        self.kind = kind
        self.message = message
        self.run = defaults.run if run is None else run
        self.retry_after_s = (
            defaults.retry_after_s if retry_after_s is None else retry_after_s
        )
        self.faults = tuple(faults)

    @property
    def status(self) -> int:
        """HTTP status code of the answer."""
        return ANSWER_DEFAULTS[self.kind].status

    def build_answer(self, request_id: str = '') -> ErrorAnswer:
        """Build the answer to the caller.

        :param request_id: id of the failed request.
        """
        return ErrorAnswer(
            kind=self.kind,
            message=self.message,
            run=self.run,
            request_id=request_id,
            retry_after_s=self.retry_after_s,
            faults=self.faults,
        )


class CallerError(LaurelwindError):
    """The request is invalid or not allowed."""


class CapacityError(LaurelwindError):
    """No capacity to serve the request at the moment."""


class EndpointError(LaurelwindError):
    """An endpoint failed, or its answer was incomplete."""


class EndpointSilentError(EndpointError):
    """An endpoint sent nothing within its time-out."""


class EndpointBrokenError(EndpointError):
    """The connection to an endpoint broke before its answer was complete."""


class EndpointPausedError(EndpointError):
    """An endpoint stopped accepting requests before this one was sent."""


class ConnectionLimitError(EndpointError):
    """This daemon has no descriptor left for a connection to an endpoint."""


class BlockedPromptError(LaurelwindError):
    """An attempt was ended, as its prompt crashes endpoints."""


class PlatformError(LaurelwindError):
    """A platform service is down, too slow or returned an invalid answer."""


class PeerError(LaurelwindError):
    """Another daemon could not be reached, or sent no valid answer."""


class ListenError(LaurelwindError):
    """A daemon cannot listen on one of its addresses."""


class ConfigurationError(LaurelwindError):
    """A configuration document or a settings file is invalid."""
