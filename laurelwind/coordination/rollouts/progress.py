"""Progress of one roll-out: its phases, and the counts of its answers."""

from collections.abc import Callable, Mapping
from typing import Final

from attrs import asdict, define, field

from laurelwind.coordination.rollouts.evidence import (
    should_accept,
    should_reject,
)
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutShift,
    RolloutState,
    Tally,
)

ALL_ROUTES: Final = '*'
# Fractions of an order's time limit. A session may not change its version in
# the first half; then the target version serves some sessions, then all.
CANARY_FRACTION: Final = 0.51
SHIFT_FRACTION: Final = 0.66
SUCCESS_FRACTION: Final = 0.92
# Seconds of the time limit reserved for writing the final status.
SUCCESS_MARGIN_S: Final = 0.8
# Age of the last read of the statuses above which a daemon does not use the
# target version, since it may have been rolled back.
MAX_STATUS_AGE_S: Final = 3.0
# Seconds between the decision to shift and the shift. A daemon that has not
# read the decision by then does not use the target version at all.
SHIFT_NOTICE_S: Final = MAX_STATUS_AGE_S
# Seconds after which a daemon reports new good answers, until the pooled
# answers suffice, however few each daemon counts.
REPORT_DELAY_S: Final = 0.8
# Interval at which the first member reports the elapsed time, for daemons that
# have just started.
TIME_REPORT_PERIOD_S: Final = 2.5


