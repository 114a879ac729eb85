"""Lets requests wait while a daemon that has just started becomes ready.

A daemon listens before it has read the routing table and the endpoints, which
takes some tenths of a second. Callers whose connections its last process cut
come back within that time.
"""

from collections.abc import Callable
from typing import Final

import anyio

from laurelwind.coordination.retries import MIN_RETRY_AFTER_S
from laurelwind.state.load import read_monotonic_clock

# Longest wait of one request, in seconds: a caller that is refused returns no
# sooner, so that a wait of this length is never worse than a refusal.
MAX_WAIT_S: Final = MIN_RETRY_AFTER_S
_POLL_S: Final = 0.01


class StartupWait:
    """Delays requests until the daemon is ready, for a while after its start.

    :param limit_s: seconds after the start in which requests may wait; zero to
        let none wait.
    :param is_ready: returns whether requests can be served.
    """

    def __init__(self, *, limit_s: float, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._ends_at = read_monotonic_clock() + limit_s
        self._is_over = limit_s <= 0

    async def wait(self) -> None:
        """Wait until the daemon is ready, or has not become so in time."""
        if self._is_over:
            return
        ends_at = min(self._ends_at, read_monotonic_clock() + MAX_WAIT_S)
        while not self._is_ready() and read_monotonic_clock() < ends_at:
            await anyio.sleep(_POLL_S)
        self._is_over = (
            self._is_ready() or read_monotonic_clock() >= self._ends_at
        )
