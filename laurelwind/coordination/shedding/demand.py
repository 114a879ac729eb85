"""Recent demand on a service: work by priority, and admitted share."""

import math
from typing import Final

from attrs import define, evolve, field, frozen

# Time over which demand and admissions are averaged: the interval for which
# the floors are stated.
DEMAND_WINDOW_S: Final = 5.0
# Time over which the admitted share is averaged. A longer one would keep the
# floors high for seconds after the load has risen.
ADMISSION_WINDOW_S: Final = 1.0
# Lifetime of the admitted shares of peers, and the smallest weight of one.
FLEET_SHARE_TTL_S: Final = 3.0
MIN_REMOTE_WEIGHT: Final = 0.1
# Share of the admission rate of all requests that each request has at least.
# The floor is 0.4 over 8 s; the rest covers chance with few requests.
FLOOR_SHARE: Final = 0.5
# Smallest admission rate: a service whose requests are all rejected would
# produce no new reports.
MIN_ADMISSION: Final = 0.05
# Work of a typical request, which each priority has in advance, as a share. A
# daemon that has seen requests of one priority only does not know the others.
PRIOR_SHARE: Final = 0.2
# Part of a shed share that applies to more urgent priorities. The floors of
# the least urgent need room at the engines, but a long queue of theirs must not
# turn away most of the urgent. In emulated runs at 1.5 to 3 times capacity, 0.7
# left no room for the floors, and 1 rejected half of the most urgent at twice.
UPWARD_PART: Final = 0.85
# Largest factor by which more urgent work is assumed to delay a queue.
MAX_DELAY_FACTOR: Final = 5.0
# Routes whose usual work is kept; the oldest is dropped beyond that.
MAX_KINDS: Final = 64
KIND_WEIGHT: Final = 0.1
_PRIORITIES: Final = 10
# Priority of work beyond the usual share of its workspace.
EXCESS_PRIORITY: Final = _PRIORITIES


def _build_amounts() -> list[float]:
    return [float(0) for _ in range(EXCESS_PRIORITY + 1)]


@frozen(kw_only=True)
class CountedOutcome:
    """The outcome of a request, as it was counted.

    :ivar is_admitted: whether it counts as admitted.
    :ivar priority: its priority.
    :ivar work: its work.
    :ivar weight: its weight in the admitted share at ``counted_at``.
    :ivar counted_at: moment of the decision, on the monotonic clock.
    """

    is_admitted: bool
    priority: int
    work: float
    weight: float
    counted_at: float


