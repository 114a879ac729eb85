"""Checks of guarantees against the records of callers and endpoints."""

from collections import Counter
from collections.abc import Iterator

from soak import bounds
from soak.admission import check_admission
from soak.announcements import check_announcements
from soak.applications import check_applications
from soak.callers import CallerRequest, Callers
from soak.crashes import check_crashes
from soak.endings import EndingChecker
from soak.faults import FaultInjector
from soak.fleet import Fleet
from soak.tables import PublishedTable
from soak.zone_checks import check_zones
from standins.relayed_answers import encode_answer, encode_events
from standins.run_log import Run

# Statuses that guarantee that the request was not executed.
_NOT_EXECUTED = frozenset((408, 421, 429, 503))
_DENIED = frozenset((401, 403, 404))
_OK = 200
_BAD_REQUEST = 400
# Requests below which a share is not significant.
_MIN_SAMPLE = 8


class GuaranteeChecker:
    """Checks the guarantees for one soak run.

    :param fleet: routing tables, fault windows and executed requests.
    :param callers: requests and their outcomes.
    :param faults: faults that were injected.
    """

    def __init__(
        self, *, fleet: Fleet, callers: Callers, faults: FaultInjector
    ):
        self._fleet = fleet
        self._requests = [
            request for request in callers.requests if request.outcome != 'open'
        ]
        self._empty_answers = callers.empty_answers
        self._faults = faults
        self._endings = EndingChecker(fleet=fleet)

    def find_violations(self) -> list[str]:
        """Return a line for every violated guarantee, with its request."""
        return [
            *self._check_requests(),
            *self._check_deadlines(),
            *self._check_table_order(),
            *self._check_rollout(),
            *check_admission(self._fleet, self._requests),
            *check_applications(self._fleet),
            *check_crashes(self._fleet, self._requests),
            *check_announcements(self._fleet, self._requests),
            *check_zones(self._fleet, self._requests, self._faults.zones),
            *(
                f'registry: {name} returned no addresses'
                for name in self._empty_answers
            ),
            *(
                f'stop: {name} exceeded the bound'
                for name in self._faults.daemons.slow_stops
            ),
            *(
                f'process: {name} ended by itself'
                for name in self._faults.ended_daemons
            ),
        ]

    def count_outcomes(self) -> Counter[str]:
        """Count requests by route and by status or outcome."""
        return Counter(
            f'{request.route} {request.status or request.outcome}'
            for request in self._requests
        )

    def _check_requests(self) -> Iterator[str]:
        for request in self._requests:
            runs = self._fleet.run_log.runs.get(request.request_id, [])
            for violations in (
                self._check_answer(request, runs),
                self._check_runs(request, runs),
                self._check_tables(request, runs),
                self._check_withdrawal(request, runs),
                self._endings.check(request, runs),
            ):
                for text in violations:
                    yield self._format_violation(text, request, runs)

    def _format_violation(
        self, text: str, request: CallerRequest, runs: list[Run]
    ) -> str:
        executions = [_format_run(run) for run in runs]
        return (
            f'{text}: {request.request_id} {request.route}'
            f' {request.outcome} {request.status}'
            f' daemon {request.incarnation} sent {request.sent_at:.2f}'
            f' ended {request.ended_at:.2f} runs {executions}'
        )

    def _check_answer(
        self, request: CallerRequest, runs: list[Run]
    ) -> Iterator[str]:
        if request.status == _OK:
            name = request.request_id.encode()
            encode = (
                encode_events if request.route == 'draft' else encode_answer
            )
            if request.body != encode(name, request.answer_bytes):
                yield 'answer: body differs from the expected bytes'
        if request.status in _NOT_EXECUTED and runs:
            yield 'refused: request was executed'
        if request.status == _BAD_REQUEST and not request.is_deadly:
            yield 'denied: a sound prompt was rejected'
        if request.status in _DENIED and request.key == bounds.PERMANENT_KEY:
            yield 'denied: every table allows the key'

    def _check_runs(
        self, request: CallerRequest, runs: list[Run]
    ) -> Iterator[str]:
        if request.route == 'book' and len(runs) > 1:
            yield 'twice: a booking ran more than once'
        if len(runs) > bounds.MAX_ATTEMPTS:
            yield 'attempts: more endpoints than the route allows'
        workspace = bounds.WORKSPACE
        if request.key != bounds.PERMANENT_KEY:
            workspace = bounds.EXTRA_WORKSPACE
        if any(run.workspace != workspace for run in runs):
            yield 'workspace: not the workspace of the key'

    def _check_tables(
        self, request: CallerRequest, runs: list[Run]
    ) -> Iterator[str]:
        if (
            runs
            and request.sent_at
            > self._find_revocation(request.key) + bounds.REVOCATION_S
        ):
            yield 'revoked: request ran after its key was revoked'
        if request.route == 'look' or not self._is_daemon_fault_free(
            request, bounds.APPLY_S
        ):
            return
        allowed = {
            pool
            for table, ended_at in self._list_tables()
            for pool in table.pools
            if request.sent_at <= ended_at + bounds.APPLY_S
        }
        if any(run.service not in allowed for run in runs):
            yield 'table: only an older table allows the pool'

    def _find_revocation(self, key: str) -> float:
        """Return the time at which a key was last revoked.

        Infinity for a key in force, minus infinity for one never published.
        """
        ended_at = float('-inf')
        for table in self._fleet.tables:
            if key in table.keys:
                ended_at = float('inf')
            elif ended_at == float('inf'):
                ended_at = table.published_at
        return ended_at

    def _list_tables(self) -> Iterator[tuple[PublishedTable, float]]:
        """Return each table with the time of the next one."""
        tables = self._fleet.tables
        ends = [table.published_at for table in tables[1:]]
        yield from zip(tables, [*ends, float('inf')], strict=True)

    def _is_daemon_fault_free(
        self, request: CallerRequest, before_s: float
    ) -> bool:
        return self._fleet.is_undisturbed(
            request.daemon, request.sent_at - before_s, request.ended_at
        )

    def _check_withdrawal(
        self, request: CallerRequest, runs: list[Run]
    ) -> Iterator[str]:
        if not self._is_daemon_fault_free(request, bounds.DRAIN_S):
            return
        for run in runs:
            withdrawn_at = self._fleet.withdrawn_at.get(
                run.endpoint, float('inf')
            )
            if run.arrived_at > withdrawn_at + bounds.DRAIN_S:
                yield 'drain: request ran on a withdrawn endpoint'

    def _check_deadlines(self) -> Iterator[str]:
        max_duration_s = bounds.TIMEOUT_S + bounds.ANSWER_GRACE_S
        slow = [
            request
            for request in self._requests
            if self._is_daemon_fault_free(request, 0)
            and request.ended_at - request.sent_at > bounds.TIMEOUT_S
            # A narrow link delivers an answer later than the daemon sent it.
            and request.link is not request.daemon.narrow_link
        ]
        late = [
            request.request_id
            for request in slow
            if request.ended_at - request.sent_at > max_duration_s
        ]
        if len(slow) >= _MIN_SAMPLE and len(late) > len(slow) / 2:
            yield (
                f'time: {len(late)} of {len(slow)} got no final answer:'
                f' {" ".join(late)}'
            )

    def _check_table_order(self) -> Iterator[str]:
        """Check that no daemon process goes back to an older table.

        Each use is attributed to the oldest table that explains it and is not
        older than the tables that the process used before.
        """
        tables_used: dict[str, list[tuple[float, int]]] = {}
        runs = self._fleet.run_log.runs
        rows = [
            (run.arrived_at, request, run)
            for request in self._requests
            for run in runs.get(request.request_id, [])
            if request.route != 'look'
        ]
        for used_at, request, run in sorted(rows, key=lambda row: row[0]):
            earlier_uses = tables_used.setdefault(request.incarnation, [])
            oldest = max(
                (
                    number
                    for earlier_at, number in earlier_uses
                    if earlier_at + bounds.ROLLBACK_S < request.sent_at
                ),
                default=0,
            )
            number = self._find_table(run.service, used_at, oldest)
            if number is None:
                yield self._format_violation(
                    'back: an older table was used', request, [run]
                )
                continue
            earlier_uses.append((used_at, number))

    def _find_table(self, pool: str, used_at: float, oldest: int) -> int | None:
        """Return the index of the oldest table at a time that used a pool.

        :param oldest: index of the oldest table to consider.
        """
        return next(
            (
                number
                for number, table in enumerate(self._fleet.tables)
                if number >= oldest
                and pool in table.pools
                and table.published_at <= used_at
            ),
            None,
        )

    def _check_rollout(self) -> Iterator[str]:
        if self._faults.endpoints.rollout_is_bad is None:
            return
        status = self._fleet.store.read('keyed.status').get(
            f'rollout/{bounds.ROLLOUT_SERVICE}', {}
        )
        state = status.get('state')
        if not self._faults.endpoints.rollout_is_bad:
            return
        if state != 'rolled_back':
            yield f'rollout: a bad version is {state}'
        rollout_ordered_at = self._faults.endpoints.rollout_ordered_at
        until = rollout_ordered_at + bounds.ROLLOUT_S
        versions = Counter(
            run.version
            for runs in self._fleet.run_log.runs.values()
            for run in runs
            if run.service == bounds.ROLLOUT_SERVICE
            and rollout_ordered_at <= run.arrived_at <= until
        )
        allowed = versions.total() * bounds.EXPOSURE_SHARE
        if versions['v2'] > allowed + bounds.EXPOSURE_EXTRA:
            yield f'exposure: {versions}'


def _format_run(run: Run) -> str:
    text = f'{run.endpoint} {run.action} {run.arrived_at:.2f}'
    if run.previous is None:
        return text
    return f'{text} after {run.previous.action} {run.previous.arrived_at:.2f}'
