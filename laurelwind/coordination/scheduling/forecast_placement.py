"""Forecasts for requests, and the choice of endpoints by them."""

import random
from collections.abc import Sequence

from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.scheduling.candidates import (
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
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
    RequestTraits,
)
from laurelwind.coordination.scheduling.reservations import SentDelay
from laurelwind.coordination.scheduling.sampling import Candidate
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

_States = Sequence[tuple[EndpointRecord, EndpointState]]


class ForecastPlacement(LoadObservations):
    """Forecasts requests at endpoints that report their pace.

    :param zone: availability zone of the local instance.
    :param rng: random source, or ``None`` for one of its own.
    :param separates_classes: whether classes of requests are kept on separate
        endpoints.
    :ivar choices_without_memory: choices that found no endpoint with memory
        for the request.
    """

    def __init__(
        self,
        *,
        zone: str,
        rng: random.Random | None = None,
        separates_classes: bool = False,
    ) -> None:
        super().__init__(separates_classes=separates_classes)
        self._zone = zone
        self._rng = rng or random.Random()
        self.choices_without_memory = 0

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

    def record_request(
        self, endpoint: EndpointRecord, prefill_s: float, traits: RequestTraits
    ) -> SentDelay:
        """Record a request that this daemon sends.

        :param endpoint: the endpoint that receives it.
        :param prefill_s: prefill time of its prompt, in seconds.
        :param traits: what is known of the request.
        """
        forecast = self.forecast_at(endpoint, traits)
        if forecast is None:
            self.record_sent(endpoint, prefill_s)
            return SentDelay(expected_s=self.estimate_queue_delay(endpoint))
        return SentDelay(
            expected_s=forecast.first_s,
            forecast=forecast,
            reservation=self.record_attempt(endpoint, traits),
        )

    def estimate_queue_delay(self, endpoint: EndpointRecord) -> float:
        """Estimate the queueing delay at an endpoint; see the base class."""
        forecast = self.forecast_at(endpoint, RequestTraits())
        if forecast is None:
            return super().estimate_queue_delay(endpoint)
        return forecast.start_s

    def _has_pace(self, endpoints: Sequence[EndpointRecord]) -> bool:
        return bool(endpoints) and self.is_paced(endpoints[0].service)

    def _list_with_memory(
        self,
        endpoints: Sequence[EndpointRecord],
        requirements: PlacementRequirements,
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints that have the memory for a request."""
        if not requirements.traits.memory_limit:
            return endpoints
        request = self._build_request(endpoints[0].service, requirements, None)
        with_memory = [
            endpoint
            for endpoint in limit_candidates(
                endpoints, requirements.affinity_key
            )
            if request.fits(self._build_candidate(endpoint))
        ]
        self.choices_without_memory += not with_memory
        return with_memory

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
        option = choose_option(
            [self._build_candidate(endpoint) for endpoint, _ in available],
            request,
            zone=self._zone,
            rng=self._rng,
        )
        if option is None and available:
            self.choices_without_memory += 1
        return option

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
