"""The fleet's retry budget, divided without talk."""

from collections import deque
from collections.abc import Callable
from typing import Final

from laurelwind.state.load import read_clock

# Part of the allowance that is used: the fleet's counts and ours end their
# windows at different moments, and members are noticed late.
SAFETY: Final = 0.8
_BUCKETS: Final = 20


class _Window:
    """Counts what happened in the last seconds."""

    def __init__(self, *, span_s: float) -> None:
        self._width_s = span_s / _BUCKETS
        self._buckets: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one."""
        place = int(now / self._width_s)
        if self._buckets and self._buckets[-1][0] == place:
            count = self._buckets.pop()[1]
        else:
            count = 0
        self._buckets.append((place, count + 1))
        self._total += 1

    def count(self, now: float) -> int:
        """Give the sum."""
        oldest = int(now / self._width_s) - _BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryWindows:
    """Lets each service's requests be sent again within a sliding window.

    The fleet may repeat a share of its requests and some more.  Each daemon
    takes the share of its own requests, and its part of the rest.

    :param share: repeats for each request.
    :param extra: further repeats of the whole fleet in a window.
    :param window_s: length of the window.
    :param count_members: tells how many daemons there are.
    """

    def __init__(
        self,
        *,
        share: float,
        extra: float,
        window_s: float,
        count_members: Callable[[], int],
    ) -> None:
        self._share = share * SAFETY
        self._extra = extra * SAFETY
        self._window_s = window_s
        self._count_members = count_members
        self._requests: dict[str, _Window] = {}
        self._repeats: dict[str, _Window] = {}

    def note_request(self, service: str) -> None:
        """Count a request that is sent for the first time.

        :param service: name of the service.
        """
        self._find(self._requests, service).add(read_clock())

    def note_repeat(self, service: str) -> None:
        """Count a request that was sent once more.

        :param service: name of the service.
        """
        self._find(self._repeats, service).add(read_clock())

    def measure_room(self, service: str) -> float:
        """Give the part of the window's repeats that is left.

        :param service: name of the service.
        """
        now = read_clock()
        requests = self._find(self._requests, service).count(now)
        repeats = self._find(self._repeats, service).count(now)
        extra = self._extra / max(self._count_members(), 1)
        allowed = requests * self._share + extra
        if repeats + 1 > allowed:
            return 0
        return 1 - repeats / allowed

    def _find(self, windows: dict[str, _Window], service: str) -> _Window:
        if service not in windows:
            windows[service] = _Window(span_s=self._window_s)
        return windows[service]
