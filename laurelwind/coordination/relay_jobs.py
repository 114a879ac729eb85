"""State of a relayed request."""

import functools
import random
from collections.abc import Sequence
from typing import Final

from attrs import define, field, frozen

from laurelwind.coordination.load.forecasts import Forecast, Work
from laurelwind.coordination.load.step_classes import (
    StepClass,
    classify_step,
)
from laurelwind.coordination.scheduling.requirements import SchedulingClass
from laurelwind.coordination.shedding.decisions import LoadDecision
from laurelwind.coordination.suspects.keys import (
    build_part_keys,
    build_request_name,
)
from laurelwind.protocol.crash_notices import limit_name
from laurelwind.protocol.exchanges import AnswerHead, RelayRequest
from laurelwind.state.crash_reports import SuspectKey, SuspectKeys
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.routes import (
    RequestKind,
    Route,
    RouteModel,
    Service,
    Workspace,
)

# Prefill throughput of an engine with its largest model, in prompt tokens per
# second.  Other models are faster in proportion to their lower cost.
PREFILL_TOKENS_PER_S: Final = 20000.0
# Prefill time, in seconds, above which a prompt noticeably delays the other
# answers of its batch.
LONG_PREFILL_S: Final = 0.5
_LOWEST_PRIORITY: Final = 9
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class BufferedAnswer:
    """A complete answer of an endpoint, buffered in memory.

    :ivar head: status and headers.
    :ivar body: the complete body.
    """

    head: AnswerHead
    body: bytes


