"""Reads that concurrent waiters share."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from attrs import define, field


@define(kw_only=True, eq=False)
class ReadOutcome:
    """A read and its result.

    :ivar started_at: start of the read, on the clock of the shared read.
    :ivar is_complete: whether it returned all that there was at its start.
    :ivar ended: set at its end.
    """

    started_at: float
    is_complete: bool = False
    ended: anyio.Event = field(factory=anyio.Event)


class SharedRead:
    """Runs one read at a time, whose outcome all waiters get.

    The read runs in a task of its own, so that no waiter that is cancelled
    ends it for the others.

    :param read: reads, given the start time; returns whether it is complete.
    :param timeout_s: longest time of a read in seconds.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        read: Callable[[float], Awaitable[bool]],
        timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._read = read
        self._timeout_s = timeout_s
        self._clock = clock
        self._group: TaskGroup | None = None
        self._current: ReadOutcome | None = None

    def start(self, group: TaskGroup) -> None:
        """Allow reads.

        :param group: task group in which the reads run.
        """
        self._group = group

    async def wait(self) -> ReadOutcome:
        """Wait for the read in progress, or for a new one if there is none.

        It is incomplete at once before :meth:`start`.
        """
        if self._group is None:
            return ReadOutcome(started_at=self._clock())
        if self._current is None:
            self._current = ReadOutcome(started_at=self._clock())
            self._group.start_soon(self._run, self._current)
        outcome = self._current
        await outcome.ended.wait()
        return outcome

    async def _run(self, outcome: ReadOutcome) -> None:
        try:
            with anyio.move_on_after(self._timeout_s):
                outcome.is_complete = await self._read(outcome.started_at)
        finally:
            self._current = None
            outcome.ended.set()
