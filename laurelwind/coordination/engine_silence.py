"""Ends waits for silent engines once another engine can take over."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from laurelwind.errors import EndpointSilentError, ErrorKind
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.timers import is_timer_late

# Interval, in seconds, at which waits for engines are reviewed.
REVIEW_INTERVAL_S: Final = 0.25


@define(kw_only=True, eq=False)
class _Wait:
    """A wait for an engine that is in progress.

    :ivar review_at: moment from which it may be ended, on the monotonic clock.
    :ivar try_leave: reserves a retry elsewhere; returns whether it could.
    :ivar scope: scope of the wait.
    """

    review_at: float
    try_leave: Callable[[], bool]
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)


class EngineSilenceMonitor:
    """Reviews the waits for engines, and ends those that can go on elsewhere.

    An engine that is silent may still go on, so a wait ends only if a retry at
    another engine has been reserved.
    """

    def __init__(self) -> None:
        self._waits: set[_Wait] = set()

    def start(self, group: TaskGroup) -> None:
        """Start the reviews.

        :param group: task group of the daemon.
        """
        group.start_soon(self._review_periodically)

    @contextlib.contextmanager
    def limit_wait(
        self, timeout_s: float, try_leave: Callable[[], bool]
    ) -> Iterator[None]:
        """Review a wait for an engine within the ``with`` statement.

        :param timeout_s: seconds of silence after which another engine may
            take over.
        :param try_leave: reserves a retry at another engine, without waiting;
            returns whether it could.
        :raises EndpointSilentError: if a retry was reserved.
        """
        wait = _Wait(
            review_at=read_monotonic_clock() + timeout_s, try_leave=try_leave
        )
        self._waits.add(wait)
        try:
            with wait.scope:
                yield
        finally:
            self._waits.discard(wait)
        # What arrived together with the decision is sent again by the engine
        # that takes over.
        if wait.scope.cancel_called:
            raise EndpointSilentError(
                ErrorKind.ENDPOINT_FAILED,
                f'the endpoint sent nothing for {timeout_s:.1f} s',
            )

    async def _review_periodically(self) -> None:
        while True:
            started_at = read_monotonic_clock()
            await anyio.sleep(REVIEW_INTERVAL_S)
            if not is_timer_late(started_at, REVIEW_INTERVAL_S):
                self._review()

    def _review(self) -> None:
        now = read_monotonic_clock()
        for wait in tuple(self._waits):
            if now < wait.review_at or wait.scope.cancel_called:
                continue
            if wait.try_leave():
                wait.scope.cancel()
