"""Retry budget of the fleet, divided among daemons without coordination."""

from collections import deque
from collections.abc import Callable, Iterable, MutableMapping
from typing import Any, Final

from laurelwind.state.load import read_monotonic_clock

# Fraction of the budget that is used.  The rest is a margin: the windows of the
# daemons end at different moments, and membership changes are detected late.
BUDGET_SAFETY_FACTOR: Final = 0.8
_BUCKETS: Final = 20


class _SlidingWindow:
    """Counts events in a sliding window."""

    def __init__(self, *, span_s: float) -> None:
        self._bucket_s = span_s / _BUCKETS
        self._buckets: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        index = int(now / self._bucket_s)
        if self._buckets and self._buckets[-1][0] == index:
            count = self._buckets.pop()[1]
        else:
            count = 0
        self._buckets.append((index, count + 1))
        self._total += 1

    def discard_newest(self) -> None:
        """Take back the newest event, if it is still in the window."""
        if not self._buckets:
            return
        index, count = self._buckets.pop()
        self._total -= 1
        if count > 1:
            self._buckets.append((index, count - 1))

    def count(self, now: float) -> int:
        """Return the number of events in the window."""
        oldest = int(now / self._bucket_s) - _BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total


class FleetRetryBudget:
    """Retry budget of each service, over a sliding window.

    The fleet may retry a share of its requests, plus a fixed number of requests
    per window.  Each daemon may retry that share of the requests it sent, plus
    an equal part of the fixed number.

    :param retry_ratio: retries allowed per request.
    :param extra_retries: additional retries of the whole fleet per window.
    :param window_s: length of the window, in seconds.
    :param count_members: returns the number of daemons, or 0 while it is
        unknown.
    """

    def __init__(
        self,
        *,
        retry_ratio: float,
        extra_retries: float,
        window_s: float,
        count_members: Callable[[], int],
    ) -> None:
        self._retry_ratio = retry_ratio * BUDGET_SAFETY_FACTOR
        self._extra_retries = extra_retries * BUDGET_SAFETY_FACTOR
        self._window_s = window_s
        self._count_members = count_members
        self._requests: dict[str, _SlidingWindow] = {}
        self._retries: dict[str, _SlidingWindow] = {}
        self._held: dict[str, int] = {}

    def record_request(self, service: str) -> None:
        """Count the first attempt of a request.

        :param service: name of the service.
        """
        self._get_window(self._requests, service).add(read_monotonic_clock())

    def record_retry(self, service: str) -> None:
        """Count a retry.

        :param service: name of the service.
        """
        self._get_window(self._retries, service).add(read_monotonic_clock())

    def discard_attempt(self, service: str, *, is_retry: bool) -> None:
        """Take back an attempt that did not reach its endpoint.

        :param service: name of the service.
        :param is_retry: whether it was counted as a retry.
        """
        windows = self._retries if is_retry else self._requests
        self._get_window(windows, service).discard_newest()

    def reserve(self, service: str, count: int) -> bool:
        """Hold retries if the budget allows them; return whether it does.

        Requests that decide at the same time to be sent again would otherwise
        all count on the same retry.

        :param service: name of the service.
        :param count: number of retries.
        """
        made, allowed = self._count_retries(service)
        if made + count > allowed:
            return False
        self.hold(service, count)
        return True

    def hold(self, service: str, count: int) -> None:
        """Hold retries, which count as made until they are released.

        :param service: name of the service.
        :param count: number of retries.
        """
        self._held[service] = self._held.get(service, 0) + count

    def release(self, service: str, count: int) -> None:
        """Release retries that were held.

        :param service: name of the service.
        :param count: number of retries.
        """
        self._held[service] = max(self._held.get(service, 0) - count, 0)

    def discard(self, services: Iterable[str]) -> None:
        """Discard the counts of services that were removed.

        Those for which retries are held stay.

        :param services: names of the services.
        """
        for service in services:
            if not self._held.get(service):
                for counts in self._list_counts():
                    counts.pop(service, None)

    def get_remaining_ratio(self, service: str) -> float:
        """Return the fraction of the retry budget that remains, 0 to 1.

        :param service: name of the service.
        """
        made, allowed = self._count_retries(service)
        if made + 1 > allowed:
            return 0
        return 1 - made / allowed

    def _list_counts(self) -> Iterable[MutableMapping[str, Any]]:
        return self._requests, self._retries, self._held

    def _count_retries(self, service: str) -> tuple[int, float]:
        """Return the retries made or held, and the retries allowed."""
        now = read_monotonic_clock()
        requests = self._get_window(self._requests, service).count(now)
        retries = self._get_window(self._retries, service).count(now)
        members = self._count_members()
        extra = self._extra_retries / members if members else 0
        allowed = requests * self._retry_ratio + extra
        return retries + self._held.get(service, 0), allowed

    def _get_window(
        self, windows: dict[str, _SlidingWindow], service: str
    ) -> _SlidingWindow:
        if service not in windows:
            windows[service] = _SlidingWindow(span_s=self._window_s)
        return windows[service]
