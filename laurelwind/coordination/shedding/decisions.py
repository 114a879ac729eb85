"""Inputs and outcomes of a load decision."""

import enum
import math

from attrs import field, frozen

from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.shedding.demand import CountedOutcome


class LoadOutcome(enum.StrEnum):
    """What happens to a request."""

    SEND = 'send'
    WAIT = 'wait'
    SHED = 'shed'


class LoadReason(enum.StrEnum):
    """Why a decision was made."""

    UNKNOWN = 'unknown'
    ROOM = 'room'
    CAPACITY = 'capacity'
    FLOOR = 'floor'
    DEADLINE = 'deadline'
    PRIORITY = 'priority'
    LATE = 'late'
    WORK = 'work'
    WORKSPACE = 'workspace'


@frozen(kw_only=True)
class LoadRequest:
    """A request for which a decision is made.

    :ivar service: name of its service.
    :ivar kind: name of its route.
    :ivar request_id: its identifier; samples of one request count once.
    :ivar workspace: name of its workspace, or an empty string.
    :ivar priority: priority, 0 (most urgent) to 9.
    :ivar work: work that it causes at an endpoint.
    :ivar is_stream: whether its first event, rather than the complete answer,
        has to be in time.
    :ivar goal_s: latency goal in seconds from its arrival.
    :ivar elapsed_s: seconds since its arrival.
    :ivar remaining_s: seconds until its deadline.
    :ivar delay_s: seconds until it may be sent, as it waits for a permit.
    :ivar draw: random number in [0, 1) that is drawn once per request, so that
        repeated reviews do not add up to a higher probability of rejection.
    :ivar return_draw: random number in [0, 1) that spreads the returns of
        rejected callers. It is independent of ``draw``, as those that are
        rejected have the highest draws.
    """

    service: str
    kind: str
    request_id: str
    workspace: str = ''
    priority: int = 0
    work: Work = field(factory=Work)
    is_stream: bool = True
    goal_s: float
    elapsed_s: float = 0
    remaining_s: float
    delay_s: float = 0
    draw: float
    return_draw: float

    @property
    def amount(self) -> float:
        """Its work for comparisons among requests, at least 1."""
        return max(self.work.memory_tokens, 1)

    def get_needed_time(self, forecast: Forecast) -> float:
        """Return the seconds until what the goal and the deadline refer to.

        :param forecast: forecast for the request.
        """
        answer_s = forecast.first_s if self.is_stream else forecast.finish_s
        return self.delay_s + answer_s


@frozen(kw_only=True)
class LoadDecision:
    """A decision with its inputs.

    :ivar outcome: what happens to the request.
    :ivar reason: why.
    :ivar needed_s: predicted seconds until the first event or plain answer,
        infinite if unknown.
    :ivar shed_share: probability of rejection at the request's priority.
    :ivar floor: smallest probability of admission at the moment.
    :ivar evidence_age_s: age of the newest evidence of load in seconds.
    :ivar retry_after_s: delay after which a rejected caller should return.
    :ivar counted: how the request is counted in the demand, or ``None``.
    """

    outcome: LoadOutcome
    reason: LoadReason
    needed_s: float = math.inf
    shed_share: float = 0
    floor: float = 0
    evidence_age_s: float = math.inf
    retry_after_s: float = 0
    counted: CountedOutcome | None = None

    @property
    def is_shed(self) -> bool:
        """Whether the request is rejected."""
        return self.outcome is LoadOutcome.SHED
