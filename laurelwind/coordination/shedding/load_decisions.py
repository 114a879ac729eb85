"""Decides whether a request is sent, waits or is rejected because of load."""

import math
from typing import Final

from attrs import evolve

from laurelwind.coordination.load.forecasts import Forecast
from laurelwind.coordination.shedding.corrections import SentRequest
from laurelwind.coordination.shedding.decisions import (
    LoadDecision,
    LoadRequest,
)
from laurelwind.coordination.shedding.pressure import (
    PressureSample,
    compute_ratio,
    has_room,
)
from laurelwind.coordination.shedding.rules import (
    Review,
    decide,
    is_fresh,
    rank_request,
)
from laurelwind.coordination.shedding.service_evidence import ServiceEvidence
from laurelwind.coordination.shedding.workspace_demand import WorkspaceDemand

# Services whose load is tracked; a routing table has far fewer.
MAX_SERVICES: Final = 64
# Time after the last forecast for which load decisions count as active: as long
# as placement keeps what it has learned of an unused service.
ACTIVE_TTL_S: Final = 600.0


class LoadDecisions:
    """Makes load decisions by forecasts and the pressure on each service.

    :ivar workspaces: demand of workspaces.
    """

    def __init__(self) -> None:
        self._forecast_at = -math.inf
        self.workspaces = WorkspaceDemand()
        self._services: dict[str, ServiceEvidence] = {}

    def is_active(self, now: float) -> bool:
        """Return whether the endpoints of any service report their pace.

        Without that no decision is made. While the daemon has no valid table it
        gets no forecasts, so that the last one counts for longer than an
        outage.

        :param now: current moment on the monotonic clock.
        """
        return now - self._forecast_at <= ACTIVE_TTL_S

    def get_service(self, name: str) -> ServiceEvidence:
        """Return the load of a service.

        :param name: name of the service.
        """
        load = self._services.get(name)
        if load is None:
            if len(self._services) >= MAX_SERVICES:
                self._services.pop(next(iter(self._services)))
            load = ServiceEvidence()
            self._services[name] = load
        return load

    def list_services(self) -> dict[str, ServiceEvidence]:
        """Return the load of each service by name."""
        return self._services

    def compute_largest_share(self, now: float) -> float:
        """Return the largest share of a service's work to reject.

        :param now: current moment on the monotonic clock.
        """
        return max(
            (
                max(load.pressure.list_shed_shares(now).values(), default=0)
                for load in self._services.values()
            ),
            default=0,
        )

    def record_forecast(
        self, request: LoadRequest, forecast: Forecast, now: float
    ) -> None:
        """Record a forecast as evidence of load, unless it is too old.

        :param request: the request that the forecast is for.
        :param forecast: the forecast.
        :param now: current moment on the monotonic clock.
        """
        load = self.get_service(request.service)
        load.pressure.record(
            PressureSample(
                priority=request.priority,
                ratio=compute_ratio(
                    load.correct(forecast, request.priority, now),
                    request.goal_s,
                    is_stream=request.is_stream,
                ),
                observed_at=now - forecast.age_s,
                source=('request', request.request_id),
            ),
            now,
        )

    def misses_deadline(
        self, request: LoadRequest, forecast: Forecast, now: float
    ) -> bool:
        """Return whether a forecast is known to miss the deadline.

        :param request: the request.
        :param forecast: its forecast at one endpoint.
        :param now: current moment on the monotonic clock.
        """
        if not is_fresh(forecast) or has_room(forecast, request.goal_s):
            return False
        load = self.get_service(request.service)
        corrected = load.correct(forecast, request.priority, now)
        needed_s = max(
            request.get_needed_time(forecast),
            request.get_needed_time(corrected),
        )
        return needed_s > request.remaining_s

    def record_sent(
        self, key: str, request: LoadRequest, forecast: Forecast, now: float
    ) -> None:
        """Track a request that is sent, to compare its delay to the forecast.

        :param key: identifier of the request.
        :param request: the request.
        :param forecast: the forecast, as placement made it.
        :param now: current moment on the monotonic clock.
        """
        load = self.get_service(request.service)
        factor = load.demand.get_delay_factor(request.priority)
        load.get_correction(request.priority).record_sent(
            key,
            SentRequest(
                sent_at=now,
                predicted_s=forecast.start_s * factor,
                own_s=request.get_needed_time(forecast)
                - request.delay_s
                - forecast.start_s,
                goal_s=request.goal_s,
            ),
        )

    def record_answer(
        self, key: str, service: str, priority: int, now: float
    ) -> None:
        """Record that the answer to a request has begun.

        :param key: identifier of the request.
        :param service: name of its service.
        :param priority: its priority.
        :param now: current moment on the monotonic clock.
        """
        load = self.get_service(service)
        load.get_correction(priority).record_answer(key, now)

    def discard(self, key: str, service: str, priority: int) -> None:
        """Record that an attempt ended.

        :param key: identifier of the request.
        :param service: name of its service.
        :param priority: its priority.
        """
        self.get_service(service).get_correction(priority).discard(key)

    def review(
        self,
        request: LoadRequest,
        forecast: Forecast | None,
        now: float,
        *,
        last: LoadDecision | None = None,
    ) -> LoadDecision:
        """Decide about a request that no endpoint may have run.

        :param request: the request.
        :param forecast: forecast at the endpoint that was selected, or ``None``
            if nothing is known.
        :param now: current moment on the monotonic clock.
        :param last: the decision about the request that this one replaces, or
            ``None`` at its first review.
        """
        if forecast is not None:
            self._forecast_at = now
        load = self.get_service(request.service)
        excess = self.workspaces.compute_excess(
            request.service, request.workspace, now
        )
        rank, rank_draw = rank_request(request, excess)
        is_first = last is None
        if is_first:
            load.demand.record_arrival(rank, request.kind, request.amount, now)
        # Demand is shared for services that load decisions apply to.
        if is_first and forecast is not None:
            self.workspaces.record_request(
                request.service, request.workspace, request.amount, now
            )
        corrected = None
        if forecast is not None and is_fresh(forecast):
            self.record_forecast(request, forecast, now)
            corrected = load.correct(forecast, request.priority, now)
        decision = decide(
            Review(
                load=load,
                request=request,
                rank=rank,
                rank_draw=rank_draw,
                forecast=None if corrected is None else forecast,
                corrected=corrected,
                now=now,
            )
        )
        counted = None if last is None else last.counted
        if counted is None:
            counted = load.demand.record_outcome(
                request.priority,
                request.amount,
                now,
                is_admitted=not decision.is_shed,
            )
        elif counted.is_admitted is decision.is_shed:
            counted = load.demand.revise_outcome(counted)
        return evolve(decision, counted=counted)