@define(kw_only=True)
class Job:
    """A request in progress.

    All moments are on the monotonic clock.

    :ivar request: the caller's request.
    :ivar route: the matching route.
    :ivar workspace: workspace of the caller, or ``None`` on a public route.
    :ivar service: name of the target service.
    :ivar arrived_at: moment of arrival.
    :ivar deadline_at: moment at which the complete answer is due.
    :ivar engine: the target service in the routing table, or ``None``.
    :ivar models: models to try in order; empty if the caller names one.
    :ivar model_index: index in ``models`` of the current model.
    :ivar attempts: number of endpoints that the request was sent to.
    :ivar excluded_endpoints: names of endpoints that failed the request.
    :ivar fallback_endpoints: names of endpoints that fell silent, or broke off
        a begun answer; they are used again if no other one is left.
    :ivar refusals: number of attempts that did not run.
    :ivar broken_attempts: number of attempts whose connection broke before the
        answer began.
    :ivar known_crashes: crashes that its repeats were on board of as it was
        first sent.
    :ivar avoids_target_version: whether it uses no version that is being rolled
        out, as that one had no permit for it.
    :ivar avoids_cold: whether other endpoints than cold ones take it, as one
        had no permit for it or could not be reached. Each further ask would
        take time.
    :ivar reserved_retries: retries of the budget that are held for the request.
    :ivar has_moved: whether it was moved, as it would have been late.
    :ivar saved_failure: complete failure answer of an endpoint, delivered if
        every later attempt fails as well.
    :ivar has_begun: whether an answer to the caller has begun.
    :ivar last_event_id: id of the last stream event that the caller has, or an
        empty string if that event has none.
    :ivar events: number of events delivered.
    :ivar first_event_at: moment of the first delivered event.
    :ivar last_event_at: moment of the last delivered event.
    :ivar longest_gap_s: longest gap between two delivered events, in seconds.
    :ivar load_draw: random number in [0, 1) of all its load decisions.
    :ivar return_draw: random number in [0, 1) for the time at which its caller
        returns if it is rejected.
    :ivar load_decision: the last load decision about it, or ``None``.
    :ivar work: expected work, as of the last load decision.
    :ivar forecast: forecast of the last load decision, or ``None``.
    """

    request: RelayRequest
    route: Route
    workspace: Workspace | None
    service: str
    arrived_at: float
    deadline_at: float
    engine: Service | None = None
    models: Sequence[RouteModel] = ()
    model_index: int = 0
    attempts: int = 0
    excluded_endpoints: set[str] = field(factory=set)
    fallback_endpoints: set[str] = field(factory=set)
    refusals: int = 0
    broken_attempts: int = 0
    known_crashes: int = 0
    avoids_target_version: bool = False
    avoids_cold: bool = False
    reserved_retries: int = 0
    has_moved: bool = False
    saved_failure: BufferedAnswer | None = None
    has_begun: bool = False
    last_event_id: str = ''
    events: int = 0
    first_event_at: float = 0
    last_event_at: float = 0
    longest_gap_s: float = 0
    load_draw: float = field(factory=random.random)
    return_draw: float = field(factory=random.random)
    load_decision: LoadDecision | None = None
    work: Work = field(factory=Work)
    forecast: Forecast | None = None

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline_at - read_monotonic_clock()

    @property
    def elapsed_s(self) -> float:
        """Seconds since arrival."""
        return read_monotonic_clock() - self.arrived_at

    @property
    def elapsed_ms(self) -> int:
        """Milliseconds since arrival."""
        return round(self.elapsed_s * _MS_PER_S)

    @property
    def first_ms(self) -> int | None:
        """Milliseconds from arrival to the first event, if there was one."""
        if not self.events:
            return None
        return round((self.first_event_at - self.arrived_at) * _MS_PER_S)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may run the request, or have run it."""
        return self.attempts > self.refusals

    @property
    def model(self) -> RouteModel | None:
        """Current model, or ``None`` if the route plans none."""
        if not self.models:
            return None
        return self.models[min(self.model_index, len(self.models) - 1)]

    @property
    def has_larger_model(self) -> bool:
        """Whether a larger model follows the current one."""
        return self.model_index + 1 < len(self.models)

    @functools.cached_property
    def name(self) -> str:
        """Name that the request has in common with its repeats."""
        return build_request_name(
            workspace='' if self.workspace is None else self.workspace.name,
            method=self.request.method,
            target=self.request.target,
            body=self.request.body,
        )

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Names of the prompt's parts that other prompts may hold as well.

        The last part is specific to the request or its session.
        """
        return tuple(part.name for part in self.request.parts[:-1])

    @property
    def request_key(self) -> SuspectKey:
        """Key under which the request as a whole may be blamed for a crash."""
        return limit_name(self.service), self.name

    @property
    def suspect_keys(self) -> SuspectKeys:
        """Keys under which it may be blamed for a crash.

        An event is an answer to the parts of its prompt.
        """
        request_keys = frozenset((self.request_key,))
        if self.events:
            return request_keys
        return request_keys | build_part_keys(self.service, self.request.parts)

    @property
    def sticky_key(self) -> str:
        """Key of requests that are routed to the same version."""
        return self.request.session or self.request.request_id

    @property
    def priority(self) -> int:
        """Priority, 0 (most urgent) to 9."""
        priority = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            priority = self.workspace.priority
        return min(max(priority, 0), _LOWEST_PRIORITY)

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Regions that its route and its workspace allow; ``None`` for all."""
        route_regions = self.route.allowed_regions
        if self.workspace is None or self.workspace.allowed_regions is None:
            return route_regions
        if route_regions is None:
            return self.workspace.allowed_regions
        return route_regions & self.workspace.allowed_regions

    @property
    def is_stream(self) -> bool:
        """Whether the answer is an event stream."""
        return self.route.kind is RequestKind.STREAMING

    @property
    def prefill_s(self) -> float:
        """Estimated prefill time of the prompt, in seconds."""
        return self.estimate_prefill(self.request.prompt_tokens)

    @property
    def scheduling_class(self) -> SchedulingClass | None:
        """Scheduling class, or ``None`` with fewer than two models."""
        if len(self.models) < 2:
            return None
        return (
            SchedulingClass.LONG
            if self.prefill_s > LONG_PREFILL_S
            else SchedulingClass.OTHER
        )

    @property
    def cost_share(self) -> float:
        """Cost of its model, relative to the largest one of the service."""
        if self.engine is None:
            return 1
        name = self.request.model if self.model is None else self.model.name
        return self.engine.get_cost_share(name)

    @property
    def step_class(self) -> StepClass:
        """Class by what it costs the steps of its batch."""
        costs = () if self.engine is None else self.engine.costs.values()
        prefill_s = self.request.prompt_tokens / PREFILL_TOKENS_PER_S
        return classify_step(
            self.cost_share,
            is_long=prefill_s * self.cost_share > LONG_PREFILL_S,
            has_small_model=len(set(costs)) > 1,
        )

    def estimate_prefill(self, tokens: int) -> float:
        """Estimate the prefill time of prompt tokens, in seconds.

        :param tokens: number of prompt tokens.
        """
        if self.model is None:
            return 0
        highest_cost = max(model.cost for model in self.models) or 1
        share = (self.model.cost or highest_cost) / highest_cost
        return tokens / PREFILL_TOKENS_PER_S * share

    def record_failure(
        self, endpoint: str, *, is_silent: bool, is_refusal: bool
    ) -> None:
        """Record a failed attempt.

        :param endpoint: name of the endpoint.
        :param is_silent: whether it was left for its silence.
        :param is_refusal: whether the request did not run there.
        """
        self.refusals += int(is_refusal)
        if is_silent or (self.events and not is_refusal):
            self.fallback_endpoints.add(endpoint)
        else:
            self.excluded_endpoints.add(endpoint)

    def record_events(self, count: int, last_event_id: str) -> None:
        """Record events delivered to the caller.

        :param count: number of events.
        :param last_event_id: id after which the stream resumes, or empty if it
            cannot.
        """
        now = read_monotonic_clock()
        if self.events:
            self.longest_gap_s = max(
                self.longest_gap_s, now - self.last_event_at
            )
        else:
            self.first_event_at = now
        self.last_event_at = now
        self.events += count
        self.last_event_id = last_event_id
