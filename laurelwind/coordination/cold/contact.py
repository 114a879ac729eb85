"""Finds whether a daemon can still hear of endpoints that crash."""

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from attrs import frozen

from laurelwind.coordination.cold.endpoints import ColdEndpoints
from laurelwind.decisions import DecisionLog
from laurelwind.state.cold_endpoints import ColdStatement
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Seconds without a datagram of any peer after which a daemon has lost them.
# Each sends six a second to random peers: a daemon in contact hears none for as
# long once in 65 million times (Poisson distribution with a mean of 18). With
# three, one in 85 daemons was taken for cut off within 12 s in some runs.
SILENCE_S: Final = 3.0
# Seconds for which a daemon has to hear from peers again until it knows which
# endpoints are cold: they repeat that within 1.5 s.
RETURN_S: Final = 1.5


@frozen(kw_only=True)
class ContactDependencies:
    """Collaborators of :class:`FleetContact`.

    :ivar endpoints: the cold endpoints.
    :ivar list_services: returns the names of the services with endpoints.
    :ivar list_ready: returns the endpoints of a service.
    :ivar read_age: returns the seconds since the list of endpoints was known to
        be complete.
    :ivar get_max_age: returns the age of that list, in seconds, above which it
        is old.
    :ivar has_peers: whether other daemons are known.
    :ivar log: decision log.
    :ivar clock: monotonic clock, in seconds.
    """

    endpoints: ColdEndpoints
    list_services: Callable[[], Iterable[str]]
    list_ready: Callable[[str], Sequence[EndpointRecord]]
    read_age: Callable[[], float]
    get_max_age: Callable[[], float]
    has_peers: Callable[[], bool]
    log: DecisionLog
    clock: Callable[[], float] = read_monotonic_clock


class FleetContact:
    """Counts all endpoints as cold while this daemon is cut off.

    A daemon is cut off if its list of endpoints is old and it hears from no
    other daemon. An endpoint may have restarted since, and this daemon would
    send it what it likes.

    :param dependencies: collaborators.
    :ivar is_cut_off: whether this daemon was cut off at the last review.
    """

    def __init__(self, *, dependencies: ContactDependencies) -> None:
        self.is_cut_off = False
        self._dependencies = dependencies
        self._heard_at = -math.inf
        # Start of the time in which peers were heard without a pause.
        self._heard_since = -math.inf
        self._lost_at = -math.inf

    @property
    def is_needed(self) -> bool:
        """Whether any service has endpoints that can be cold."""
        dependencies = self._dependencies
        return any(
            dependencies.endpoints.find_rates(service) is not None
            for service in dependencies.list_services()
        )

    def record_heard(self) -> None:
        """Record that a datagram of a peer arrived."""
        now = self._dependencies.clock()
        if now - self._heard_at > SILENCE_S:
            self._heard_since = now
        self._heard_at = now

    def review(self) -> None:
        """Find whether this daemon is cut off, and apply it."""
        dependencies = self._dependencies
        was_cut_off = self.is_cut_off
        now = dependencies.clock()
        self.is_cut_off = dependencies.has_peers() and self._is_lost(now)
        if self.is_cut_off and not was_cut_off:
            self._lost_at = now
        if self.is_cut_off or was_cut_off:
            dependencies.endpoints.table.set_unknown(
                dict(self._iterate_unknown()) if self.is_cut_off else {}
            )
        if self.is_cut_off != was_cut_off:
            self._log_change(now)

    def _is_lost(self, now: float) -> bool:
        dependencies = self._dependencies
        if dependencies.read_age() <= dependencies.get_max_age():
            return False
        is_silent = now - self._heard_at > SILENCE_S
        return is_silent or now - self._heard_since < RETURN_S

    def _iterate_unknown(self) -> Iterator[tuple[str, ColdStatement]]:
        dependencies = self._dependencies
        for service in dependencies.list_services():
            rates = dependencies.endpoints.find_rates(service)
            if rates is None:
                continue
            for endpoint in dependencies.list_ready(service):
                yield (
                    endpoint.name,
                    ColdStatement(
                        started_ms=endpoint.started_ms,
                        rate=rates.permits_per_s,
                        since=self._lost_at,
                        is_private=True,
                    ),
                )

    def _log_change(self, now: float) -> None:
        dependencies = self._dependencies
        if self.is_cut_off:
            dependencies.log.log_warning(
                'contact_lost',
                endpoints=len(dependencies.endpoints.table.unknown),
                list_age_s=round(dependencies.read_age(), 3),
            )
        else:
            dependencies.log.log_warning(
                'contact_regained', lasted_s=round(now - self._lost_at, 3)
            )
