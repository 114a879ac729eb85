"""Checks how requests ended at daemons and endpoints without faults."""

from collections.abc import Iterator, Sequence
from typing import Final

from soak import bounds
from soak.callers import CallerRequest
from soak.fleet import Fleet
from standins.relayed_endpoint import CRASH_S
from standins.run_log import Run

# Answers of a daemon that gives up a request, other than refusals.
_GIVEN_UP: Final = frozenset((500, 502, 504))


class EndingChecker:
    """Checks that requests end with a complete answer or a refusal.

    Not checked: requests that a daemon cannot have read completely, those that
    an endpoint broke off or crashed on, those that reached their deadline,
    those with a fault of the daemon or its links, or of the endpoint's link,
    and bookings that were given up because they crossed bytes that the endpoint
    sent unasked.
    Stops,
    reloads, changes of the table, faults of the store, and endpoints that are
    silent and go on excuse nothing: callers' deadlines pass before the time to
    stop ends.

    :param fleet: fault windows, and links to endpoints.
    """

    def __init__(self, *, fleet: Fleet):
        self._fleet = fleet

    def check(self, request: CallerRequest, runs: list[Run]) -> Iterator[str]:
        """Return a text for each violation by one request.

        :param request: a request that has ended.
        :param runs: its executions by endpoints.
        """
        if not self._is_daemon_sound(request):
            return
        if request.outcome == 'silent' and self._was_sent_whole(request):
            yield 'silent: no answer and no end long after the deadline'
        is_late = request.ended_at - request.sent_at >= bounds.TIMEOUT_S
        if is_late or any(run.action != 'serve' for run in runs):
            return
        if request.outcome == 'cut' and self._is_answer_due(request, runs):
            names = [run.endpoint for run in runs]
            if self._are_links_sound(request, names, bounds.SETTLE_S):
                yield 'lost: connection closed without an answer'
        if runs and request.status in _GIVEN_UP:
            if request.route == 'book' and _crosses_junk(runs[-1]):
                return
            # The daemon may have tried an endpoint that could not be reached.
            names = list(self._fleet.links)
            if self._are_links_sound(request, names, bounds.ENDPOINT_SETTLE_S):
                yield 'given up: endpoints were sound, and time was left'

    def _is_daemon_sound(self, request: CallerRequest) -> bool:
        return self._fleet.fault_windows.is_fault_free(
            request.daemon.subject,
            request.sent_at - bounds.SETTLE_S,
            request.ended_at,
        )

    def _are_links_sound(
        self, request: CallerRequest, names: Sequence[str], settle_s: float
    ) -> bool:
        return all(
            self._fleet.fault_windows.is_fault_free(
                f'endpoint {name}', request.sent_at, request.ended_at, settle_s
            )
            and not self._has_crashed(name, request, settle_s)
            for name in names
        )

    def _has_crashed(
        self, name: str, request: CallerRequest, settle_s: float
    ) -> bool:
        since = request.sent_at - CRASH_S - settle_s
        return any(
            since <= crashed_at <= request.ended_at
            for crashed_at in self._fleet.run_log.crashed_at.get(name, ())
        )

    def _was_sent_whole(self, request: CallerRequest) -> bool:
        return request.request_id in request.link.forwarded_at

    def _is_answer_due(self, request: CallerRequest, runs: list[Run]) -> bool:
        if runs:
            return True
        forwarded_at = request.link.forwarded_at.get(
            request.request_id, float('inf')
        )
        due_at = forwarded_at + bounds.ANSWER_REQUIRED_AFTER_S
        return request.ended_at > due_at


def _crosses_junk(run: Run) -> bool:
    previous = run.previous
    return (
        previous is not None
        and previous.action == 'junk'
        and run.arrived_at - previous.arrived_at < bounds.CROSSING_S
    )
