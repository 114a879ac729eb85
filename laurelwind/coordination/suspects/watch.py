"""Ends attempts under way of requests that are found to crash endpoints."""

import contextlib
from collections.abc import Callable, Iterator

import anyio
from attrs import field, frozen

from laurelwind.errors import BlockedPromptError, ErrorKind
from laurelwind.state.crash_reports import SuspectKeys


@frozen(kw_only=True, eq=False)
class WatchedAttempt:
    """An attempt under way.

    :ivar keys: suspects of its request.
    :ivar has_begun: returns whether its answer has begun.
    :ivar scope: scope of the attempt.
    """

    keys: SuspectKeys
    has_begun: Callable[[], bool]
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)


class AttemptWatch:
    """The attempts under way."""

    def __init__(self) -> None:
        self._attempts: set[WatchedAttempt] = set()

    @contextlib.contextmanager
    def track(self, attempt: WatchedAttempt) -> Iterator[None]:
        """Watch an attempt within the ``with`` statement.

        :param attempt: the attempt.
        :raises BlockedPromptError: if it was ended before its answer began.
        """
        self._attempts.add(attempt)
        try:
            with attempt.scope:
                yield
        finally:
            self._attempts.discard(attempt)
        if attempt.scope.cancelled_caught:
            raise BlockedPromptError(
                ErrorKind.ENDPOINT_FAILED,
                'the attempt was ended, as the request or a part of its '
                'prompt crashes endpoints',
            )

    def end_attempts(self, blocked: SuspectKeys) -> int:
        """End the attempts whose answers have not begun; return their number.

        :param blocked: suspects that crash endpoints if a request holds them
            all.
        """
        ended = [
            attempt
            for attempt in self._attempts
            if blocked <= attempt.keys and not attempt.has_begun()
        ]
        for attempt in ended:
            attempt.scope.cancel()
        return len(ended)
