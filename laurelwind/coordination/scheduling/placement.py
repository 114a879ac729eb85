"""Selects the endpoint for each request.

Engines run requests in batches.  Each step generates one token for every
request of the batch, lasts as long as the largest model in the batch needs, and
prefills a chunk of the queued prompts.  A long prompt for a large model
therefore delays every answer in its batch, and a small model is fast only when
batched with requests of similar cost.  For this reason endpoints are divided
into scheduling classes by prefill time, and the daemons of an availability zone
notify each other of the prefill time that they queue at each endpoint.
"""

import math
import random
from collections.abc import Sequence
from typing import Final

from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.scheduling.candidates import (
    find_by_name,
    limit_candidates,
)
from laurelwind.coordination.scheduling.endpoint_states import (
    EndpointState,
)
from laurelwind.coordination.scheduling.observations import (
    EndpointObservations,
)
from laurelwind.coordination.scheduling.requirements import (
    ClassAssignments,
    PlacementRequirements,
)
from laurelwind.coordination.scheduling.slowness import (
    compute_baseline_latency,
    compute_slow_penalty,
)
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rendezvous import compute_rendezvous_hash

# Placement penalties, in seconds of queueing delay.  A full endpoint costs as
# much as one second of queued work; another availability zone or scheduling
# class costs a fraction of that.
FULL_PENALTY_S: Final = 1.0
CROSS_ZONE_PENALTY_S: Final = 0.35
CLASS_MISMATCH_PENALTY_S: Final = 0.5
# Seconds by which the endpoint with a cached prompt prefix may cost more than
# the cheapest endpoint, in addition to the prefill time that the cache saves.
AFFINITY_TOLERANCE_S: Final = 0.05


class Placement(EndpointObservations):
    """Selects endpoints by cost and tracks the state of each endpoint.

    :param zone: availability zone of the local instance.
    """

    def __init__(self, *, zone: str) -> None:
        super().__init__()
        self._zone = zone
        self._classes = ClassAssignments()

    def choose(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
    ) -> EndpointRecord | None:
        """Select an endpoint, or return ``None`` when there is no candidate.

        :param endpoints: endpoints that may serve the request.
        :param requirements: requirements of the request.
        """
        costs = self._compute_costs(endpoints, requirements)
        if not costs:
            return None
        min_cost = min(costs.values())
        if not requirements.affinity_key:
            cheapest = [
                name for name, cost in costs.items() if cost == min_cost
            ]
            return find_by_name(endpoints, random.choice(cheapest))
        max_cost = min_cost + AFFINITY_TOLERANCE_S + requirements.reuse_saving_s
        eligible = [name for name, cost in costs.items() if cost <= max_cost]
        preferred = max(
            eligible,
            key=lambda name: compute_rendezvous_hash(
                requirements.affinity_key, name
            ),
        )
        return find_by_name(endpoints, preferred)

    def forecast(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
        work: Work,
    ) -> Forecast | None:
        """Forecast a request at the endpoint that would be chosen.

        :param endpoints: endpoints that may serve the request.
        :param requirements: requirements of the request.
        :param work: work of the request.
        :returns: the forecast, or ``None`` while nothing is known.
        """

    def estimate_wait(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
    ) -> float:
        """Return the cost, in seconds, of the cheapest endpoint.

        It is infinite if none accepts the request.

        :param endpoints: endpoints that may serve the request.
        :param requirements: requirements of the request.
        """
        costs = self._compute_costs(endpoints, requirements)
        return min(costs.values(), default=math.inf)

    def _compute_costs(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
    ) -> dict[str, float]:
        now = read_monotonic_clock()
        candidates = [
            (endpoint, self._get_state(endpoint))
            for endpoint in limit_candidates(
                endpoints, requirements.affinity_key
            )
            if endpoint.name not in requirements.excluded_endpoints
            and self._get_state(endpoint).paused_until <= now
        ]
        available = [
            candidate
            for candidate in candidates
            if not candidate[1].is_avoided(now)
        ]
        if not available and not requirements.avoids_backoff:
            available = candidates
        classes = (
            {}
            if requirements.scheduling_class is None
            else self._classes.assign(endpoints)
        )
        baseline_s = compute_baseline_latency(
            [state.get_unit_latency(now) for _, state in candidates]
        )
        costs = {}
        for endpoint, state in available:
            cost = self._compute_cost(endpoint, state, now)
            cost += compute_slow_penalty(
                state.get_unit_latency(now), baseline_s
            )
            if classes.get(endpoint.name) is not requirements.scheduling_class:
                cost += CLASS_MISMATCH_PENALTY_S
            costs[endpoint.name] = cost
        return costs

    def _compute_cost(
        self, endpoint: EndpointRecord, state: EndpointState, now: float
    ) -> float:
        occupancy = state.estimate_load(now) / max(endpoint.slots, 1)
        cost = state.estimate_queue_delay(now) + occupancy * FULL_PENALTY_S
        cost += state.get_expected_loss(now)
        # Spreads the return of requests after a pause.
        cost += (1 - state.estimate_return_share(now)) * FULL_PENALTY_S
        if endpoint.zone != self._zone:
            cost += CROSS_ZONE_PENALTY_S
        return cost
