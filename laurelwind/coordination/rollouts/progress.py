"""Progress of one roll-out: its phases, and the counts of its answers."""

from collections.abc import Mapping
from typing import Final

from attrs import Factory, define, field

from laurelwind.coordination.rollouts.concentration import TrialLoad
from laurelwind.coordination.rollouts.counts import (
    ALL_ROUTES,
    RolloutCounts,
)
from laurelwind.coordination.rollouts.evidence import (
    should_accept,
    should_reject,
    should_withdraw,
)
from laurelwind.coordination.rollouts.phases import (
    CANARY_FRACTION,
    MAX_STATUS_AGE_S,
    SHIFT_FRACTION,
    SHIFT_NOTICE_S,
    WATCH_S,
    compute_moved_share,
    compute_success_s,
)
from laurelwind.state.rollouts import (
    RolloutReport,
    RolloutShift,
    RolloutState,
    Tally,
)

# Seconds after which a daemon reports new good answers, until the pooled
# answers suffice, however few each daemon counts.
REPORT_DELAY_S: Final = 0.8
# Interval at which the first member reports the elapsed time, for daemons that
# have just started.
TIME_REPORT_PERIOD_S: Final = 2.5


@define(kw_only=True)
class RolloutProgress(RolloutCounts):
    """State of one order, as known to one daemon.

    All moments are on the clock that is passed in.

    :ivar state: the last status that was written, or ``None``.
    :ivar shift_at_s: seconds since the order at which more sessions move to the
        target version, or ``None`` before that is decided.
    :ivar succeeded_at: moment at which this daemon learnt of the success.
    :ivar has_old_endpoints: whether endpoints of the old version were known as
        a request was last placed after the success.
    :ivar is_rejected: whether this daemon rejected the target version, or
        withdrew it after its success.
    :ivar rejected_at: moment of the rejection.
    :ivar trial_load: load of the endpoints that serve the trial.
    """

    state: RolloutState | None = None
    shift_at_s: float | None = None
    has_old_endpoints: bool = False
    is_rejected: bool = False
    trial_load: TrialLoad = field(
        default=Factory(lambda rollout: TrialLoad(clock=rollout.clock), True)
    )
    rejected_at: float = 0
    succeeded_at: float = 0
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
        is_open = not self.is_settled or self.is_watched
        return is_open and not self.is_rejected

    @property
    def is_watched(self) -> bool:
        """Whether the version succeeded and its sessions can still return."""
        return (
            self.state is RolloutState.SUCCEEDED
            and self.has_old_endpoints
            and self.clock() - self.succeeded_at < WATCH_S
        )

    @property
    def is_target_in_use(self) -> bool:
        """Whether the unconfirmed target version serves, or soon will."""
        if self.is_settled:
            return self.is_watched
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

    def apply_state(self, state: RolloutState) -> None:
        """Apply a status that was written.

        :param state: the status.
        """
        if state is RolloutState.SUCCEEDED and state is not self.state:
            self.succeeded_at = self.clock()
            # Others know more answers than led to a rejection here.
            self.is_rejected = False
        self.state = state

    def apply_shift(self, shift: RolloutShift) -> None:
        """Apply the decision to shift.

        :param shift: the decision.
        """
        self.shift_at_s = shift.shift_at_s

    def find_rejected_route(self) -> tuple[str, Tally] | None:
        """Return the route whose answers reject the version, and its counts."""
        is_bad = should_withdraw if self.is_settled else should_reject
        for route, tally in self._pooled_tallies.items():
            if is_bad(tally, self._pooled_old_tally):
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
        return self.get_session_share(canary_share)

    def get_session_share(self, canary_share: float) -> float:
        """Return the share of the sessions that moved by now.

        A daemon that learns of the success without the order's age, as after a
        restart, moves the others after the time that is usually left then.

        :param canary_share: the share before the shift.
        """
        duration_s = self.order.duration_s
        if self.is_rejected:
            return 0
        if self.state is RolloutState.SUCCEEDED:
            since_s = self.clock() - self.succeeded_at
            left_s = duration_s - compute_success_s(duration_s)
            if self.shift_at_s is None or since_s >= left_s:
                return 1
        return compute_moved_share(
            canary_share, self.elapsed_s, self.shift_at_s, duration_s
        )

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
        success_due_s = compute_success_s(self.order.duration_s)
        if elapsed_s > success_due_s and self.is_accepted:
            return RolloutState.SUCCEEDED
        return RolloutState.ACTIVE if elapsed_s > 0 else None

    def find_due_shift(self, delay_s: float) -> RolloutShift | None:
        """Return the decision to shift, if it is due and not yet made.

        :param delay_s: seconds for which other daemons write it first.
        """
        if self.is_settled or self.is_rejected or self.shift_at_s is not None:
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
        if self.is_settled and not self.is_watched:
            return False
        if local_tally.bad_answers != self._reported_tally.bad_answers:
            return True
        if self.old_tally.failures < self._reported_old_failures:
            # Answers that crashing requests broke count no more.
            return True
        if self.is_settled:
            return False
        since_report_s = self.clock() - self._reported_at
        if (
            local_tally.has_more(self._reported_tally)
            and since_report_s > REPORT_DELAY_S
            and not self.is_accepted
        ):
            return True
        return is_first_member and since_report_s > TIME_REPORT_PERIOD_S


def _sum_tallies(tallies: Mapping[str, Tally]) -> Tally:
    total = Tally()
    for tally in tallies.values():
        total = total.add(tally)
    return total
