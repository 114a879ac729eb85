"""Plans model cascades: which versions answer a request, in which order.

The planner picks the plan with the lowest expected cost that meets the
quality target of the task.  If the pass rate of a cheap version is known with
high confidence, its answer is streamed immediately.  Otherwise the answer is
buffered until it is rated, and a more expensive version runs if it fails.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import Final

from attrs import frozen

from laurelwind.errors import CallerError, ErrorKind
from laurelwind.state.document import (
    Document,
    Task,
    Version,
    VersionReference,
    VersionState,
    Workspace,
)
from laurelwind.state.evidence import Estimate, EvidenceTable, Subject
from laurelwind.state.sessions import Session

_MAX_STEPS: Final = 3
_TYPICAL_PROMPT_TOKENS: Final = 500
_TYPICAL_COMPLETION_TOKENS: Final = 300
_TOKENS_PER_PRICE_UNIT: Final = 1000
_EXPLORATION_SHARE: Final = 0.02
_MIN_CONFIDENT_TRIALS: Final = 30


@frozen(kw_only=True)
class VersionOption:
    """A version that may answer, with its estimated pass rate.

    :ivar reference: ``model@version``.
    :ivar version: the configuration entry.
    :ivar estimate: pass rate for the workspace and task.
    """

    reference: str
    version: Version
    estimate: Estimate

    @property
    def cost(self) -> float:
        """Cost of a request of typical size, in micro-units."""
        price = self.version.price
        prompt = price.prompt * _TYPICAL_PROMPT_TOKENS
        completion = price.completion * _TYPICAL_COMPLETION_TOKENS
        return (prompt + completion) / _TOKENS_PER_PRICE_UNIT


@frozen(kw_only=True)
class Step:
    """One version in a plan.

    :ivar reference: ``model@version``.
    :ivar is_buffered: whether the answer is buffered until it is rated.
    """

    reference: str
    is_buffered: bool


@frozen(kw_only=True)
class Plan:
    """The ordered versions for one request.

    :ivar task: requested task, model or ``model@version``.
    :ivar steps: each step runs only if the previous one failed or its answer
        did not pass its rating.
    """

    task: str
    steps: Sequence[Step]


@frozen(kw_only=True)
class _ScoredPlan:
    steps: Sequence[Step]
    cost: float
    quality: float


class CascadePlanner:
    """Plans requests from the configuration and recorded ratings.

    :param evidence: ratings of the versions.
    :param is_quarantined: returns whether a version is quarantined for a
        workspace.
    :param seed: makes exploration reproducible.
    """

    def __init__(
        self,
        *,
        evidence: EvidenceTable,
        is_quarantined: Callable[[str, str], bool],
        seed: int | None = None,
    ) -> None:
        self._evidence = evidence
        self._is_quarantined = is_quarantined
        self._random = random.Random(seed)

    def plan(
        self,
        document: Document,
        workspace_name: str,
        requested: str,
    ) -> Plan:
        """Plan a request that belongs to no session.

        :param document: the current configuration.
        :param workspace_name: workspace that sent the request.
        :param requested: a task, a model, or ``model@version``.
        :raises CallerError: when no allowed version matches the name.
        """
        workspace = document.workspaces[workspace_name]
        task = workspace.tasks.get(requested)
        if task is None:
            references = _list_allowed_references(workspace, requested)
            task = Task(versions=references, quality=0)
        options = self._list_options(
            document,
            Subject(
                workspace=workspace_name,
                task=requested,
                reference='',
            ),
            task.versions,
        )
        if not options:
            raise CallerError(
                ErrorKind.VERSION_NOT_ALLOWED,
                f'no version of {requested} accepts new requests',
            )
        return Plan(
            task=requested, steps=self._choose_steps(options, task.quality)
        )

    def plan_session(self, document: Document, session: Session) -> Plan:
        """Plan a session request, which is pinned to one version.

        :param document: the current configuration.
        :param session: the session.
        :raises CallerError: when the version is quarantined, not allowed or no
            longer accepts work.
        """
        workspace = document.workspaces[session.workspace]
        version = find_version(document, session.reference)
        is_allowed = session.reference in workspace.versions
        is_quarantined = self._is_quarantined(
            session.reference, session.workspace
        )
        if is_quarantined or not is_allowed or not accepts_work(version):
            raise CallerError(
                ErrorKind.SESSION_ENDED,
                f'version {session.reference} is withdrawn; open a new session',
            )
        step = Step(reference=session.reference, is_buffered=False)
        return Plan(task=session.task, steps=(step,))

    def choose_for_session(
        self,
        document: Document,
        workspace_name: str,
        requested: str,
    ) -> str:
        """Choose the version that a new session is pinned to.

        :param document: the current configuration.
        :param workspace_name: workspace that opens the session.
        :param requested: a task, a model, or ``model@version``.
        :raises CallerError: when no allowed version matches the name.
        """
        plan = self.plan(document, workspace_name, requested)
        return plan.steps[-1].reference

    def _list_options(
        self,
        document: Document,
        task_subject: Subject,
        references: Sequence[str],
    ) -> list[VersionOption]:
        options = []
        for reference in references:
            version = find_version(document, reference)
            if version is None or version.state is not VersionState.SERVING:
                continue
            if self._is_quarantined(reference, task_subject.workspace):
                continue
            subject = Subject(
                workspace=task_subject.workspace,
                task=task_subject.task,
                reference=reference,
            )
            estimate = self._evidence.estimate(
                subject,
                version.expected_pass_rate,
            )
            options.append(
                VersionOption(
                    reference=reference,
                    version=version,
                    estimate=estimate,
                ),
            )
        return options

    def _choose_steps(
        self,
        options: Sequence[VersionOption],
        quality: float,
    ) -> Sequence[Step]:
        by_cost = sorted(options, key=lambda option: option.cost)
        scored = list(_list_plans(by_cost, quality))
        sufficient = [plan for plan in scored if plan.quality >= quality]
        if sufficient:
            best = min(sufficient, key=lambda plan: plan.cost)
        else:
            best = max(scored, key=lambda plan: plan.quality)
        return self._apply_exploration(best.steps, by_cost, quality)

    def _apply_exploration(
        self,
        steps: Sequence[Step],
        by_cost: Sequence[VersionOption],
        quality: float,
    ) -> Sequence[Step]:
        """Occasionally prepend the cheapest version to collect ratings."""
        cheapest = by_cost[0]
        is_cheapest_skipped = steps[0].reference != cheapest.reference
        if not is_cheapest_skipped or quality <= 0:
            return steps
        if self._random.random() >= _EXPLORATION_SHARE:
            return steps
        return (Step(reference=cheapest.reference, is_buffered=True), *steps)


def find_version(document: Document, reference: str) -> Version | None:
    """Return the version with a reference, or ``None`` if there is none.

    :param document: the current configuration.
    :param reference: ``model@version``.
    """
    parsed = VersionReference.parse(reference)
    model = document.models.get(parsed.model)
    return None if model is None else model.versions.get(parsed.version)


def accepts_work(version: Version | None) -> bool:
    """Return whether a version accepts work.

    :param version: the configuration entry, or ``None`` if there is none.
    """
    return version is not None and version.state is not VersionState.WITHDRAWN


def _list_allowed_references(
    workspace: Workspace, requested: str
) -> Sequence[str]:
    allowed = [
        reference
        for reference in workspace.versions
        if requested in {reference, VersionReference.parse(reference).model}
    ]
    if not allowed:
        raise CallerError(
            ErrorKind.MODEL_UNKNOWN,
            'no such task, model or version in this workspace',
        )
    return tuple(allowed)


def _list_plans(
    by_cost: Sequence[VersionOption],
    quality: float,
) -> Iterator[_ScoredPlan]:
    for option in by_cost:
        yield _score((option,), is_confident=_is_confident(option, quality))
    for length in range(2, _MAX_STEPS + 1):
        for chain in itertools.combinations(by_cost, length):
            yield _score(chain, is_confident=False)


def _is_confident(option: VersionOption, quality: float) -> bool:
    has_enough_trials = option.estimate.trials >= _MIN_CONFIDENT_TRIALS
    return has_enough_trials and option.estimate.lower >= quality


def _score(
    chain: Sequence[VersionOption], *, is_confident: bool
) -> _ScoredPlan:
    """Compute the expected cost and quality of a chain of versions.

    A single version is scored with the lower bound of its pass rate unless
    confidence is high.  In a chain every answer but the last is rated, so
    failures are detected.
    """
    reach_probability = 1.0
    cost = float(0)
    quality = float(0)
    steps = []
    for option in chain:
        is_last = option is chain[-1]
        rate = option.estimate.rate
        if is_last and not is_confident and len(chain) == 1:
            rate = option.estimate.lower
        cost += reach_probability * option.cost
        quality += reach_probability * rate
        reach_probability *= 1 - rate
        steps.append(Step(reference=option.reference, is_buffered=not is_last))
    return _ScoredPlan(steps=tuple(steps), cost=cost, quality=quality)
