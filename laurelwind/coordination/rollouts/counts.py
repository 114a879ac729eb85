"""Counts of the answers in a roll-out, pooled over the daemons."""

from collections.abc import Callable, Mapping
from typing import Final

from attrs import asdict, define, field

from laurelwind.state.rollouts import RolloutOrder, RolloutReport, Tally

ALL_ROUTES: Final = '*'


@define(kw_only=True)
class RolloutCounts:
    """Answers of both versions, as known to one daemon.

    All moments are on the clock that is passed in.

    :ivar order: the operator's order.
    :ivar clock: returns the current time in seconds.
    :ivar ordered_at: moment of the order.
    :ivar old_tally: this daemon's answers of the version in use.
    """

    order: RolloutOrder
    clock: Callable[[], float]
    ordered_at: float
    old_tally: Tally = field(factory=Tally)
    _local_tallies: dict[str, Tally] = field(factory=dict)
    _peer_reports: dict[str, RolloutReport] = field(factory=dict)
    # Sums over all daemons, updated with each answer and report.
    _pooled_tallies: dict[str, Tally] = field(factory=dict)
    _pooled_old_tally: Tally = field(factory=Tally)

    def record_answer(self, route: str, tally: Tally) -> None:
        """Count an answer of the target version.

        :param route: name of the route.
        :param tally: the answer.
        """
        self._local_tallies[route] = self._local_tallies.get(
            route, Tally()
        ).add(tally)
        self._pool_tallies({route: tally})

    def record_old_answer(self, tally: Tally) -> None:
        """Count an answer of the version in use.

        :param tally: the answer.
        """
        self.old_tally = self.old_tally.add(tally)
        self._pooled_old_tally = self._pooled_old_tally.add(tally)

    def apply_report(self, daemon: str, report: RolloutReport) -> None:
        """Replace the counts of another daemon.

        :param daemon: name of that daemon.
        :param report: its counts and elapsed time.
        """
        previous = self._peer_reports.get(
            daemon, RolloutReport(target=report.target)
        )
        self._peer_reports[daemon] = report
        self._pool_tallies(
            {
                route: report.tallies.get(route, Tally()).subtract(
                    previous.tallies.get(route, Tally())
                )
                for route in report.tallies.keys() | previous.tallies.keys()
            }
        )
        self._pooled_old_tally = self._pooled_old_tally.add(
            report.old_tally
        ).subtract(previous.old_tally)
        self.ordered_at = min(self.ordered_at, self.clock() - report.elapsed_s)

    def describe_evidence(self) -> dict[str, Mapping[str, int]]:
        """Return the pooled counts of both versions, for logs."""
        tally = self._pooled_tallies.get(ALL_ROUTES, Tally())
        return {'counts': asdict(tally), 'old': asdict(self._pooled_old_tally)}

    def _pool_tallies(self, changes: Mapping[str, Tally]) -> None:
        for route, change in changes.items():
            for name in (route, ALL_ROUTES):
                self._pooled_tallies[name] = self._pooled_tallies.get(
                    name, Tally()
                ).add(change)
