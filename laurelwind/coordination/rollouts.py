"""Roll-outs: which version a request gets, and what becomes of a version."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Final

from attrs import define, field

from laurelwind.coordination.verdicts import Baselines, Outcome, is_bad
from laurelwind.decisions import DecisionLog
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_clock
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutState,
    RolloutStatus,
    Tally,
)
from laurelwind.state.routes import hash_fraction

ALL_ROUTES: Final = '*'
# Parts of an order's time limit.  A session may not change its version in the
# first half; a version is tried on some sessions, then used by all.
CANARY_AT: Final = 0.51
SHIFT_AT: Final = 0.66
SUCCEED_AT: Final = 0.92
# Seconds of the time limit that are kept for the last status to be written.
SUCCEED_MARGIN_S: Final = 0.8
# Part of the requests that a version gets while it is tried, beside the part
# of all requests that the operator bounds exposure by.
CANARY_OF_BOUND: Final = 1.0
# Answers that a version must have given, all daemons together, before it is
# used by all, and before it is told that it has succeeded.
TRIED_ANSWERS: Final = 8
# A daemon that has not read the statuses for this long knows too little to
# use a version that may have been rolled back.
STALE_S: Final = 3.0
# Seconds after which a daemon tells the others its good answers, until the
# version is tried: all daemons must come to use it at the same time, however
# few answers each of them sees.
TOLD_S: Final = 0.8
# Seconds after which the first member tells the others the time again, for
# those that have just started.
REMIND_S: Final = 2.5
# Seconds that each further member waits before it writes in place of the
# members before it.
TURN_S: Final = 0.6


@define(kw_only=True)
class _Rollout:
    """One order and all that is known of it."""

    order: RolloutOrder
    seen_at: float
    state: RolloutState | None = None
    own: dict[str, Tally] = field(factory=dict)
    reports: dict[str, RolloutReport] = field(factory=dict)
    reported: dict[str, Tally] = field(factory=dict)
    old_tally: Tally = field(factory=Tally)
    is_rejected: bool = False
    told_at: float = 0

    @property
    def elapsed_s(self) -> float:
        return read_clock() - self.seen_at

    @property
    def is_tried(self) -> bool:
        return _pool(self)[ALL_ROUTES].answers >= TRIED_ANSWERS

    def has_news(self, rank: int) -> bool:
        own = _sum(tuple(self.own.values()))
        told = _sum(tuple(self.reported.values()))
        if own.bad > told.bad:
            return True
        silent_s = read_clock() - self.told_at
        if (
            own.answers > told.answers
            and not self.is_tried
            and silent_s > TOLD_S
        ):
            return True
        return not rank and silent_s > REMIND_S

    @property
    def is_settled(self) -> bool:
        return self.state in {RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK}

    @property
    def is_open(self) -> bool:
        return not self.is_rejected and not self.is_settled

    @property
    def is_trying(self) -> bool:
        if self.is_settled:
            return False
        begins_at = self.order.duration_s * CANARY_AT - REMIND_S
        return self.is_rejected or self.elapsed_s > begins_at


class RolloutBook:
    """Every roll-out, by service.

    :param daemon: name of this daemon.
    :param exposure_share: part of a service's requests that a bad version
        may get at most.
    :param log: where decisions are written.
    """

    def __init__(
        self,
        *,
        daemon: str,
        exposure_share: float,
        log: DecisionLog,
    ) -> None:
        self._daemon = daemon
        self._canary_share = exposure_share * CANARY_OF_BOUND
        self._log = log
        self._rollouts: dict[str, _Rollout] = {}
        self._statuses: dict[str, RolloutStatus] = {}
        self._rejected: dict[str, set[str]] = {}
        self._baselines = Baselines()
        self._read_at = read_clock()
        self._listeners: list[Callable[[], None]] = []

    @property
    def has_unsettled(self) -> bool:
        """Whether an order has no final status yet."""
        return any(not one.is_settled for one in self._rollouts.values())

    @property
    def is_trying(self) -> bool:
        """Whether a version is used, or about to be, that may be bad."""
        return any(one.is_trying for one in self._rollouts.values())

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call something as soon as a version is rejected.

        :param listener: what to call.
        """
        self._listeners.append(listener)

    def note_read(self, age_s: float = 0) -> None:
        """Note that every status and report that there is has been read."""
        self._read_at = max(self._read_at, read_clock() - age_s)

    def take_order(self, order: RolloutOrder) -> None:
        """Take in an operator's order.

        :param order: the order.
        """
        known = self._rollouts.get(order.service)
        if known is not None and known.order == order:
            return
        self._rollouts[order.service] = _Rollout(
            order=order, seen_at=read_clock()
        )
        self._log.warning(
            'rollout_ordered', service=order.service, target=order.target
        )
        status = self._statuses.get(order.service)
        if status is not None:
            self.take_status(order.service, status)

    def take_status(self, service: str, status: RolloutStatus) -> None:
        """Take in a status that is in force.

        :param service: name of the service.
        :param status: its status.
        """
        self._statuses[service] = status
        if status.state is RolloutState.ROLLED_BACK:
            self._rejected.setdefault(service, set()).add(status.target)
        if status.state is RolloutState.SUCCEEDED:
            self._rejected.get(service, set()).discard(status.target)
        found = self._rollouts.get(service)
        if found is None or found.order.target != status.target:
            return
        if found.state is not status.state:
            self._log.warning(
                'rollout_status', service=service, state=status.state
            )
        found.state = status.state

    def take_report(
        self, service: str, daemon: str, report: RolloutReport
    ) -> None:
        """Take in what another daemon counted.

        :param service: name of the service.
        :param daemon: name of the daemon.
        :param report: its counts.
        """
        found = self._rollouts.get(service)
        if found is None or daemon == self._daemon:
            return
        if found.order.target != report.target:
            return
        found.reports[daemon] = report
        started_at = read_clock() - report.elapsed_s
        found.seen_at = min(found.seen_at, started_at)
        self._judge(service, found)

    def filter_endpoints(
        self, service: str, session: str, endpoints: Sequence[EndpointRecord]
    ) -> Sequence[EndpointRecord]:
        """Keep the endpoints of the version that a request is to get.

        :param service: name of the service.
        :param session: names the request, or what it belongs to.
        :param endpoints: the service's endpoints that take new work.
        """
        rejected = self._rejected.get(service, ())
        found = self._rollouts.get(service)
        if found is None:
            return _without(endpoints, rejected)
        target = found.order.target
        old = [one for one in endpoints if one.version != target]
        new = [one for one in endpoints if one.version == target]
        if found.state is RolloutState.ROLLED_BACK:
            return _without(old, rejected)
        if found.state is RolloutState.SUCCEEDED:
            return new or old
        if found.is_rejected:
            return _without(old, rejected)
        share = self._find_share(found)
        if new and hash_fraction(session) < share:
            return new
        return _without(old, rejected) or new

    def note_outcome(self, endpoint: EndpointRecord, outcome: Outcome) -> None:
        """Count one answer.

        :param endpoint: the endpoint that gave it.
        :param outcome: what it says.
        """
        found = self._rollouts.get(endpoint.service)
        is_new = found is not None and endpoint.version == found.order.target
        if not is_new:
            self._baselines.note(endpoint.service, outcome)
        if found is None or not found.is_open:
            return
        is_slow = self._baselines.is_slow(endpoint.service, outcome)
        tally = Tally(
            answers=1,
            failures=int(outcome.failed),
            slow=int(is_slow and not outcome.failed),
        )
        if not is_new:
            found.old_tally = found.old_tally.add(tally)
            return
        before = found.own.get(outcome.route, Tally())
        found.own[outcome.route] = before.add(tally)
        if tally.bad:
            self._judge(endpoint.service, found)

    def list_reports(self, rank: int) -> Iterator[tuple[str, RolloutReport]]:
        """List what the other daemons should be told now.

        :param rank: this daemon's place among the members.
        """
        for service, found in self._rollouts.items():
            if not found.is_settled and found.has_news(rank):
                found.reported = dict(found.own)
                found.told_at = read_clock()
                yield (
                    service,
                    RolloutReport(
                        target=found.order.target,
                        elapsed_s=found.elapsed_s,
                        tallies=dict(found.own),
                    ),
                )

    def list_statuses(self, rank: int) -> Iterator[tuple[str, RolloutStatus]]:
        """List what this daemon should write now.

        :param rank: its place among the members; later ones wait longer.
        """
        for service, found in self._rollouts.items():
            wanted = self._find_wanted(found, rank * TURN_S)
            if wanted is not None and wanted is not found.state:
                yield (
                    service,
                    RolloutStatus(target=found.order.target, state=wanted),
                )

    def _find_wanted(
        self, found: _Rollout, turn_s: float
    ) -> RolloutState | None:
        if found.is_settled:
            return None
        if found.is_rejected:
            return RolloutState.ROLLED_BACK
        elapsed = found.elapsed_s - turn_s
        duration = found.order.duration_s
        due = min(duration * SUCCEED_AT, duration - SUCCEED_MARGIN_S)
        if elapsed > due and found.is_tried:
            return RolloutState.SUCCEEDED
        return RolloutState.ACTIVE if elapsed > 0 else None

    def _find_share(self, found: _Rollout) -> float:
        part = found.elapsed_s / found.order.duration_s
        if part < CANARY_AT or read_clock() - self._read_at > STALE_S:
            return 0
        if part < SHIFT_AT or not found.is_tried:
            return self._canary_share
        return 1

    def _judge(self, service: str, found: _Rollout) -> None:
        if not found.is_open:
            return
        for route, tally in _pool(found).items():
            if is_bad(tally, found.old_tally):
                found.is_rejected = True
                self._rejected.setdefault(service, set()).add(
                    found.order.target
                )
                self._log.warning(
                    'version_rejected',
                    service=service,
                    target=found.order.target,
                    route=route,
                    answers=tally.answers,
                    failures=tally.failures,
                    slow=tally.slow,
                    elapsed_s=round(found.elapsed_s, 2),
                )
                for listener in self._listeners:
                    listener()
                return


def _pool(found: _Rollout) -> Mapping[str, Tally]:
    pooled: dict[str, Tally] = {}
    sources = (
        found.own,
        *(report.tallies for report in found.reports.values()),
    )
    for tallies in sources:
        for route, tally in tallies.items():
            pooled[route] = pooled.get(route, Tally()).add(tally)
    pooled[ALL_ROUTES] = _sum(tuple(pooled.values()))
    return pooled


def _sum(tallies: Sequence[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total = total.add(tally)
    return total


def _without(
    endpoints: Sequence[EndpointRecord], rejected: Sequence[str] | set[str]
) -> Sequence[EndpointRecord]:
    if not rejected:
        return endpoints
    return [one for one in endpoints if one.version not in rejected]
