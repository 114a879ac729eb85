"""Roll-outs of all services: assigns requests to versions."""

from collections.abc import Callable, Iterator, Sequence, Set
from typing import Final

from laurelwind.coordination.rollouts.answer_records import AnswerRecorder
from laurelwind.coordination.rollouts.lost_decisions import LostDecisions
from laurelwind.coordination.rollouts.progress import RolloutProgress
from laurelwind.coordination.rollouts.ranks import compute_rank_delay
from laurelwind.coordination.rollouts.versions import (
    exclude_versions,
    split_versions,
)
from laurelwind.decisions import DecisionLog
from laurelwind.state.departed_names import DepartedNames
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutShift,
    RolloutState,
    RolloutStatus,
)
from laurelwind.state.routes import hash_fraction

# Share of the requests that go to the target version during the canary phase,
# as a factor of the exposure limit that the operator sets.
CANARY_EXPOSURE_FACTOR: Final = 1.0
# Services that left whose roll-outs are remembered; the newest ones count.
MAX_RETIRED: Final = 64


class RolloutRegistry(AnswerRecorder):
    """Holds the state of every roll-out, by service.

    :param local_daemon: name of the local daemon.
    :param exposure_share: largest share of a service's requests that a bad
        version may receive.
    :param log: the decision log.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        local_daemon: str,
        exposure_share: float,
        log: DecisionLog,
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        super().__init__(log=log, clock=clock)
        self._local_daemon = local_daemon
        self._canary_share = exposure_share * CANARY_EXPOSURE_FACTOR
        self._statuses: dict[str, RolloutStatus] = {}
        self._shifts: dict[str, RolloutShift] = {}
        self._statuses_read_at = self._clock()
        self._retired = DepartedNames(limit=MAX_RETIRED)
        self._lost = LostDecisions(rollouts=self._rollouts, clock=clock)

    @property
    def has_unsettled(self) -> bool:
        """Whether any order has no final status yet, or a lost one."""
        if self._lost:
            return True
        return any(
            not rollout.is_settled for rollout in self._rollouts.values()
        )

    @property
    def is_target_in_use(self) -> bool:
        """Whether an unconfirmed target version is in use or soon will be."""
        return any(
            rollout.is_target_in_use for rollout in self._rollouts.values()
        )

    def is_rolling_out(self, service: str) -> bool:
        """Return whether a service has a roll-out that is not settled.

        :param service: name of the service.
        """
        rollout = self._rollouts.get(service)
        return rollout is not None and not rollout.is_settled

    def record_read(self, age_s: float = 0) -> None:
        """Record a complete read of the statuses and reports.

        :param age_s: seconds since the records were known to be complete.
        """
        self._statuses_read_at = max(
            self._statuses_read_at, self._clock() - age_s
        )

    def handle_restore(self) -> None:
        """Write known decisions again, as a restored store may lack them."""
        self._lost.handle_restore()

    def retire_services(self, left: Set[str], remaining: Set[str]) -> None:
        """Forget the roll-outs of services that left long before others.

        A service may return, and then a rejected version must stay rejected.

        :param left: names of the services that left.
        :param remaining: names of the services that are there.
        """
        for name in remaining:
            self._retired.discard(name)
        for name in left:
            for forgotten in self._retired.add(name):
                self._forget(forgotten)

    def apply_order(self, order: RolloutOrder) -> None:
        """Apply an operator's order.

        :param order: the order.
        """
        rollout = self._rollouts.get(order.service)
        if rollout is not None and rollout.order == order:
            return
        self._broken_answers.discard(order.service)
        self._rollouts[order.service] = RolloutProgress(
            order=order, clock=self._clock, ordered_at=self._clock()
        )
        self._log.log_warning(
            'rollout_ordered', service=order.service, target=order.target
        )
        status = self._statuses.get(order.service)
        if status is not None:
            self.apply_status(order.service, status)
        shift = self._shifts.get(order.service)
        if shift is not None:
            self.apply_shift(order.service, shift)

    def apply_status(self, service: str, status: RolloutStatus) -> None:
        """Apply a status that was written to the store.

        :param service: name of the service.
        :param status: status of its roll-out.
        """
        if self._is_outdated(service, status):
            return
        self._statuses[service] = status
        if status.state is RolloutState.ROLLED_BACK:
            self._remember_rejected(service, status.target)
        if status.state is RolloutState.SUCCEEDED:
            self._rejected_versions.get(service, {}).pop(status.target, None)
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.target != status.target:
            return
        if rollout.state is not status.state:
            self._log.log_warning(
                'rollout_status',
                service=service,
                state=status.state,
                **rollout.describe_evidence(),
            )
        rollout.state = status.state
        self._lost.discard_status(service)

    def apply_shift(self, service: str, shift: RolloutShift) -> None:
        """Apply the decision to shift that was written to the store.

        :param service: name of the service.
        :param shift: the decision.
        """
        self._shifts[service] = shift
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order.target != shift.target:
            return
        if rollout.shift_at_s != shift.shift_at_s:
            self._log.log_warning(
                'rollout_shift',
                service=service,
                target=shift.target,
                in_s=round(shift.shift_at_s - rollout.elapsed_s, 2),
            )
        rollout.apply_shift(shift)
        self._lost.discard_shift(service)

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
        rollout.apply_report(daemon, report)
        self._evaluate(service, rollout)

    def filter_endpoints(
        self,
        service: str,
        session: str,
        endpoints: Sequence[EndpointRecord],
        *,
        allows_target: bool = True,
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints of the version assigned to a request.

        :param service: name of the service.
        :param session: key of the request or of its session.
        :param endpoints: the service's endpoints that accept new work.
        :param allows_target: whether the request may use a target version that
            is not accepted yet.
        """
        rejected = self._rejected_versions.get(service, ())
        rollout = self._rollouts.get(service)
        if rollout is None:
            return exclude_versions(endpoints, rejected)
        target = rollout.order.target
        old_endpoints, target_endpoints = split_versions(endpoints, target)
        if rollout.state is RolloutState.ROLLED_BACK:
            return exclude_versions(old_endpoints, rejected)
        if rollout.state is RolloutState.SUCCEEDED:
            return target_endpoints or old_endpoints
        if rollout.is_rejected or not allows_target:
            return exclude_versions(old_endpoints, rejected)
        share = rollout.compute_target_share(
            self._canary_share, self._clock() - self._statuses_read_at
        )
        if target_endpoints and hash_fraction(session) < share:
            return target_endpoints
        return exclude_versions(old_endpoints, rejected) or target_endpoints

    def collect_due_reports(
        self, rank: int
    ) -> Iterator[tuple[str, RolloutReport]]:
        """Return the reports that are due, and mark them as sent.

        :param rank: index of the local daemon among the members.
        """
        self.review_broken_answers()
        for service, rollout in self._rollouts.items():
            report = rollout.take_due_report(is_first_member=rank == 0)
            if report is not None:
                yield service, report

    def list_due_statuses(
        self, rank: int
    ) -> Iterator[tuple[str, RolloutStatus]]:
        """Return the statuses that the local daemon should write now.

        :param rank: index of the local daemon among the members; higher ones
            wait longer.
        """
        delay_s = compute_rank_delay(rank)
        yield from self._lost.iterate_statuses(delay_s)
        for service, rollout in self._rollouts.items():
            due_state = rollout.find_due_state(delay_s)
            if due_state is not None and due_state is not rollout.state:
                yield (
                    service,
                    RolloutStatus(target=rollout.order.target, state=due_state),
                )

    def list_due_shifts(self, rank: int) -> Iterator[tuple[str, RolloutShift]]:
        """Return the decisions to shift that the local daemon should write now.

        :param rank: index of the local daemon among the members; higher ones
            wait longer.
        """
        delay_s = compute_rank_delay(rank)
        yield from self._lost.iterate_shifts(delay_s)
        for service, rollout in self._rollouts.items():
            shift = rollout.find_due_shift(delay_s)
            if shift is not None:
                yield service, shift

    def _forget(self, service: str) -> None:
        self._rollouts.pop(service, None)
        self._statuses.pop(service, None)
        self._shifts.pop(service, None)
        self._rejected_versions.pop(service, None)
        self._lost.discard_status(service)
        self._lost.discard_shift(service)

    def _is_outdated(self, service: str, status: RolloutStatus) -> bool:
        """Return whether a status is from before the known final one."""
        known = self._statuses.get(service)
        return (
            known is not None
            and known.target == status.target
            and known.state is not RolloutState.ACTIVE
            and status.state is RolloutState.ACTIVE
        )
