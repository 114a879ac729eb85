"""Demand of workspaces on services, from this daemon and from its peers."""

import math
from collections.abc import Sequence
from typing import Final

from attrs import define

from laurelwind.coordination.shedding.demand_totals import (
    DemandRow,
    DemandTotals,
    Pair,
)

# Time over which demand is averaged.
DEMAND_WINDOW_S: Final = 4.0
# Lifetime of what a peer reports, and the most peers whose reports are kept.
REPORT_TTL_S: Final = 3.0
MAX_REPORTS: Final = 48
# Interval at which the shares are computed anew.
REFRESH_S: Final = 0.25
# Time over which the usual share follows the present one, and how much slower
# it follows a surge: the usual share must not grow within a burst.
USUAL_WINDOW_S: Final = 120.0
SURGE_RATIO: Final = 1.5
SURGE_SLOWNESS: Final = 10.0
# Time after a start before a daemon relies on the shares that it has seen.
LEARNING_S: Final = 5.0
# Multiple of the usual demand, relative to the others, that is not in excess.
TOLERANCE: Final = 1.5
# Pairs of a service and a workspace that are kept; the smallest is dropped.
MAX_PAIRS: Final = 64
# Usual share below which an absent workspace is forgotten.
MIN_USUAL_SHARE: Final = 0.0005


@define(kw_only=True)
class PairDemand:
    """Demand of one pair that this daemon has seen.

    :ivar work: work, decayed to ``updated_at``.
    :ivar requests: requests, decayed to ``updated_at``.
    :ivar updated_at: moment of the last request.
    """

    work: float = 0
    requests: float = 0
    updated_at: float = -math.inf

    def get_decay(self, now: float) -> float:
        """Return the share of the demand that is left.

        :param now: current moment on the monotonic clock.
        """
        return math.exp(-max(now - self.updated_at, 0) / DEMAND_WINDOW_S)

    def record(self, work: float, now: float) -> None:
        """Count a request.

        :param work: its work.
        :param now: current moment on the monotonic clock.
        """
        decay = self.get_decay(now)
        self.work = self.work * decay + work
        self.requests = self.requests * decay + 1
        self.updated_at = now


