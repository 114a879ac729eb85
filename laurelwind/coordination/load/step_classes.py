"""Classes of requests by what they cost the steps of their batch."""

import enum
import math
from collections.abc import Mapping
from typing import Final

from attrs import define, field

# Time over which the demand of the classes is measured.
DEMAND_WINDOW_S: Final = 8.0
# Weight of the demand that one other daemon reports, and the age at which the
# reports of all others count no longer.
REPORT_WEIGHT: Final = 0.03
REPORT_TTL_S: Final = 3.0
# Smallest share of a class with any demand, so that its next request finds an
# endpoint, and the change of a share from which endpoints change their class.
MIN_SHARE: Final = 0.06
MIN_CHANGE: Final = 0.04
# Share of the highest cost of a service's models above which a model counts as
# one that sets the duration of the steps.
HEAVY_COST_SHARE: Final = 0.5


class StepClass(enum.IntEnum):
    """Classes that are kept on separate endpoints, most costly first.

    A step of a batch takes as long as its largest model needs, and reads a
    chunk of the queued prompts besides.
    """

    LONG = 0
    HEAVY = 1
    LIGHT = 2


Shares = Mapping[StepClass, float]

# Class under which the batches of endpoints without a class are known.
SHARED_LANE: Final = StepClass.HEAVY


@define(kw_only=True)
class ClassDemand:
    """Demand by class of one service, and the shares of endpoints from it.

    Demand is the time of an endpoint that requests take: that of the prompt,
    and a part of each step that their batch shares.  Endpoints of all classes
    are then about equally busy.

    :ivar shares: shares in force; empty before there was demand.
    """

    shares: Shares = field(factory=dict, init=False)
    _local: dict[StepClass, float] = field(factory=dict, init=False)
    _local_at: float = field(default=0, init=False)
    _remote: dict[StepClass, float] = field(factory=dict, init=False)
    _remote_at: float = field(default=-math.inf, init=False)

    def record(self, step_class: StepClass, work_s: float, now: float) -> None:
        """Record a request that has ended.

        :param step_class: its class.
        :param work_s: seconds of its endpoint that it took, at the usual pace.
        :param now: the current moment.
        """
        decay = math.exp(-max(now - self._local_at, 0) / DEMAND_WINDOW_S)
        for known in self._local:
            self._local[known] *= decay
        self._local_at = now
        self._local[step_class] = self._local.get(step_class, 0) + work_s

    def measure(self) -> Shares:
        """Return the shares of this daemon's own demand, which peers receive.

        They are empty without demand.
        """
        return _normalise(self._local)

    def record_remote(self, shares: Shares, now: float) -> None:
        """Record the shares of another daemon's demand.

        :param shares: the shares, which add up to one.
        :param now: the current moment.
        """
        is_first = now - self._remote_at > REPORT_TTL_S
        weight = 1 if is_first else REPORT_WEIGHT
        self._remote_at = now
        for step_class in StepClass:
            before = self._remote.get(step_class, 0)
            share = shares.get(step_class, 0)
            self._remote[step_class] = before + (share - before) * weight

    def update_shares(self, now: float) -> bool:
        """Derive the shares in force; return whether they changed.

        Daemons with other shares than their peers differ on few endpoints only.

        :param now: the current moment.
        """
        has_remote = now - self._remote_at <= REPORT_TTL_S
        shares = _raise_small(
            _normalise(self._remote) if has_remote else self.measure()
        )
        if not shares:
            return False
        changes = [
            abs(shares.get(step_class, 0) - self.shares.get(step_class, 0))
            for step_class in StepClass
        ]
        if max(changes) < MIN_CHANGE:
            return False
        self.shares = shares
        return True


def classify_step(
    cost_share: float, *, is_long: bool, has_small_model: bool
) -> StepClass:
    """Return the class of a request.

    :param cost_share: cost of its model, relative to the largest one.
    :param is_long: whether its prompt noticeably delays other answers.
    :param has_small_model: whether the service has cheaper models at all.
    """
    if is_long:
        return StepClass.LONG
    if has_small_model and cost_share <= HEAVY_COST_SHARE:
        return StepClass.LIGHT
    return StepClass.HEAVY


def find_class(position: float, shares: Shares) -> StepClass | None:
    """Return the class of an endpoint, or ``None`` without shares.

    :param position: position of the endpoint in its zone, 0 to 1.
    :param shares: shares of the classes, which add up to one.
    """
    found = None
    for step_class, share in sorted(shares.items()):
        found = step_class
        position -= share
        if position < 0:
            break
    return found


def _normalise(amounts: Shares) -> dict[StepClass, float]:
    total = sum(amounts.values())
    if total <= 0:
        return {}
    return {
        step_class: amount / total for step_class, amount in amounts.items()
    }


def _raise_small(shares: Shares) -> dict[StepClass, float]:
    return _normalise(
        {
            step_class: max(share, MIN_SHARE)
            for step_class, share in shares.items()
            if share > MIN_SHARE / 10
        }
    )
