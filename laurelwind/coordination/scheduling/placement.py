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

from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.scheduling.candidates import (
    find_by_name,
    limit_candidates,
)
from laurelwind.coordination.scheduling.endpoint_states import (
    EndpointState,
)
from laurelwind.coordination.scheduling.load_observations import (
    LoadObservations,
)
from laurelwind.coordination.scheduling.paced_placement import (
    Option,
    PacedRequest,
    build_work,
    choose_option,
    forecast_at,
)
from laurelwind.coordination.scheduling.penalties import (
    CLASS_MISMATCH_PENALTY_S,
    CROSS_ZONE_PENALTY_S,
    FULL_PENALTY_S,
)
from laurelwind.coordination.scheduling.requirements import (
    ClassAssignments,
    PlacementRequirements,
    RequestTraits,
)
from laurelwind.coordination.scheduling.sampling import Candidate
from laurelwind.coordination.scheduling.slowness import (
    compute_baseline_latency,
    compute_slow_penalty,
)
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rendezvous import compute_rendezvous_hash

# Seconds by which the endpoint with a cached prompt prefix may cost more than
# the cheapest endpoint, in addition to the prefill time that the cache saves.
AFFINITY_TOLERANCE_S: Final = 0.05

_States = Sequence[tuple[EndpointRecord, EndpointState]]


class Placement(LoadObservations):
    """Selects endpoints by cost and tracks the state of each endpoint.

    :param zone: availability zone of the local instance.
    :param rng: random source, or ``None`` for one of its own.
    """

    def __init__(self, *, zone: str, rng: random.Random | None = None) -> None:
        super().__init__()
        self._zone = zone
        self._rng = rng or random.Random()
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
        if self._has_pace(endpoints):
            option = self._choose_option(endpoints, requirements)
            return None if option is None else option.candidate.endpoint
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

    def forecast(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
        work: Work,
    ) -> Forecast | None:
        """Forecast a request at the endpoint that it would be sent to.

        It is ``None`` while nothing is known: no endpoint reports its pace, or
        none may serve the request.

        :param endpoints: endpoints that may serve the request.
        :param requirements: requirements of the request.
        :param work: work of the request.
        """
        if not self._has_pace(endpoints):
            return None
        option = self._choose_option(endpoints, requirements, work)
        return None if option is None else option.forecast

    def forecast_at(
        self,
        endpoint: EndpointRecord,
        traits: RequestTraits,
        work: Work | None = None,
    ) -> Forecast | None:
        """Forecast a request at one endpoint, or ``None`` without its pace.

        :param endpoint: the endpoint.
        :param traits: what is known of the request.
        :param work: its work, or ``None`` to estimate it.
        """
        if not self.is_paced(endpoint.service):
            return None
        requirements = PlacementRequirements(traits=traits)
        return forecast_at(
            self._build_candidate(endpoint),
            self._build_request(endpoint.service, requirements, work),
        )

    def estimate_work(self, service: str, traits: RequestTraits) -> Work:
        """Estimate the work of a request.

        :param service: name of its service.
        :param traits: what is known of the request.
        """
        return build_work(self.get_service_load(service), traits)

    def estimate_queue_delay(self, endpoint: EndpointRecord) -> float:
        """Estimate the queueing delay at an endpoint; see the base class."""
        forecast = self.forecast_at(endpoint, RequestTraits())
        if forecast is None:
            return super().estimate_queue_delay(endpoint)
        return forecast.start_s

    def _has_pace(self, endpoints: Sequence[EndpointRecord]) -> bool:
        return bool(endpoints) and self.is_paced(endpoints[0].service)

    def _build_candidate(self, endpoint: EndpointRecord) -> Candidate:
        return Candidate(
            endpoint=endpoint,
            state=self._get_state(endpoint),
            step_class=self.get_class(endpoint),
        )

    def _build_request(
        self,
        service: str,
        requirements: PlacementRequirements,
        work: Work | None,
    ) -> PacedRequest:
        load = self.get_service_load(service)
        if work is None:
            work = build_work(load, requirements.traits)
        return PacedRequest(
            requirements=requirements,
            work=work,
            load=load,
            now=read_monotonic_clock(),
        )

    def _choose_option(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
        work: Work | None = None,
    ) -> Option | None:
        service = endpoints[0].service
        request = self._build_request(service, requirements, work)
        if self._positions.refresh(service, endpoints, request.now):
            request.load.demand.update_shares(request.now)
        _, available = self._list_available(
            endpoints, requirements, request.now
        )
        return choose_option(
            [self._build_candidate(endpoint) for endpoint, _ in available],
            request,
            zone=self._zone,
            rng=self._rng,
        )

    def _list_available(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
        now: float,
    ) -> tuple[_States, _States]:
        """Return the endpoints to compare, and those of them to choose from."""
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
        return candidates, available

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
