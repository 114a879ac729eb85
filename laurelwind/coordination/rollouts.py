"""Roll-outs: assigns requests to versions, and rejects or accepts versions."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Final

from attrs import define, field

from laurelwind.coordination.rejection import (
    AnswerOutcome,
    LatencyBaselines,
    should_reject,
)
from laurelwind.decisions import DecisionLog
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutState,
    RolloutStatus,
    Tally,
)
from laurelwind.state.routes import hash_fraction

ALL_ROUTES: Final = '*'
# Fractions of an order's time limit. A session may not change its version in
# the first half; then the target version serves some sessions, then all.
CANARY_FRACTION: Final = 0.51
SHIFT_FRACTION: Final = 0.66
SUCCESS_FRACTION: Final = 0.92
# Seconds of the time limit reserved for writing the final status.
SUCCESS_MARGIN_S: Final = 0.8
# Share of the requests that go to the target version during the canary phase,
# as a factor of the exposure limit that the operator sets.
CANARY_EXPOSURE_FACTOR: Final = 1.0
# Answers of the target version, summed over all daemons, that are required
# before it serves all sessions and before the roll-out succeeds.
REQUIRED_ANSWERS: Final = 8
# Age of the last read of the statuses above which a daemon does not use the
# target version, since it may have been rolled back.
MAX_STATUS_AGE_S: Final = 3.0
# Seconds after which a daemon reports new good answers, until enough answers
# are counted: all daemons must shift at the same time, however few answers each
# of them counts.
REPORT_DELAY_S: Final = 0.8
# Interval at which the first member reports the elapsed time, for daemons that
# have just started.
TIME_REPORT_PERIOD_S: Final = 2.5
# Seconds that each further member waits before it writes a status that the
# members before it have not written.
RANK_DELAY_S: Final = 0.6


@define(kw_only=True)
class _Rollout:
    """State of one roll-out order."""

    order: RolloutOrder
    ordered_at: float
    state: RolloutState | None = None
    local_tallies: dict[str, Tally] = field(factory=dict)
    peer_reports: dict[str, RolloutReport] = field(factory=dict)
    reported_tallies: dict[str, Tally] = field(factory=dict)
    old_tally: Tally = field(factory=Tally)
    is_rejected: bool = False
    reported_at: float = 0

    @property
    def elapsed_s(self) -> float:
        return read_monotonic_clock() - self.ordered_at

    @property
    def has_enough_answers(self) -> bool:
        return _merge_tallies(self)[ALL_ROUTES].answers >= REQUIRED_ANSWERS

    def is_report_due(self, rank: int) -> bool:
        local_tally = _sum_tallies(tuple(self.local_tallies.values()))
        reported_tally = _sum_tallies(tuple(self.reported_tallies.values()))
        if local_tally.bad_answers > reported_tally.bad_answers:
            return True
        since_report_s = read_monotonic_clock() - self.reported_at
        if (
            local_tally.answers > reported_tally.answers
            and not self.has_enough_answers
            and since_report_s > REPORT_DELAY_S
        ):
            return True
        return not rank and since_report_s > TIME_REPORT_PERIOD_S

    @property
    def is_settled(self) -> bool:
        return self.state in {RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK}

    @property
    def is_undecided(self) -> bool:
        return not self.is_rejected and not self.is_settled

    @property
    def is_target_in_use(self) -> bool:
        if self.is_settled:
            return False
        exposure_start_s = (
            self.order.duration_s * CANARY_FRACTION - TIME_REPORT_PERIOD_S
        )
        return self.is_rejected or self.elapsed_s > exposure_start_s


class RolloutRegistry:
    """Holds the state of every roll-out, by service.

    :param local_daemon: name of the local daemon.
    :param exposure_share: largest share of a service's requests that a bad
        version may receive.
    :param log: the decision log.
    """

    def __init__(
        self,
        *,
        local_daemon: str,
        exposure_share: float,
        log: DecisionLog,
    ) -> None:
        self._local_daemon = local_daemon
        self._canary_share = exposure_share * CANARY_EXPOSURE_FACTOR
        self._log = log
        self._rollouts: dict[str, _Rollout] = {}
        self._statuses: dict[str, RolloutStatus] = {}
        self._rejected_versions: dict[str, set[str]] = {}
        self._baselines = LatencyBaselines()
        self._statuses_read_at = read_monotonic_clock()
        self._listeners: list[Callable[[], None]] = []

    @property
    def has_unsettled(self) -> bool:
        """Whether any order has no final status yet."""
        return any(
            not rollout.is_settled for rollout in self._rollouts.values()
        )

    @property
    def is_target_in_use(self) -> bool:
        """Whether an unconfirmed target version is in use or soon will be."""
        return any(
            rollout.is_target_in_use for rollout in self._rollouts.values()
        )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for rejections of a version.

        :param listener: called as soon as a version is rejected.
        """
        self._listeners.append(listener)

    def record_read(self, age_s: float = 0) -> None:
        """Record a complete read of the statuses and reports.

        :param age_s: seconds since the records were known to be complete.
        """
        self._statuses_read_at = max(
            self._statuses_read_at, read_monotonic_clock() - age_s
        )

    def apply_order(self, order: RolloutOrder) -> None:
        """Apply an operator's order.

        :param order: the order.
        """
        rollout = self._rollouts.get(order.service)
        if rollout is not None and rollout.order == order:
            return
        self._rollouts[order.service] = _Rollout(
            order=order, ordered_at=read_monotonic_clock()
        )
        self._log.log_warning(
            'rollout_ordered', service=order.service, target=order.target
        )
        status = self._statuses.get(order.service)
        if status is not None:
            self.apply_status(order.service, status)

    def apply_status(self, service: str, status: RolloutStatus) -> None:
        """Apply a status that was written to the store.

        :param service: name of the service.
        :param status: status of its roll-out.
        """
        self._statuses[service] = status
        if status.state is RolloutState.ROLLED_BACK:
            self._rejected_versions.setdefault(service, set()).add(
                status.target
            )
        if status.state is RolloutState.SUCCEEDED:
            self._rejected_versions.get(service, set()).discard(status.target)
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.target != status.target:
            return
        if rollout.state is not status.state:
            self._log.log_warning(
                'rollout_status', service=service, state=status.state
            )
        rollout.state = status.state

    def apply_report(
        self, service: str, daemon: str, report: RolloutReport
    ) -> None:
        """Apply the counts of another daemon.

        :param service: name of the service.
        :param daemon: name of the daemon.
        :param report: counts and elapsed time of that daemon.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or daemon == self._local_daemon:
            return
        if rollout.order.target != report.target:
            return
        rollout.peer_reports[daemon] = report
        ordered_at = read_monotonic_clock() - report.elapsed_s
        rollout.ordered_at = min(rollout.ordered_at, ordered_at)
        self._evaluate(service, rollout)

    def filter_endpoints(
        self, service: str, session: str, endpoints: Sequence[EndpointRecord]
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints of the version assigned to a request.

        :param service: name of the service.
        :param session: key of the request or of its session.
        :param endpoints: the service's endpoints that accept new work.
        """
        rejected = self._rejected_versions.get(service, ())
        rollout = self._rollouts.get(service)
        if rollout is None:
            return _exclude_versions(endpoints, rejected)
        target = rollout.order.target
        old_endpoints = [
            endpoint for endpoint in endpoints if endpoint.version != target
        ]
        target_endpoints = [
            endpoint for endpoint in endpoints if endpoint.version == target
        ]
        if rollout.state is RolloutState.ROLLED_BACK:
            return _exclude_versions(old_endpoints, rejected)
        if rollout.state is RolloutState.SUCCEEDED:
            return target_endpoints or old_endpoints
        if rollout.is_rejected:
            return _exclude_versions(old_endpoints, rejected)
        share = self._compute_target_share(rollout)
        if target_endpoints and hash_fraction(session) < share:
            return target_endpoints
        return _exclude_versions(old_endpoints, rejected) or target_endpoints

    def record_outcome(
        self, endpoint: EndpointRecord, outcome: AnswerOutcome
    ) -> None:
        """Count one answer.

        :param endpoint: the endpoint that answered.
        :param outcome: outcome of the answer.
        """
        rollout = self._rollouts.get(endpoint.service)
        is_target_version = (
            rollout is not None and endpoint.version == rollout.order.target
        )
        if not is_target_version:
            self._baselines.record(endpoint.service, outcome)
        if rollout is None or not rollout.is_undecided:
            return
        is_slow = self._baselines.is_slow(endpoint.service, outcome)
        tally = Tally(
            answers=1,
            failures=int(outcome.failed),
            slow=int(is_slow and not outcome.failed),
        )
        if not is_target_version:
            rollout.old_tally = rollout.old_tally.add(tally)
            return
        previous_tally = rollout.local_tallies.get(outcome.route, Tally())
        rollout.local_tallies[outcome.route] = previous_tally.add(tally)
        if tally.bad_answers:
            self._evaluate(endpoint.service, rollout)

    def collect_due_reports(
        self, rank: int
    ) -> Iterator[tuple[str, RolloutReport]]:
        """Return the reports that are due, and mark them as sent.

        :param rank: index of the local daemon among the members.
        """
        for service, rollout in self._rollouts.items():
            if not rollout.is_settled and rollout.is_report_due(rank):
                rollout.reported_tallies = dict(rollout.local_tallies)
                rollout.reported_at = read_monotonic_clock()
                yield (
                    service,
                    RolloutReport(
                        target=rollout.order.target,
                        elapsed_s=rollout.elapsed_s,
                        tallies=dict(rollout.local_tallies),
                    ),
                )

    def list_due_statuses(
        self, rank: int
    ) -> Iterator[tuple[str, RolloutStatus]]:
        """Return the statuses that the local daemon should write now.

        :param rank: index of the local daemon among the members; higher ones
            wait longer.
        """
        for service, rollout in self._rollouts.items():
            due_state = self._find_due_state(rollout, rank * RANK_DELAY_S)
            if due_state is not None and due_state is not rollout.state:
                yield (
                    service,
                    RolloutStatus(target=rollout.order.target, state=due_state),
                )

    def _find_due_state(
        self, rollout: _Rollout, rank_delay_s: float
    ) -> RolloutState | None:
        if rollout.is_settled:
            return None
        if rollout.is_rejected:
            return RolloutState.ROLLED_BACK
        elapsed_s = rollout.elapsed_s - rank_delay_s
        duration_s = rollout.order.duration_s
        success_due_s = min(
            duration_s * SUCCESS_FRACTION, duration_s - SUCCESS_MARGIN_S
        )
        if elapsed_s > success_due_s and rollout.has_enough_answers:
            return RolloutState.SUCCEEDED
        return RolloutState.ACTIVE if elapsed_s > 0 else None

    def _compute_target_share(self, rollout: _Rollout) -> float:
        elapsed_fraction = rollout.elapsed_s / rollout.order.duration_s
        if (
            elapsed_fraction < CANARY_FRACTION
            or read_monotonic_clock() - self._statuses_read_at
            > MAX_STATUS_AGE_S
        ):
            return 0
        if elapsed_fraction < SHIFT_FRACTION or not rollout.has_enough_answers:
            return self._canary_share
        return 1

    def _evaluate(self, service: str, rollout: _Rollout) -> None:
        if not rollout.is_undecided:
            return
        for route, tally in _merge_tallies(rollout).items():
            if should_reject(tally, rollout.old_tally):
                rollout.is_rejected = True
                self._rejected_versions.setdefault(service, set()).add(
                    rollout.order.target
                )
                self._log.log_warning(
                    'version_rejected',
                    service=service,
                    target=rollout.order.target,
                    route=route,
                    answers=tally.answers,
                    failures=tally.failures,
                    slow=tally.slow,
                    elapsed_s=round(rollout.elapsed_s, 2),
                )
                for listener in self._listeners:
                    listener()
                return


def _merge_tallies(rollout: _Rollout) -> Mapping[str, Tally]:
    merged: dict[str, Tally] = {}
    sources = (
        rollout.local_tallies,
        *(report.tallies for report in rollout.peer_reports.values()),
    )
    for tallies in sources:
        for route, tally in tallies.items():
            merged[route] = merged.get(route, Tally()).add(tally)
    merged[ALL_ROUTES] = _sum_tallies(tuple(merged.values()))
    return merged


def _sum_tallies(tallies: Sequence[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total = total.add(tally)
    return total


def _exclude_versions(
    endpoints: Sequence[EndpointRecord],
    rejected_versions: Sequence[str] | set[str],
) -> Sequence[EndpointRecord]:
    if not rejected_versions:
        return endpoints
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.version not in rejected_versions
    ]