@define(kw_only=True)
class RolloutProgress:
    """State of one order, as known to one daemon.

    All moments are on the clock that is passed in.

    :ivar order: the operator's order.
    :ivar clock: returns the current time in seconds.
    :ivar ordered_at: moment of the order.
    :ivar state: the last status that was written, or ``None``.
    :ivar shift_at_s: seconds since the order at which all sessions move to the
        target version, or ``None`` before that is decided.
    :ivar is_rejected: whether this daemon rejected the target version.
    :ivar rejected_at: moment of the rejection.
    :ivar old_tally: this daemon's answers of the version in use.
    """

    order: RolloutOrder
    clock: Callable[[], float]
    ordered_at: float
    state: RolloutState | None = None
    shift_at_s: float | None = None
    is_rejected: bool = False
    rejected_at: float = 0
    old_tally: Tally = field(factory=Tally)
    _local_tallies: dict[str, Tally] = field(factory=dict)
    _peer_reports: dict[str, RolloutReport] = field(factory=dict)
    # Sums over all daemons, updated with each answer and report.
    _pooled_tallies: dict[str, Tally] = field(factory=dict)
    _pooled_old_tally: Tally = field(factory=Tally)
    _reported_tally: Tally = field(factory=Tally)
    _reported_old_failures: int = 0
    _reported_at: float = 0

    @property
    def elapsed_s(self) -> float:
        """Seconds since the order."""
        return self.clock() - self.ordered_at

    @property
    def elapsed_fraction(self) -> float:
        """Share of the order's time limit that has passed."""
        return self.elapsed_s / self.order.duration_s

    @property
    def is_settled(self) -> bool:
        """Whether a final status was written."""
        return self.state in {RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK}

    @property
    def is_undecided(self) -> bool:
        """Whether answers still count for or against the target version."""
        return not self.is_rejected and not self.is_settled

    @property
    def is_target_in_use(self) -> bool:
        """Whether the unconfirmed target version serves, or soon will."""
        if self.is_settled:
            return False
        exposure_start_s = (
            self.order.duration_s * CANARY_FRACTION - TIME_REPORT_PERIOD_S
        )
        return self.is_rejected or self.elapsed_s > exposure_start_s

    @property
    def is_accepted(self) -> bool:
        """Whether the pooled answers suffice to accept the target version."""
        return should_accept(
            self._pooled_tallies.get(ALL_ROUTES, Tally()),
            self._pooled_old_tally,
        )

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

    def apply_shift(self, shift: RolloutShift) -> None:
        """Apply the decision to shift.

        :param shift: the decision.
        """
        self.shift_at_s = shift.shift_at_s

    def describe_evidence(self) -> dict[str, Mapping[str, int]]:
        """Return the pooled counts of both versions, for logs."""
        tally = self._pooled_tallies.get(ALL_ROUTES, Tally())
        return {'counts': asdict(tally), 'old': asdict(self._pooled_old_tally)}

    def find_rejected_route(self) -> tuple[str, Tally] | None:
        """Return the route whose answers reject the version, and its counts."""
        for route, tally in self._pooled_tallies.items():
            if should_reject(tally, self._pooled_old_tally):
                return route, tally
        return None

    def reject(self) -> None:
        """Reject the target version."""
        self.is_rejected = True
        self.rejected_at = self.clock()

    def compute_target_share(
        self, canary_share: float, status_age_s: float
    ) -> float:
        """Return the share of the sessions that use the target version.

        :param canary_share: the share before the shift.
        :param status_age_s: age of the last read of the statuses in seconds.
        """
        is_too_early = self.elapsed_fraction < CANARY_FRACTION
        if is_too_early or status_age_s > MAX_STATUS_AGE_S:
            return 0
        has_shifted = (
            self.shift_at_s is not None and self.elapsed_s >= self.shift_at_s
        )
        return 1 if has_shifted else canary_share

    def find_due_state(self, delay_s: float) -> RolloutState | None:
        """Return the status that is due, whether or not it is written.

        :param delay_s: seconds for which other daemons write it first.
        """
        if self.is_settled:
            return None
        if self.is_rejected:
            is_due = self.clock() - self.rejected_at >= delay_s
            return RolloutState.ROLLED_BACK if is_due else None
        elapsed_s = self.elapsed_s - delay_s
        duration_s = self.order.duration_s
        success_due_s = min(
            duration_s * SUCCESS_FRACTION, duration_s - SUCCESS_MARGIN_S
        )
        if elapsed_s > success_due_s and self.is_accepted:
            return RolloutState.SUCCEEDED
        return RolloutState.ACTIVE if elapsed_s > 0 else None

    def find_due_shift(self, delay_s: float) -> RolloutShift | None:
        """Return the decision to shift, if it is due and not yet made.

        :param delay_s: seconds for which other daemons write it first.
        """
        if not self.is_undecided or self.shift_at_s is not None:
            return None
        earliest_s = self.order.duration_s * SHIFT_FRACTION
        elapsed_s = self.elapsed_s
        if elapsed_s - delay_s < earliest_s - SHIFT_NOTICE_S:
            return None
        if not self.is_accepted:
            return None
        return RolloutShift(
            target=self.order.target,
            shift_at_s=max(earliest_s, elapsed_s + SHIFT_NOTICE_S),
        )

    def take_due_report(self, *, is_first_member: bool) -> RolloutReport | None:
        """Return the report that is due, and mark it as sent.

        :param is_first_member: whether the daemon also reports the elapsed
            time periodically.
        """
        local_tally = _sum_tallies(self._local_tallies)
        if not self._is_report_due(local_tally, is_first_member):
            return None
        self._reported_tally = local_tally
        self._reported_old_failures = self.old_tally.failures
        self._reported_at = self.clock()
        return RolloutReport(
            target=self.order.target,
            elapsed_s=self.elapsed_s,
            tallies=dict(self._local_tallies),
            old_tally=self.old_tally,
        )

    def _is_report_due(self, local_tally: Tally, is_first_member: bool) -> bool:
        if self.is_settled:
            return False
        if local_tally.bad_answers != self._reported_tally.bad_answers:
            return True
        if self.old_tally.failures < self._reported_old_failures:
            # Answers that crashing requests broke count no more.
            return True
        since_report_s = self.clock() - self._reported_at
        if (
            local_tally.has_more(self._reported_tally)
            and since_report_s > REPORT_DELAY_S
            and not self.is_accepted
        ):
            return True
        return is_first_member and since_report_s > TIME_REPORT_PERIOD_S

    def _pool_tallies(self, changes: Mapping[str, Tally]) -> None:
        for route, change in changes.items():
            for name in (route, ALL_ROUTES):
                self._pooled_tallies[name] = self._pooled_tallies.get(
                    name, Tally()
                ).add(change)


def _sum_tallies(tallies: Mapping[str, Tally]) -> Tally:
    total = Tally()
    for tally in tallies.values():
        total = total.add(tally)
    return total
