"""Decides whether a request is sent, waits or is rejected because of load."""

from collections.abc import Callable
from typing import Final

from laurelwind.coordination.load.forecasts import Forecast
from laurelwind.coordination.shedding.corrections import SentRequest
from laurelwind.coordination.shedding.decisions import (
    LoadDecision,
    LoadRequest,
)
from laurelwind.coordination.shedding.pressure import (
    PressureSample,
    compute_ratio,
)
from laurelwind.coordination.shedding.rules import (
    Review,
    decide,
    is_fresh,
    rank_request,
)
from laurelwind.coordination.shedding.service_load import ServiceLoad

# Services whose load is tracked; a routing table has far fewer.
MAX_SERVICES: Final = 64

# Returns the share of a workspace's demand on a service that is beyond its
# usual share, given the service, the workspace and the moment.
ReadExcess = Callable[[str, str, float], float]


def assume_no_excess(service: str, workspace: str, now: float) -> float:
    """Return that no workspace exceeds its usual share.

    :param service: name of the service.
    :param workspace: name of the workspace.
    :param now: current moment on the monotonic clock.
    """
    return 0


class LoadDecisions:
    """Makes load decisions by forecasts and the pressure on each service.

    :param read_excess: returns the excess share of a workspace's demand.
    """

    def __init__(self, *, read_excess: ReadExcess = assume_no_excess) -> None:
        self._read_excess = read_excess
        self._services: dict[str, ServiceLoad] = {}

    def get_service(self, name: str) -> ServiceLoad:
        """Return the load of a service.

        :param name: name of the service.
        """
        load = self._services.get(name)
        if load is None:
            if len(self._services) >= MAX_SERVICES:
                self._services.pop(next(iter(self._services)))
            load = ServiceLoad()
            self._services[name] = load
        return load

    def list_services(self) -> dict[str, ServiceLoad]:
        """Return the load of each service by name."""
        return self._services

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
            ),
            now,
        )

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
        is_first: bool = True,
    ) -> LoadDecision:
        """Decide about a request that no endpoint may have run.

        :param request: the request.
        :param forecast: forecast at the best endpoint, or ``None`` if nothing
            is known.
        :param now: current moment on the monotonic clock.
        :param is_first: whether this is the first review of the request.
        """
        load = self.get_service(request.service)
        rank, rank_draw = rank_request(
            request, self._read_excess(request.service, request.workspace, now)
        )
        if is_first:
            load.demand.record_arrival(rank, request.kind, request.amount, now)
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
        if is_first or decision.is_shed:
            load.demand.record_outcome(
                request.priority,
                request.amount,
                now,
                is_admitted=not decision.is_shed,
            )
        return decision
