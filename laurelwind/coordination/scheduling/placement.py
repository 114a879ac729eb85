"""Selects the endpoint for each request.

Engines run requests in batches.  Each step generates one token for every
request of the batch, lasts as long as the largest model in the batch needs, and
prefills a chunk of the queued prompts.  A long prompt for a large model
therefore delays every answer in its batch, and a small model is fast only when
batched with requests of similar cost.  For this reason endpoints are divided
into scheduling classes by prefill time, and the daemons of an availability zone
notify each other of the prefill time that they queue at each endpoint.

Endpoints of services that report their pace are chosen by forecast, in
``paced_placement``.
"""

import math
import random
from collections.abc import Sequence
from typing import Final

from laurelwind.coordination.scheduling.candidates import (
    find_by_name,
)
from laurelwind.coordination.scheduling.endpoint_states import (
    EndpointState,
)
from laurelwind.coordination.scheduling.forecast_placement import (
    ForecastPlacement,
)
from laurelwind.coordination.scheduling.penalties import (
    CLASS_MISMATCH_PENALTY_S,
    CROSS_ZONE_PENALTY_S,
    FULL_PENALTY_S,
)
from laurelwind.coordination.scheduling.requirements import (
    ClassAssignments,
    PlacementRequirements,
)
from laurelwind.coordination.scheduling.slowness import (
    compute_baseline_latency,
    compute_slow_penalty,
)
from laurelwind.protocol.exchanges import LoadReport
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rendezvous import compute_rendezvous_hash

# Seconds by which the endpoint with a cached prompt prefix may cost more than
# the cheapest endpoint, in addition to the prefill time that the cache saves.
AFFINITY_TOLERANCE_S: Final = 0.05


class Placement(ForecastPlacement):
    """Selects endpoints by cost and tracks the state of each endpoint.

    :param zone: availability zone of the local instance.
    :param rng: random source, or ``None`` for one of its own.
    :param uses_pace: whether reports of endpoints that state their pace count.
    :param by_forecast: whether endpoints that report their pace are selected
        by the predicted finish, rather than by the cost of all endpoints.
    :param separates_classes: whether those keep classes of requests apart.
    """

    def __init__(
        self,
        *,
        zone: str,
        rng: random.Random | None = None,
        uses_pace: bool = True,
        by_forecast: bool = False,
        separates_classes: bool = False,
    ) -> None:
        super().__init__(
            zone=zone, rng=rng, separates_classes=separates_classes
        )
        self._uses_pace = uses_pace
        self._by_forecast = by_forecast
        self._classes = ClassAssignments()

    def record_report(
        self, endpoint: EndpointRecord, report: LoadReport
    ) -> None:
        """Record the load reported by an endpoint; see the base class."""
        if self._uses_pace or report.slowdown is None:
            super().record_report(endpoint, report)

    def record_remote_report(
        self, endpoint: EndpointRecord, report: LoadReport, age_s: float
    ) -> bool:
        """Record a report of another daemon; see the base class."""
        return self._uses_pace and super().record_remote_report(
            endpoint, report, age_s
        )

    def choose(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
    ) -> EndpointRecord | None:
        """Select an endpoint, or return ``None`` when there is no candidate.

        :param endpoints: endpoints that may serve the request.
        :param requirements: requirements of the request.
        """
        if self._has_pace(endpoints):
            # Requests without a prompt last some milliseconds, less than what
            # predictions are wrong by.
            if self._by_forecast and requirements.traits.prompt_tokens:
                option = self._choose_option(endpoints, requirements)
                return None if option is None else option.candidate.endpoint
            endpoints = self._list_with_memory(endpoints, requirements)
        return self._choose_by_cost(endpoints, requirements)

    def _choose_by_cost(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
    ) -> EndpointRecord | None:
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
        if self._has_pace(endpoints):
            option = self._choose_option(endpoints, requirements)
            if option is None:
                return math.inf
            forecast = option.forecast
            return forecast.start_s + forecast.occupancy * FULL_PENALTY_S
        costs = self._compute_costs(endpoints, requirements)
        return min(costs.values(), default=math.inf)

    def _compute_costs(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
    ) -> dict[str, float]:
        now = read_monotonic_clock()
        candidates, available = self._list_available(
            endpoints, requirements, now
        )
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
