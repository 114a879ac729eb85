"""Record of the requests that stand-in endpoints executed."""

from attrs import define, field, frozen

from standins.notices import Arrival, PauseAnswer


@frozen(kw_only=True)
class Run:
    """One execution of a request by an endpoint.

    :ivar endpoint: the endpoint's name.
    :ivar service: the endpoint's service.
    :ivar version: the endpoint's version.
    :ivar workspace: workspace in the request's headers.
    :ivar arrived_at: arrival on the monotonic clock, in seconds.
    :ivar action: ``serve``, or the fault that the endpoint showed.
    :ivar is_leaving: whether the answer said that the endpoint leaves.
    :ivar previous: the execution before it on the same connection, if any.
    """

    request_id: str
    endpoint: str
    service: str
    version: str
    workspace: str
    arrived_at: float
    action: str
    is_leaving: bool = False
    previous: 'Run | None' = field(default=None, repr=False)


@define
class RunLog:
    """Record of the requests that all endpoints executed.

    :ivar runs: executions by request id.
    :ivar misdirected: number of requests addressed to another endpoint.
    :ivar pauses: requests that were refused with a request for a pause.
    :ivar arrivals: requests that reached endpoints, in order.
    :ivar crashed_at: moments at which endpoints crashed, by name.
    """

    runs: dict[str, list[Run]] = field(factory=dict)
    misdirected: int = 0
    pauses: list[PauseAnswer] = field(factory=list)
    arrivals: list[Arrival] = field(factory=list)
    crashed_at: dict[str, list[float]] = field(factory=dict)

    def record(self, run: Run) -> None:
        """Add an execution."""
        self.runs.setdefault(run.request_id, []).append(run)

    def count_runs(self, request_id: str) -> int:
        """Return the number of executions of a request."""
        return len(self.runs.get(request_id, ()))
