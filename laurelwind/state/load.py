"""Load and circuit breaker of each endpoint, as tracked by one daemon."""

import time
from typing import Final

from attrs import define

_FAILURES_TO_OPEN: Final = 3
_MIN_OPEN_S: Final = 0.5
_MAX_OPEN_S: Final = 20.0
_MAX_DOUBLINGS: Final = 8
_REPORT_TTL_S: Final = 2.0


@define(kw_only=True)
class EndpointLoad:
    """Load and circuit breaker of one endpoint.

    :ivar in_flight: requests of the local daemon in flight at the endpoint.
    :ivar reported: requests of all daemons in flight, as last reported by the
        endpoint.
    :ivar reported_at: time of that report, in monotonic seconds.
    :ivar in_flight_at_report: value of ``in_flight`` at the time of that
        report.
    :ivar failures: failures since the last success.
    :ivar opened_until: time until which the breaker stays open, in monotonic
        seconds.
    """

    in_flight: int = 0
    reported: int = 0
    reported_at: float = -_REPORT_TTL_S
    in_flight_at_report: int = 0
    failures: int = 0
    opened_until: float = 0
    _is_probing: bool = False

    def estimate(self, now: float) -> int:
        """Estimate the requests of all daemons in flight at the endpoint.

        A report includes the requests of other daemons, but it ages: the
        change in the local daemon's requests since then is added to it, and an
        expired report is ignored.

        :param now: current time, in monotonic seconds.
        """
        if now - self.reported_at > _REPORT_TTL_S:
            return self.in_flight
        local_change = self.in_flight - self.in_flight_at_report
        return max(self.in_flight, self.reported + local_change)

    def record_report(self, reported: int, now: float) -> None:
        """Record a load report carried by an answer.

        :param reported: requests in flight at the endpoint.
        :param now: current time, in monotonic seconds.
        """
        self.reported = reported
        self.reported_at = now
        self.in_flight_at_report = self.in_flight

    def is_open(self, now: float) -> bool:
        """Return whether the breaker blocks new requests now.

        :param now: current time, in monotonic seconds.
        """
        if self.failures < _FAILURES_TO_OPEN:
            return False
        return now < self.opened_until or self._is_probing

    def begin(self) -> None:
        """Record the start of a request."""
        self.in_flight += 1
        if self.failures >= _FAILURES_TO_OPEN:
            self._is_probing = True

    def end(self) -> None:
        """Record the end of a request, whatever its outcome."""
        self.in_flight -= 1
        self._is_probing = False

    def record_success(self) -> None:
        """Record a complete answer."""
        self.failures = 0

    def record_failure(self, now: float) -> None:
        """Record a failure; consecutive failures open the breaker.

        :param now: current time, in monotonic seconds.
        """
        self.failures += 1
        extra_failures = max(self.failures - _FAILURES_TO_OPEN, 0)
        open_s = min(
            _MIN_OPEN_S * (1 << min(extra_failures, _MAX_DOUBLINGS)),
            _MAX_OPEN_S,
        )
        self.opened_until = now + open_s


class LoadTable:
    """Load of all endpoints by address."""

    def __init__(self) -> None:
        self._loads: dict[str, EndpointLoad] = {}

    def get(self, address: str) -> EndpointLoad:
        """Return the load of one endpoint, created on first use.

        :param address: ``host:port`` of the endpoint.
        """
        load = self._loads.get(address)
        if load is None:
            load = EndpointLoad()
            self._loads[address] = load
        return load

    def retain(self, addresses: frozenset[str]) -> None:
        """Drop endpoints that are no longer configured.

        :param addresses: addresses to keep; endpoints with requests in flight
            are kept as well.
        """
        self._loads = {
            address: load
            for address, load in self._loads.items()
            if address in addresses or load.in_flight
        }


def read_monotonic_clock() -> float:
    """Return the monotonic clock, in seconds."""
    return time.monotonic()
