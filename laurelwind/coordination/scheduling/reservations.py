"""What attempts hold at endpoints that report their pace."""

from typing import Final

from attrs import frozen

from laurelwind.coordination.load.forecasts import Forecast
from laurelwind.coordination.load.service_loads import ServiceLoad
from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.coordination.scheduling.requirements import RequestTraits

# Expected answers are reserved with this factor where no limit is given, as
# estimates are often too small.
OUTPUT_RESERVE: Final = 2


@frozen(kw_only=True)
class Reservation:
    """What an attempt holds at its endpoint until it ends.

    :ivar step_class: class of the request.
    :ivar tokens: tokens of memory that it may hold at its end.
    :ivar prefill_s: seconds to read its prompt at the usual pace.
    :ivar slowdown: slowdown of the endpoint as it was sent.
    :ivar sent_at: moment of sending, on the monotonic clock.
    """

    step_class: StepClass
    tokens: int
    prefill_s: float
    slowdown: float
    sent_at: float


@frozen(kw_only=True)
class SentDelay:
    """What is expected of an attempt as it is sent.

    :ivar expected_s: seconds until the first byte without a fault.
    :ivar forecast: forecast at sending, or ``None`` if the endpoints of the
        service report no pace.
    :ivar reservation: what it holds, or ``None`` if the endpoints of the
        service report no pace.
    """

    expected_s: float
    forecast: Forecast | None = None
    reservation: Reservation | None = None


def estimate_tokens(load: ServiceLoad, traits: RequestTraits) -> int:
    """Return the tokens of memory that a request may hold at its end.

    :param load: what was learned of its service.
    :param traits: work of the request.
    """
    output = traits.output_limit
    if not output:
        events = load.lengths.estimate_events(traits.route, traits.length_hint)
        expected = load.lengths.convert_to_tokens(events)
        output = max(expected, traits.length_hint) * OUTPUT_RESERVE
    return traits.prompt_tokens + output
