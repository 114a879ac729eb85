"""Concentrates a trial on few endpoints, which are loaded as they will be."""

import heapq
import math
from collections.abc import Callable, Collection, Sequence
from typing import Final

from attrs import define

from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rendezvous import compute_rendezvous_hash

# Load of a trial endpoint, as a multiple of its usual load once all sessions
# moved. Bursts reach 1.7 times the usual load; the trial has to come near that
# without standing above it all the time.
PEAK_RATIO: Final = 1.5
# Expected share of the slots of a trial endpoint that are taken. More endpoints
# share the trial above it, as requests would wait.
MAX_OCCUPANCY: Final = 0.8
# Seconds between two reviews of the old version's occupancy, and for which an
# estimate counts without newer reports.
REVIEW_PERIOD_S: Final = 0.5
OCCUPANCY_TTL_S: Final = 10.0

OccupancyReader = Callable[[EndpointRecord], float | None]


@define(kw_only=True)
class TrialLoad:
    """Load of the endpoints of one trial.

    :ivar clock: returns the current time in seconds.
    :ivar load_ratio: requests per trial endpoint, as a multiple of those per
        endpoint of the version in use.
    """

    clock: Callable[[], float]
    load_ratio: float = 1
    _occupancy: float = 0
    _known_at: float = -math.inf
    _reviewed_at: float = -math.inf

    def select(
        self,
        endpoints: Sequence[EndpointRecord],
        old_endpoints: Collection[EndpointRecord],
        share: float,
        left: Collection[str],
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints of a version that serve its trial.

        Every daemon selects the same ones; one that left, or that a request has
        left, is replaced by the next in hash order.  While no endpoint reports
        its load, all of them serve.

        :param endpoints: endpoints of the version on trial.
        :param old_endpoints: endpoints of the version in use.
        :param share: share of the sessions that use the version.
        :param left: names of endpoints that the request has left.
        """
        is_known = self.clock() - self._known_at <= OCCUPANCY_TTL_S
        if not is_known or not old_endpoints or share >= 1:
            self.load_ratio = 1
            return endpoints
        later = share * len(endpoints)
        # Occupancy of each endpoint that all requests of the trial would cause
        # at a single one.
        occupancy = self._occupancy * len(old_endpoints) * share / (1 - share)
        count = max(
            round(later / PEAK_RATIO),
            math.ceil(occupancy / MAX_OCCUPANCY),
            1,
        )
        count = min(count, len(endpoints))
        self.load_ratio = max(
            share / count / ((1 - share) / len(old_endpoints)), 1
        )
        remaining = [
            endpoint for endpoint in endpoints if endpoint.name not in left
        ]
        # The request may return to those that it left for their silence.
        return [
            *heapq.nlargest(count, remaining, key=_rank),
            *(endpoint for endpoint in endpoints if endpoint.name in left),
        ]

    def review(
        self,
        old_endpoints: Collection[EndpointRecord],
        read_occupancy: OccupancyReader | None,
    ) -> None:
        """Measure the occupancy of the version in use, if that is due.

        :param old_endpoints: endpoints of the version in use.
        :param read_occupancy: returns the share of an endpoint's slots that is
            taken, above one with a queue, or ``None`` if it is not known;
            without it the occupancy stays unknown.
        """
        now = self.clock()
        is_due = now - self._reviewed_at >= REVIEW_PERIOD_S
        if read_occupancy is None or not is_due:
            return
        self._reviewed_at = now
        known = [
            occupancy
            for occupancy in map(read_occupancy, old_endpoints)
            if occupancy is not None
        ]
        if known:
            self._occupancy = sum(known) / len(known)
            self._known_at = now


def _rank(endpoint: EndpointRecord) -> int:
    return compute_rendezvous_hash(endpoint.version, endpoint.name)
