"""Screens the requests of the chat daemon, to engines and plain services."""

import contextlib
from collections.abc import Iterator
from typing import Final

import anyio
from attrs import define, field, frozen

from laurelwind.coordination.suspects.keys import build_request_name
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.errors import (
    CallerError,
    EndpointBrokenError,
    EndpointError,
    EndpointSilentError,
    ErrorKind,
    LaurelwindError,
    RunState,
)
from laurelwind.protocol.crash_notices import limit_name
from laurelwind.state.abandoned_attempts import AbandonedAttempt
from laurelwind.state.crash_reports import (
    CrashReport,
    SuspectKey,
    SuspectKeys,
)
from laurelwind.state.endpoint_breaks import EndpointBreak
from laurelwind.state.load import read_monotonic_clock

# The most endpoints whose last response is remembered.
MAX_ENDPOINTS: Final = 4096


@frozen(kw_only=True)
class ScreenedRequest:
    """A request that may crash endpoints.

    :ivar request_id: the caller's identifier of this attempt.
    :ivar name: name that it has in common with its repeats.
    """

    request_id: str
    name: str

    def build_key(self, pool: str) -> SuspectKey:
        """Return the key under which it may be blamed for a crash.

        :param pool: name of the pool whose endpoints run it.
        """
        return limit_name(pool), self.name


def build_screened(
    request_id: str, *, workspace: str, method: str, target: str, body: bytes
) -> ScreenedRequest:
    """Build the request to screen from what its endpoint receives.

    :param request_id: the caller's identifier of this attempt.
    :param workspace: workspace of the caller.
    :param method: HTTP method.
    :param target: path and query.
    :param body: the body.
    """
    return ScreenedRequest(
        request_id=request_id,
        name=build_request_name(
            workspace=workspace,
            method=method,
            target=target.encode(),
            body=body,
        ),
    )


@define(kw_only=True)
class ScreenedAttempt:
    """An attempt of a request at an endpoint.

    :ivar attempt: identifier of the attempt, unique in the fleet.
    :ivar key: key under which the request may be blamed.
    :ivar endpoint: address of the endpoint.
    :ivar sent_at: moment of sending, on the monotonic clock.
    """

    attempt: str
    key: SuspectKey
    endpoint: str
    sent_at: float = field(factory=read_monotonic_clock)

    @property
    def keys(self) -> SuspectKeys:
        """Suspects on board of the attempt."""
        return frozenset((self.key,))


Tracking = contextlib.AbstractContextManager[ScreenedAttempt]


class CallScreen:
    """Rejects requests that crash endpoints, and reports their attempts.

    :param screen: learns what crashes endpoints.
    """

    def __init__(self, *, screen: SuspectScreen) -> None:
        self._screen = screen
        self._number = 0
        # Moments of the last responses, by endpoint, the latest at the end.
        self._responded_at: dict[str, float] = {}

    def ensure_allowed(
        self, request: ScreenedRequest, pool: str, run: RunState
    ) -> None:
        """Raise an error if a request crashes endpoints.

        :param request: the request.
        :param pool: name of the pool whose endpoints would run it.
        :param run: whether an endpoint may have run it before.
        :raises LaurelwindError: if the request is blocked.
        """
        keys = frozenset((request.build_key(pool),))
        if self._screen.reject(keys):
            raise _build_error(run)

    @contextlib.contextmanager
    def track(
        self, request: ScreenedRequest, pool: str, endpoint: str
    ) -> Iterator[ScreenedAttempt]:
        """Report what becomes of an attempt within the ``with`` statement.

        :param request: the request.
        :param pool: name of the pool.
        :param endpoint: address of the endpoint.
        """
        self._number += 1
        attempt = ScreenedAttempt(
            attempt=limit_name(f'{self._number}/{request.request_id}'),
            key=request.build_key(pool),
            endpoint=limit_name(endpoint),
        )
        try:
            yield attempt
        except EndpointBrokenError:
            self._report_broken(attempt)
            raise
        except (EndpointSilentError, anyio.get_cancelled_exc_class()):
            self._report_abandoned(attempt)
            raise
        self.record_response(attempt)
        self._screen.record_completion(attempt.key)
        self._screen.record_answer(attempt.key[0], ())

    def record_response(self, attempt: ScreenedAttempt) -> None:
        """Record a part of an answer, which shows that its endpoint is alive.

        :param attempt: the attempt.
        """
        self._responded_at.pop(attempt.endpoint, None)
        self._responded_at[attempt.endpoint] = read_monotonic_clock()
        if len(self._responded_at) > MAX_ENDPOINTS:
            self._responded_at.pop(next(iter(self._responded_at)))
        self._screen.record_event(attempt.endpoint, attempt.sent_at)

    def _report_broken(self, attempt: ScreenedAttempt) -> None:
        broken = EndpointBreak(
            endpoint=attempt.endpoint,
            broke_at=read_monotonic_clock(),
            alive_at=self._responded_at.get(attempt.endpoint, float('-inf')),
        )
        self._screen.record_break(broken)
        self._screen.record_crash(
            CrashReport(
                attempt=attempt.attempt,
                endpoint=broken.endpoint,
                prompt=attempt.key[1],
                keys=attempt.keys,
                sent_at=attempt.sent_at,
                broke_at=broken.broke_at,
                alive_at=broken.alive_at,
            )
        )

    def _report_abandoned(self, attempt: ScreenedAttempt) -> None:
        self._screen.abandoned.add(
            AbandonedAttempt(
                attempt=attempt.attempt,
                endpoint=attempt.endpoint,
                prompt=attempt.key[1],
                keys=attempt.keys,
                sent_at=attempt.sent_at,
                abandoned_at=read_monotonic_clock(),
            )
        )


def _build_error(run: RunState) -> LaurelwindError:
    if run is RunState.NOT_RUN:
        return CallerError(
            ErrorKind.PROMPT_BLOCKED,
            'the request crashes endpoints; it was not run',
        )
    return EndpointError(
        ErrorKind.ENDPOINT_FAILED,
        'no further attempt: the request crashes endpoints',
        run=run,
    )