class WorkspaceDemand:
    """Compares the present share of each workspace with its usual one.

    A daemon sees too few requests for that, so it adds what random peers have
    reported within the last seconds. Without any report nothing is in excess.
    """

    def __init__(self) -> None:
        self._pairs: dict[Pair, PairDemand] = {}
        self._reports: dict[str, tuple[float, Sequence[DemandRow]]] = {}
        self._usual: dict[Pair, float] = {}
        self._totals = DemandTotals()
        self._refreshed_at = -math.inf
        self._started_at = math.inf

    def record_request(
        self, service: str, workspace: str, work: float, now: float
    ) -> None:
        """Count a request of this daemon.

        :param service: name of the service.
        :param workspace: name of the workspace.
        :param work: its work.
        :param now: current moment on the monotonic clock.
        """
        pair = (service, workspace)
        demand = self._pairs.get(pair)
        if demand is None:
            if len(self._pairs) >= MAX_PAIRS:
                oldest = min(
                    self._pairs, key=lambda key: self._pairs[key].updated_at
                )
                self._pairs.pop(oldest)
            demand = PairDemand()
            self._pairs[pair] = demand
        demand.record(work, now)

    def record_report(
        self, peer: str, rows: Sequence[DemandRow], now: float
    ) -> None:
        """Replace what a peer has reported.

        :param peer: address of the peer.
        :param rows: its rows.
        :param now: current moment on the monotonic clock.
        """
        self._reports.pop(peer, None)
        if len(self._reports) >= MAX_REPORTS:
            self._reports.pop(next(iter(self._reports)))
        self._reports[peer] = (now, rows)

    def list_rows(self, now: float, limit: int) -> list[DemandRow]:
        """Return the largest local demands, for the peers.

        :param now: current moment on the monotonic clock.
        :param limit: largest number of rows.
        """
        is_settled = self._is_settled(now)
        rows = [
            DemandRow(
                service=pair[0],
                workspace=pair[1],
                work=demand.work * demand.get_decay(now),
                requests=demand.requests * demand.get_decay(now),
                usual_share=self._usual.get(pair, 0) if is_settled else 0,
            )
            for pair, demand in self._pairs.items()
        ]
        rows.sort(key=lambda row: row.work, reverse=True)
        return rows[:limit]

    def compute_excess(self, service: str, workspace: str, now: float) -> float:
        """Return the share of a workspace's demand beyond its usual demand.

        It is compared with the demand of the others, as the present total
        holds the surge itself.

        :param service: name of the service.
        :param workspace: name of the workspace.
        :param now: current moment on the monotonic clock.
        """
        if now - self._refreshed_at >= REFRESH_S:
            self._refresh(now)
        pair = (service, workspace)
        usual = self._usual.get(pair, 0)
        if not usual or not self._reports or not self._is_settled(now):
            return 0
        if not self._totals.is_sufficient(pair):
            return 0
        surge = self._totals.get_surge(pair, usual)
        return max(1 - TOLERANCE / surge, 0) if surge else 0

    def count_reports(self, now: float) -> int:
        """Return the number of peers whose reports are fresh.

        :param now: current moment on the monotonic clock.
        """
        return sum(
            now - received_at <= REPORT_TTL_S
            for received_at, _ in self._reports.values()
        )

    def _is_settled(self, now: float) -> bool:
        return now - self._started_at >= LEARNING_S

    def _refresh(self, now: float) -> None:
        step_s = min(now - self._refreshed_at, 1)
        self._started_at = min(self._started_at, now)
        self._refreshed_at = now
        for peer, (received_at, _) in tuple(self._reports.items()):
            if now - received_at > REPORT_TTL_S:
                self._reports.pop(peer)
        totals = DemandTotals()
        reported_usual: dict[Pair, list[float]] = {}
        for row in self.list_rows(now, MAX_PAIRS):
            totals.add(row)
        for _, rows in self._reports.values():
            for row in rows:
                totals.add(row)
                if row.usual_share > 0:
                    reported_usual.setdefault(row.pair, []).append(
                        row.usual_share
                    )
        self._totals = totals
        self._update_usual(reported_usual, step_s, now)

    def _update_usual(
        self,
        reported: dict[Pair, list[float]],
        step_s: float,
        now: float,
    ) -> None:
        known = {}
        is_settled = self._is_settled(now)
        for pair in self._totals.list_largest(MAX_PAIRS):
            share = self._totals.get_share(pair)
            usual = self._usual.get(pair, 0)
            if not usual or not is_settled:
                # Peers that have run for longer know more. The first requests
                # of a daemon are too few to tell a share.
                others = sorted(reported.get(pair, ()))
                usual = others[len(others) // 2] if others else 0
            is_surge = self._totals.get_surge(pair, usual) > SURGE_RATIO
            known[pair] = self._follow(
                usual, share, step_s, now, is_surge=is_surge
            )
        for absent in self._usual.keys() - known.keys():
            usual = self._follow(self._usual[absent], 0, step_s, now)
            if usual > MIN_USUAL_SHARE and len(known) < MAX_PAIRS:
                known[absent] = usual
        self._usual = known

    def _follow(
        self,
        usual: float,
        share: float,
        step_s: float,
        now: float,
        *,
        is_surge: bool = False,
    ) -> float:
        if not usual:
            # A workspace that appears later is not at its usual share at once.
            if self._is_settled(now):
                return min(share, 1 / max(len(self._totals.work), 1))
            return share
        window_s = max(min(now - self._started_at, USUAL_WINDOW_S), LEARNING_S)
        if is_surge and self._is_settled(now):
            window_s = USUAL_WINDOW_S * SURGE_SLOWNESS
        return usual + (share - usual) * (1 - math.exp(-step_s / window_s))
