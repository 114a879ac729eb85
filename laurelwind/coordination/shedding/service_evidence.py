"""What a daemon knows of the load of one service."""

from attrs import define, evolve, field

from laurelwind.coordination.load.forecasts import Forecast
from laurelwind.coordination.shedding.corrections import DelayCorrection
from laurelwind.coordination.shedding.demand import ServiceDemand
from laurelwind.coordination.shedding.pressure import ServicePressure


@define(kw_only=True)
class ServiceEvidence:
    """What a daemon knows of the load of one service.

    :ivar pressure: pressure by priority.
    :ivar demand: recent demand.
    :ivar corrections: corrections of forecasts by observed delays, by
        priority.
    """

    pressure: ServicePressure = field(factory=ServicePressure)
    demand: ServiceDemand = field(factory=ServiceDemand)
    corrections: dict[int, DelayCorrection] = field(factory=dict)

    def get_correction(self, priority: int) -> DelayCorrection:
        """Return the correction of a priority.

        :param priority: priority, 0 to 9.
        """
        return self.corrections.setdefault(priority, DelayCorrection())

    def correct(
        self, forecast: Forecast, priority: int, now: float
    ) -> Forecast:
        """Return a forecast with the delay that the priority really has.

        :param forecast: the forecast.
        :param priority: priority of the request, 0 to 9.
        :param now: current moment on the monotonic clock.
        """
        factor = self.demand.get_delay_factor(priority)
        factor *= self.get_correction(priority).get_factor(now)
        added_s = forecast.start_s * (factor - 1)
        return evolve(
            forecast,
            start_s=forecast.start_s + added_s,
            first_s=forecast.first_s + added_s,
            finish_s=forecast.finish_s + added_s,
        )