@define(kw_only=True)
class ServiceDemand:
    """Demand on one service that this daemon has seen.

    :ivar admitted_share: share of this daemon's recent requests that were
        admitted.
    :ivar fleet_share: the same of its peers, as of ``fleet_share_at``.
    :ivar fleet_share_at: moment of the last report of a peer.
    """

    admitted_share: float = 1.0
    fleet_share: float = 1.0
    fleet_share_at: float = -math.inf
    _by_priority: list[float] = field(factory=_build_amounts)
    _admitted: list[float] = field(factory=_build_amounts)
    _typical_work: float = 0
    _typical_by_kind: dict[str, float] = field(factory=dict)
    _decayed_at: float = -math.inf
    _counted_at: float = -math.inf

    def record_arrival(
        self, priority: int, kind: str, work: float, now: float
    ) -> None:
        """Count the work of a request.

        :param priority: its priority, or ``EXCESS_PRIORITY``.
        :param kind: name of its route.
        :param work: its work in any unit, at least 1.
        :param now: current moment on the monotonic clock.
        """
        elapsed_s = now - self._decayed_at
        decay = math.exp(-max(elapsed_s, 0) / DEMAND_WINDOW_S)
        self._by_priority = [amount * decay for amount in self._by_priority]
        self._admitted = [amount * decay for amount in self._admitted]
        self._by_priority[priority] += work
        self._decayed_at = now
        self._typical_work = _average(self._typical_work, work)
        usual = self._typical_by_kind.pop(kind, 0)
        if len(self._typical_by_kind) >= MAX_KINDS:
            self._typical_by_kind.pop(next(iter(self._typical_by_kind)))
        self._typical_by_kind[kind] = _average(usual, work)

    def record_outcome(
        self, priority: int, work: float, now: float, *, is_admitted: bool
    ) -> CountedOutcome:
        """Count a decision, and return what was counted.

        :param priority: priority of the request.
        :param work: its work.
        :param now: current moment on the monotonic clock.
        :param is_admitted: whether the request was admitted.
        """
        if is_admitted:
            self._admitted[priority] += work
        elapsed_s = min(max(now - self._counted_at, 0), ADMISSION_WINDOW_S)
        weight = 1 - math.exp(-elapsed_s / ADMISSION_WINDOW_S)
        self.admitted_share += (is_admitted - self.admitted_share) * weight
        self._counted_at = now
        return CountedOutcome(
            is_admitted=is_admitted,
            priority=priority,
            work=work,
            weight=weight,
            counted_at=now,
        )

    def revise_outcome(self, counted: CountedOutcome) -> CountedOutcome:
        """Count a request with the opposite outcome instead.

        :param counted: what was counted for it.
        :returns: what is counted now.
        """
        sign = -1 if counted.is_admitted else 1
        decay = math.exp(
            -max(self._decayed_at - counted.counted_at, 0) / DEMAND_WINDOW_S
        )
        self._admitted[counted.priority] = max(
            self._admitted[counted.priority] + sign * counted.work * decay, 0
        )
        # Later decisions have reduced its weight by about as much.
        passed_s = max(self._counted_at - counted.counted_at, 0)
        weight = counted.weight * math.exp(-passed_s / ADMISSION_WINDOW_S)
        share = self.admitted_share + sign * weight
        self.admitted_share = min(max(share, 0), 1)
        return evolve(counted, is_admitted=not counted.is_admitted)

    def record_remote_share(self, share: float, now: float) -> None:
        """Apply the admitted share of a peer.

        :param share: its admitted share.
        :param now: current moment on the monotonic clock.
        """
        elapsed_s = max(now - self.fleet_share_at, 0)
        weight = 1 - math.exp(-elapsed_s / ADMISSION_WINDOW_S)
        weight = max(weight, MIN_REMOTE_WEIGHT)
        self.fleet_share += (share - self.fleet_share) * weight
        self.fleet_share_at = now

    @property
    def floor(self) -> float:
        """Smallest probability with which any request is admitted.

        A daemon that sees the least urgent only admits few, so its floor
        follows the admitted share of its peers while these report it.
        """
        share = self.admitted_share
        if self._decayed_at - self.fleet_share_at <= FLEET_SHARE_TTL_S:
            share = self.fleet_share
        return max(FLOOR_SHARE * share, MIN_ADMISSION)

    def get_delay_factor(self, priority: int) -> float:
        """Return how much longer a priority waits than its queue tells.

        Engines admit by priority, so that while an engine is full a queue is
        served with what the arriving work of more urgent requests leaves.

        :param priority: priority, 0 to 9.
        """
        total = sum(self._admitted)
        left = sum(self._admitted[priority:])
        if total <= 0 or left <= 0:
            return 1
        return min(total / left, MAX_DELAY_FACTOR)

    def compute_shed_probability(
        self, priority: int, shares: dict[int, float]
    ) -> float:
        """Return the share of the requests of a priority to reject.

        Work of the least urgent priority is rejected first, each down to the
        floor.

        :param priority: priority, or ``EXCESS_PRIORITY``.
        :param shares: shed shares of the work of all priorities, by the
            priority that requires them.
        """
        return max(
            (
                self._split(priority, requiring, share)
                for requiring, share in shares.items()
            ),
            default=0,
        )

    def get_relative_work(self, kind: str, work: float) -> float:
        """Return the work relative to its kind: 0 to 1, 0.5 if it is usual.

        :param kind: name of its route.
        :param work: its work.
        """
        usual = self._typical_by_kind.get(kind, work)
        return work / (work + usual) if work > 0 else 0

    def _split(self, priority: int, requiring: int, share: float) -> float:
        prior = PRIOR_SHARE * self._typical_work
        amounts = [amount + prior for amount in self._by_priority]
        less_urgent = float(0)
        if priority < EXCESS_PRIORITY:
            less_urgent = sum(amounts[priority + 1 : EXCESS_PRIORITY])
            # Excess work has no floor: the rest of its workspace has one.
            less_urgent *= 1 - self.floor
            less_urgent += amounts[EXCESS_PRIORITY]
        own = amounts[priority]
        if priority < requiring:
            share *= UPWARD_PART
        to_shed = share * sum(amounts) - less_urgent
        return min(max(to_shed / own, 0), 1) if own > 0 else share


def _average(usual: float, work: float) -> float:
    return usual + (work - usual) * KIND_WEIGHT if usual else work
