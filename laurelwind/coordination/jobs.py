"""A request on its way, and its attempts at endpoints."""

from collections.abc import Sequence
from typing import Final

from attrs import define, field, frozen

from laurelwind.coordination.placement import Lane
from laurelwind.protocol.exchanges import (
    AnswerHead,
    EndpointExchange,
    RelayRequest,
)
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_clock
from laurelwind.state.routes import ModelSize, RequestKind, Route, Workspace

# Prompt tokens that an engine reads in a second with its largest model; other
# models read faster as they cost less.
READ_TOKENS_PER_S: Final = 20000.0
# Work from which a prompt holds up the answers beside it noticeably.
LONG_WORK_S: Final = 0.5
# Events that a stream must have for its pace to be compared with others'.
PACED_EVENTS: Final = 8
_LOWEST_RANK: Final = 9
_MS_PER_S: Final = 1000


@frozen(kw_only=True)
class WholeAnswer:
    """An endpoint's answer that was read to its end.

    :ivar head: its head.
    :ivar body: its body.
    """

    head: AnswerHead
    body: bytes


@define(kw_only=True)
class Job:
    """One request on its way.

    :ivar request: the request.
    :ivar route: its route.
    :ivar workspace: its workspace, or ``None`` on a public route.
    :ivar service: the service that it goes to.
    :ivar arrived_at: when it arrived, on the monotonic clock.
    :ivar deadline_at: when its final answer is due, on that clock.
    :ivar models: models to ask in turn; empty where the caller names one.
    :ivar step: place of the model that is asked now.
    :ivar attempts: endpoints that it was sent to.
    :ivar may_have_run: whether an endpoint may have run it.
    :ivar avoided: names of endpoints that failed it.
    :ivar kept: a failure that an endpoint answered whole, for when nothing
        better comes.
    :ivar last_event_id: the caller has a stream's events up to this one.
    :ivar events: events that were passed on.
    :ivar first_at: when the first of them was.
    :ivar event_at: when the last of them was.
    :ivar longest_gap_s: longest pause between two of them.
    """

    request: RelayRequest
    route: Route
    workspace: Workspace | None
    service: str
    arrived_at: float
    deadline_at: float
    models: Sequence[ModelSize] = ()
    step: int = 0
    attempts: int = 0
    may_have_run: bool = False
    avoided: set[str] = field(factory=set)
    kept: WholeAnswer | None = None
    last_event_id: str = ''
    events: int = 0
    first_at: float = 0
    event_at: float = 0
    longest_gap_s: float = 0

    @property
    def left_s(self) -> float:
        """Seconds until its final answer is due."""
        return self.deadline_at - read_clock()

    @property
    def elapsed_s(self) -> float:
        """Seconds since it arrived."""
        return read_clock() - self.arrived_at

    @property
    def elapsed_ms(self) -> int:
        """Milliseconds since it arrived."""
        return round(self.elapsed_s * _MS_PER_S)

    @property
    def first_ms(self) -> int | None:
        """Milliseconds from its arrival to its first event."""
        if not self.events:
            return None
        return round((self.first_at - self.arrived_at) * _MS_PER_S)

    @property
    def model(self) -> ModelSize | None:
        """The model that is asked now."""
        if not self.models:
            return None
        return self.models[min(self.step, len(self.models) - 1)]

    @property
    def has_larger_model(self) -> bool:
        """Whether another model may be asked after this one."""
        return self.step + 1 < len(self.models)

    @property
    def group(self) -> str:
        """Names what goes to the same version."""
        return self.request.session or self.request.request_id

    @property
    def rank(self) -> int:
        """Rank among all requests; zero is the most urgent."""
        rank = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            rank = self.workspace.priority
        return min(max(rank, 0), _LOWEST_RANK)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route.kind is RequestKind.STREAMING

    @property
    def work_s(self) -> float:
        """Seconds that reading the prompt takes."""
        return self.estimate_work(self.request.prompt_tokens)

    @property
    def lane(self) -> Lane | None:
        """The lane that it belongs to, or none where there are no lanes."""
        if len(self.models) < 2:
            return None
        return Lane.LONG if self.work_s > LONG_WORK_S else Lane.OTHER

    def estimate_work(self, tokens: int) -> float:
        """Estimate the seconds that reading some tokens takes.

        :param tokens: how many.
        """
        if self.model is None:
            return 0
        dearest = max(model.cost for model in self.models) or 1
        share = (self.model.cost or dearest) / dearest
        return tokens / READ_TOKENS_PER_S * share

    def note_events(self, count: int, last_event_id: str) -> None:
        """Note events that are passed on.

        :param count: how many.
        :param last_event_id: id of the last one, or empty.
        """
        now = read_clock()
        if self.events:
            self.longest_gap_s = max(self.longest_gap_s, now - self.event_at)
        else:
            self.first_at = now
        self.event_at = now
        self.events += count
        self.last_event_id = last_event_id or self.last_event_id


@define(kw_only=True)
class Attempt:
    """One request at one endpoint.

    :ivar endpoint: the endpoint.
    :ivar exchange: the request and its answer there.
    :ivar sent_at: when it was sent, on the monotonic clock.
    :ivar model: name of the model, or empty.
    :ivar work_s: seconds that reading the prompt takes there.
    :ivar expected_s: seconds until its first byte, as estimated at the start.
    :ivar first_at: when its first byte came, or zero.
    :ivar events: events that came.
    """

    endpoint: EndpointRecord
    exchange: EndpointExchange
    sent_at: float
    model: str = ''
    work_s: float = 0
    expected_s: float = 0
    first_at: float = 0
    event_at: float = 0
    events: int = 0

    def note_events(self, count: int) -> float | None:
        """Note events that came, and give the seconds that each one took.

        :param count: how many.
        """
        now = read_clock()
        pace_s = (now - self.event_at) / count if self.events else None
        self.event_at = now
        self.events += count
        return pace_s

    @property
    def pace_s(self) -> float | None:
        """Seconds for each event, or for the whole of a plain answer.

        A few events say more of the prompts beside them than of the version.
        """
        now = read_clock()
        if not self.events:
            return now - self.sent_at
        if self.events < PACED_EVENTS:
            return None
        return (now - self.first_at) / (self.events - 1)
