"""The closed list of error kinds and the answer that each one gives.

Every failure that reaches a caller or an operator is one of these kinds.  A
new kind is added here and nowhere else, so that the table stays whole.
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
    """Everything that may go wrong, as callers and operators see it."""

    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    BODY_MALFORMED = 'body_malformed'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TOO_SLOW = 'body_too_slow'
    HEADER_INVALID = 'header_invalid'
    ROUTE_UNKNOWN = 'route_unknown'
    METHOD_UNKNOWN = 'method_unknown'
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
class Answer:
    """What the caller is told for one error kind.

    :ivar status: HTTP status code.
    :ivar run: whether the request reached an endpoint.
    :ivar retry_after_s: seconds to wait before a repeat, or ``None`` when a
        repeat of the same request cannot succeed.
    """

    status: int
    run: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None


ANSWERS: Final[Mapping[ErrorKind, Answer]] = MappingProxyType(
    {
        ErrorKind.KEY_MISSING: Answer(status=HTTPStatus.UNAUTHORIZED),
        ErrorKind.KEY_UNKNOWN: Answer(status=HTTPStatus.UNAUTHORIZED),
        ErrorKind.BODY_MALFORMED: Answer(status=HTTPStatus.BAD_REQUEST),
        ErrorKind.BODY_TOO_LARGE: Answer(
            status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        ),
        ErrorKind.BODY_TOO_SLOW: Answer(status=HTTPStatus.REQUEST_TIMEOUT),
        ErrorKind.HEADER_INVALID: Answer(status=HTTPStatus.BAD_REQUEST),
        ErrorKind.ROUTE_UNKNOWN: Answer(status=HTTPStatus.NOT_FOUND),
        ErrorKind.METHOD_UNKNOWN: Answer(status=HTTPStatus.METHOD_NOT_ALLOWED),
        ErrorKind.MODEL_UNKNOWN: Answer(status=HTTPStatus.NOT_FOUND),
        ErrorKind.VERSION_NOT_ALLOWED: Answer(status=HTTPStatus.FORBIDDEN),
        ErrorKind.SERVICE_UNKNOWN: Answer(status=HTTPStatus.NOT_FOUND),
        ErrorKind.SESSION_INVALID: Answer(status=HTTPStatus.FORBIDDEN),
        ErrorKind.SESSION_ENDED: Answer(status=HTTPStatus.GONE),
        ErrorKind.IDEMPOTENCY_KEY_MISSING: Answer(
            status=HTTPStatus.BAD_REQUEST
        ),
        ErrorKind.IDEMPOTENCY_KEY_REUSED: Answer(
            status=HTTPStatus.UNPROCESSABLE_ENTITY
        ),
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED: Answer(
            status=HTTPStatus.UNPROCESSABLE_ENTITY, run=RunState.UNKNOWN
        ),
        ErrorKind.IN_PROGRESS: Answer(
            status=HTTPStatus.CONFLICT,
            run=RunState.UNKNOWN,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.OUTCOME_UNKNOWN: Answer(
            status=HTTPStatus.CONFLICT, run=RunState.UNKNOWN
        ),
        ErrorKind.OVERLOADED: Answer(
            status=HTTPStatus.TOO_MANY_REQUESTS, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.DEADLINE_EXCEEDED: Answer(
            status=HTTPStatus.GATEWAY_TIMEOUT,
            run=RunState.UNKNOWN,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.NO_ENDPOINT: Answer(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.ENDPOINT_FAILED: Answer(
            status=HTTPStatus.BAD_GATEWAY,
            run=RunState.UNKNOWN,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.ANSWER_BROKEN: Answer(
            status=HTTPStatus.BAD_GATEWAY,
            run=RunState.RAN,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.LOG_UNAVAILABLE: Answer(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=LONG_RETRY_S
        ),
        ErrorKind.PEER_UNAVAILABLE: Answer(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after_s=SHORT_RETRY_S,
        ),
        ErrorKind.NOT_READY: Answer(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.STOPPING: Answer(
            status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=SHORT_RETRY_S
        ),
        ErrorKind.CONFIGURATION_INVALID: Answer(
            status=HTTPStatus.UNPROCESSABLE_ENTITY
        ),
        ErrorKind.CONFIGURATION_CONFLICT: Answer(status=HTTPStatus.CONFLICT),
        ErrorKind.TRACE_UNKNOWN: Answer(status=HTTPStatus.NOT_FOUND),
        ErrorKind.INTERNAL: Answer(
            status=HTTPStatus.INTERNAL_SERVER_ERROR, run=RunState.UNKNOWN
        ),
    }
)


@frozen(kw_only=True)
class Fault:
    """One thing wrong in a document or a settings file.

    :ivar path: where it stands, dots between the steps.
    :ivar expected: what was expected there, in plain English.
    """

    path: str
    expected: str

    def __str__(self) -> str:
        """Give the fault on one line."""
        return f'{self.path}: {self.expected}'


@frozen(kw_only=True)
class ErrorAnswer:
    """The one JSON shape of every error answer.

    :ivar kind: the row of the table.
    :ivar message: one plain sentence, free of keys and credentials.
    :ivar run: whether the request reached an endpoint.
    :ivar request_id: the request that failed, or an empty string.
    :ivar retry_after_s: seconds to wait, or ``None``.
    :ivar faults: every fault found, for documents and bodies.
    """

    kind: ErrorKind
    message: str
    run: RunState
    request_id: str = ''
    retry_after_s: float | None = None
    faults: Sequence[Fault] = field(factory=tuple)


class LaurelwindError(Exception):
    """The root of the exception tree.

    :param kind: the row of the table of answers.
    :param message: one plain sentence that a caller may read.
    :param run: overrides the table when more is known about this request.
    :param retry_after_s: overrides the table's seconds to wait.
    :param faults: every fault found, for documents and bodies.
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
        answer = ANSWERS[kind]
        self.kind = kind
        self.message = message
        self.run = answer.run if run is None else run
        self.retry_after_s = (
            answer.retry_after_s if retry_after_s is None else retry_after_s
        )
        self.faults = tuple(faults)

    @property
    def status(self) -> int:
        """HTTP status code of the answer."""
        return ANSWERS[self.kind].status

    def build_answer(self, request_id: str = '') -> ErrorAnswer:
        """Build the JSON shape of this error.

        :param request_id: the request that failed.
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
    """The request itself is wrong or not allowed."""


class CapacityError(LaurelwindError):
    """Nothing can serve the request now."""


class EndpointError(LaurelwindError):
    """An endpoint failed, or its answer was not whole."""


class EndpointSilentError(EndpointError):
    """An endpoint was given up on before it said anything more."""


class PlatformError(LaurelwindError):
    """A service of the platform is down, slow or wrong."""


class PeerError(LaurelwindError):
    """Another daemon could not be asked."""


class ConfigurationError(LaurelwindError):
    """A configuration document or a settings file was refused."""
