"""Selects the endpoint for each request.

Engines run requests in batches.  Each step generates one token for every
request of the batch, lasts as long as the largest model in the batch needs, and
prefills a chunk of the queued prompts.  A long prompt for a large model
therefore delays every answer in its batch, and a small model is fast only when
batched with requests of similar cost.  For this reason endpoints are divided
into scheduling classes by prefill time, and the daemons of an availability zone
notify each other of the prefill time that they queue at each endpoint.
"""

import random
from collections.abc import Sequence
from typing import Final

from laurelwind.coordination.scheduling.candidates import (
    find_by_name,
    limit_candidates,
)
from laurelwind.coordination.scheduling.endpoint_states import (
    REMOTE_LOSS_WEIGHT,
    SERVER_ERROR_WEIGHT,
    EndpointState,
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

# Exponential backoff after consecutive failures, up to MAX_BACKOFF_S.
INITIAL_BACKOFF_S: Final = 0.4
MAX_BACKOFF_S: Final = 5.0
_MAX_DOUBLINGS: Final = 4
# Seconds that a failed request loses at least: its next attempt queues and
# reads the prompt again.
MIN_LOSS_S: Final = 2.0
# Placement penalties, in seconds of queueing delay.  A full endpoint costs as
# much as one second of queued work; another availability zone or scheduling
# class costs a fraction of that.
FULL_PENALTY_S: Final = 1.0
CROSS_ZONE_PENALTY_S: Final = 0.35
CLASS_MISMATCH_PENALTY_S: Final = 0.5
# Seconds by which the endpoint with a cached prompt prefix may cost more than
# the cheapest endpoint, in addition to the prefill time that the cache saves.
AFFINITY_TOLERANCE_S: Final = 0.05


class Placement:
    """Selects endpoints by cost and tracks the state of each endpoint.

    :param zone: availability zone of the local instance.
    """

    def __init__(self, *, zone: str) -> None:
        self._zone = zone
        self._states: dict[str, EndpointState] = {}
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

    def estimate_wait(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
    ) -> float:
        """Return the cost, in seconds, of the cheapest endpoint.

        :param endpoints: endpoints that may serve the request.
        :param requirements: requirements of the request.
        """
        return min(
            self._compute_costs(endpoints, requirements).values(), default=0
        )

    def estimate_queue_delay(self, endpoint: EndpointRecord) -> float:
        """Estimate the queueing delay at an endpoint, in seconds.

        :param endpoint: the endpoint.
        """
        return self._get_state(endpoint).estimate_queue_delay(
            read_monotonic_clock()
        )

    def record_sent(self, endpoint: EndpointRecord, prefill_s: float) -> None:
        """Record a request that this daemon sends.

        :param endpoint: the endpoint that receives it.
        :param prefill_s: prefill time of its prompt, in seconds.
        """
        state = self._get_state(endpoint)
        state.in_flight += 1
        state.add_queued_prefill(prefill_s, read_monotonic_clock())

    def record_remote_work(self, name: str, prefill_s: float) -> None:
        """Record a request that another daemon sent.

        :param name: name of the endpoint.
        :param prefill_s: prefill time of its prompt, in seconds.
        """
        self._get_named_state(name).add_queued_prefill(
            prefill_s, read_monotonic_clock()
        )

    def record_ended(self, endpoint: EndpointRecord) -> None:
        """Record the end of a request that this daemon sent.

        :param endpoint: the endpoint that received it.
        """
        state = self._get_state(endpoint)
        state.in_flight = max(state.in_flight - 1, 0)

    def record_first_byte(
        self, endpoint: EndpointRecord, waited_s: float, prefill_s: float
    ) -> None:
        """Record the time to first byte of an answer.

        :param endpoint: the endpoint.
        :param waited_s: seconds from sending to the first byte.
        :param prefill_s: prefill time of the prompt, in seconds.
        """
        self._get_state(endpoint).record_observed_delay(
            max(waited_s - prefill_s, 0), read_monotonic_clock()
        )

    def record_event_latency(
        self, endpoint: EndpointRecord, unit_latency_s: float | None
    ) -> None:
        """Record the latency between the events of a stream.

        :param endpoint: the endpoint.
        :param unit_latency_s: seconds per event, or ``None`` for the first one.
        """
        if unit_latency_s is not None:
            self._get_state(endpoint).record_unit_latency(
                unit_latency_s, read_monotonic_clock()
            )

    def record_report(
        self, endpoint: EndpointRecord, report: LoadReport
    ) -> None:
        """Record the load reported by an endpoint.

        :param endpoint: the endpoint.
        :param report: the reported load.
        """
        state = self._get_state(endpoint)
        state.report = report
        state.reported_at = read_monotonic_clock()
        state.in_flight_at_report = state.in_flight

    def record_success(self, endpoint: EndpointRecord) -> None:
        """Record a served request, and end the endpoint's backoff.

        :param endpoint: the endpoint.
        """
        state = self._get_state(endpoint)
        state.failures = 0
        state.backoff_until = 0
        state.record_loss(0, read_monotonic_clock())

    def record_pause(self, endpoint: EndpointRecord, pause_s: float) -> None:
        """Record that an endpoint asks for no further request for a while.

        A pause that ends later stays in force.

        :param endpoint: the endpoint.
        :param pause_s: length of the pause, in seconds.
        """
        state = self._get_state(endpoint)
        paused_until = read_monotonic_clock() + pause_s
        if paused_until > state.paused_until:
            state.paused_until = paused_until
            state.pause_s = pause_s

    def get_remaining_pause(self, endpoint: EndpointRecord) -> float:
        """Return the seconds until an endpoint accepts requests again.

        :param endpoint: the endpoint.
        """
        remaining_s = (
            self._get_state(endpoint).paused_until - read_monotonic_clock()
        )
        return max(remaining_s, 0)

    def record_server_error(self, endpoint: EndpointRecord) -> None:
        """Record a 5xx answer of an endpoint.

        :param endpoint: the endpoint.
        """
        self._get_state(endpoint).record_loss(
            MIN_LOSS_S, read_monotonic_clock(), SERVER_ERROR_WEIGHT
        )

    def record_remote_loss(self, name: str, lost_s: float) -> None:
        """Record a failure that another daemon reports.

        :param name: name of the endpoint.
        :param lost_s: seconds that the request had spent at the endpoint.
        """
        self._get_named_state(name).record_loss(
            max(lost_s, MIN_LOSS_S), read_monotonic_clock(), REMOTE_LOSS_WEIGHT
        )

    def record_failure(
        self, endpoint: EndpointRecord, lost_s: float = 0
    ) -> float:
        """Record a failure, and return the backoff in seconds.

        :param endpoint: the endpoint.
        :param lost_s: seconds that the request spent at the endpoint.
        """
        state = self._get_state(endpoint)
        doublings = min(state.failures, _MAX_DOUBLINGS)
        backoff_s = min(INITIAL_BACKOFF_S * (1 << doublings), MAX_BACKOFF_S)
        state.failures += 1
        state.backoff_until = read_monotonic_clock() + backoff_s
        state.record_loss(max(lost_s, MIN_LOSS_S), read_monotonic_clock())
        return backoff_s

    def retain_endpoints(self, names: set[str]) -> None:
        """Discard the state of removed endpoints without requests in flight.

        :param names: names of the endpoints that remain.
        """
        for name in tuple(self._states):
            if name not in names and not self._states[name].in_flight:
                self._states.pop(name)

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
            if candidate[1].backoff_until <= now
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

    def _get_state(self, endpoint: EndpointRecord) -> EndpointState:
        return self._get_named_state(endpoint.name)

    def _get_named_state(self, name: str) -> EndpointState:
        state = self._states.get(name)
        if state is None:
            state = EndpointState()
            self._states[name] = state
        return state
