"""Counts the answers of versions, and rejects a version by them."""

from collections.abc import Callable
from typing import Final

from laurelwind.coordination.rollouts.broken_answers import (
    BrokenAnswer,
    BrokenAnswers,
)
from laurelwind.coordination.rollouts.evidence import AnswerOutcome
from laurelwind.coordination.rollouts.latencies import (
    Latency,
    LatencyBaselines,
    LatencyGroup,
)
from laurelwind.coordination.rollouts.progress import RolloutProgress
from laurelwind.decisions import DecisionLog
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rollouts import Tally

# Rejected versions of a service that are remembered; the newest ones count.
MAX_REJECTED: Final = 64


class AnswerRecorder:
    """Counts answers for and against the target versions of roll-outs.

    :param log: the decision log.
    :param clock: returns the current time in seconds.
    :ivar baselines: latencies of the versions in use.
    """

    def __init__(self, *, log: DecisionLog, clock: Callable[[], float]) -> None:
        self.baselines = LatencyBaselines(clock=clock)
        self._log = log
        self._clock = clock
        self._rollouts: dict[str, RolloutProgress] = {}
        self._rejected_versions: dict[str, dict[str, None]] = {}
        self._broken_answers = BrokenAnswers()
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for rejections of a version.

        :param listener: called as soon as a version is rejected.
        """
        self._listeners.append(listener)

    def is_undecided(self, service: str) -> bool:
        """Return whether answers count for or against a version.

        :param service: name of the service.
        """
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.is_undecided

    def record_outcome(
        self, endpoint: EndpointRecord, outcome: AnswerOutcome
    ) -> None:
        """Count one answer.

        :param endpoint: the endpoint that answered.
        :param outcome: outcome of the answer.
        """
        tally = Tally(answers=1, failures=int(outcome.failed))
        if outcome.latency is not None and not outcome.failed:
            tally = tally.add(
                self._compare_latency(
                    endpoint,
                    (endpoint.service, outcome.route, outcome.comparison_group),
                    outcome.latency,
                )
            )
        if outcome.is_explained is None or not self.is_undecided(
            endpoint.service
        ):
            self._count(endpoint, outcome.route, tally)
        else:
            overdue = self._broken_answers.add(
                BrokenAnswer(
                    endpoint=endpoint,
                    route=outcome.route,
                    tally=tally,
                    is_explained=outcome.is_explained,
                    broke_at=self._clock(),
                )
            )
            if overdue is not None:
                self._count(overdue.endpoint, overdue.route, overdue.tally)
        self.review_broken_answers()

    def review_broken_answers(self) -> None:
        """Count the answers that broke off and that no suspect explains."""
        for answer, change in self._broken_answers.review(
            self._clock(), self._is_target_version
        ):
            self._count(answer.endpoint, answer.route, change)

    def record_latency(
        self, endpoint: EndpointRecord, group: LatencyGroup, latency: Latency
    ) -> None:
        """Count the latency of an answer that is under way.

        :param endpoint: the endpoint that answers.
        :param group: group of the answer.
        :param latency: its latency so far.
        """
        _, route, _ = group
        tally = self._compare_latency(endpoint, group, latency)
        self._count(endpoint, route, tally)

    def _remember_rejected(self, service: str, version: str) -> None:
        versions = self._rejected_versions.setdefault(service, {})
        versions.pop(version, None)
        versions[version] = None
        if len(versions) > MAX_REJECTED:
            versions.pop(next(iter(versions)))

    def _is_target_version(self, endpoint: EndpointRecord) -> bool:
        rollout = self._rollouts.get(endpoint.service)
        return rollout is not None and endpoint.version == rollout.order.target

    def _compare_latency(
        self, endpoint: EndpointRecord, group: LatencyGroup, latency: Latency
    ) -> Tally:
        is_slow = self.baselines.is_slow(group, latency)
        if not self._is_target_version(endpoint) and not latency.is_overdue:
            self.baselines.record(group, latency)
        return Tally(timed=int(is_slow is not None), slow=int(bool(is_slow)))

    def _count(
        self, endpoint: EndpointRecord, route: str, tally: Tally
    ) -> None:
        rollout = self._rollouts.get(endpoint.service)
        if rollout is None or not rollout.is_undecided:
            return
        if not self._is_target_version(endpoint):
            rollout.record_old_answer(tally)
            if tally.failures < 0:
                self._evaluate(endpoint.service, rollout)
            return
        rollout.record_answer(route, tally)
        if tally.bad_answers:
            self._evaluate(endpoint.service, rollout)

    def _evaluate(self, service: str, rollout: RolloutProgress) -> None:
        rejected = (
            rollout.find_rejected_route() if rollout.is_undecided else None
        )
        if rejected is None:
            return
        route, tally = rejected
        rollout.reject()
        self._remember_rejected(service, rollout.order.target)
        self._log.log_warning(
            'version_rejected',
            service=service,
            target=rollout.order.target,
            route=route,
            answers=tally.answers,
            failures=tally.failures,
            slow=tally.slow,
            timed=tally.timed,
            elapsed_s=round(rollout.elapsed_s, 2),
        )
        for listener in self._listeners:
            listener()
