"""What must hold, from what callers and endpoints saw."""

from collections import Counter
from collections.abc import Iterator

from soak import bounds
from soak.callers import Ask, Callers
from soak.faults import Faults
from soak.fleet import Fleet
from standins.relayed import Run, write_events

_PROMISES = frozenset((408, 421, 429, 503))
_DENIALS = frozenset((401, 403, 404))
_OK = 200
# Requests below which a share says nothing.
_LEAST = 8


class Judge:
    """Holds a run against the promises.

    :param fleet: what was played, and what endpoints ran.
    :param callers: what callers saw.
    :param faults: what happened.
    """

    def __init__(self, *, fleet: Fleet, callers: Callers, faults: Faults):
        self._fleet = fleet
        self._asks = [ask for ask in callers.asks if ask.ending != 'open']
        self._empty_answers = callers.empty_answers
        self._faults = faults

    def find_broken(self) -> list[str]:
        """List every promise that was broken, and by which request."""
        return [
            *self._check_each(),
            *self._check_time(),
            *self._check_order_of_tables(),
            *self._check_rollout(),
            *(f'registry: {name} named none' for name in self._empty_answers),
            *(f'stop: {name} took too long' for name in self._faults.overdue),
        ]

    def count_endings(self) -> Counter[str]:
        """Count requests by how they ended."""
        return Counter(
            f'{ask.route} {ask.status or ask.ending}' for ask in self._asks
        )

    def _check_each(self) -> Iterator[str]:
        for ask in self._asks:
            runs = self._fleet.ledger.runs.get(ask.request_id, [])
            for rule in (
                self._check_answer(ask, runs),
                self._check_runs(ask, runs),
                self._check_tables(ask, runs),
                self._check_leaving(ask, runs),
                self._check_loss(ask, runs),
            ):
                for text in rule:
                    yield self._tell(text, ask, runs)

    def _tell(self, text: str, ask: Ask, runs: list[Run]) -> str:
        acts = [f'{run.endpoint} {run.act} {run.at:.2f}' for run in runs]
        return (
            f'{text}: {ask.request_id} {ask.route} {ask.ending} {ask.status}'
            f' daemon {ask.life} sent {ask.sent_at:.2f}'
            f' ended {ask.ended_at:.2f} runs {acts}'
        )

    def _check_answer(self, ask: Ask, runs: list[Run]) -> Iterator[str]:
        if ask.status == _OK:
            name = ask.request_id.encode()
            whole = write_events(name) if ask.route == 'draft' else name
            if ask.body != whole:
                yield 'answer: not the exact bytes'
        if ask.status in _PROMISES and runs:
            yield 'refused: it had run'
        if ask.status in _DENIALS and ask.key == bounds.KEY:
            yield 'denied: every table allows it'

    def _check_runs(self, ask: Ask, runs: list[Run]) -> Iterator[str]:
        if ask.route == 'book' and len(runs) > 1:
            yield 'twice: a booking ran more than once'
        if len(runs) > bounds.MAX_ATTEMPTS:
            yield 'attempts: more endpoints than the route allows'
        workspace = bounds.WORKSPACE
        if ask.key != bounds.KEY:
            workspace = bounds.EXTRA_WORKSPACE
        if any(run.workspace != workspace for run in runs):
            yield 'workspace: not the one of the key'

    def _check_tables(self, ask: Ask, runs: list[Run]) -> Iterator[str]:
        if runs and ask.sent_at > self._find_end(ask.key) + bounds.REVOCATION_S:
            yield 'revoked: its key was taken away'
        if ask.route == 'look' or not self._is_in_touch(ask, bounds.APPLY_S):
            return
        allowed = {
            pool
            for pool, ended_at in self._list_pools()
            if ask.sent_at <= ended_at + bounds.APPLY_S
        }
        if any(run.service not in allowed for run in runs):
            yield 'table: only an older one allows it'

    def _find_end(self, key: str) -> float:
        """Give the moment at which a key was last taken away."""
        ended_at = float('-inf')
        for at, _, keys in self._fleet.tables:
            if key in keys:
                ended_at = float('inf')
            elif ended_at == float('inf'):
                ended_at = at
        return ended_at

    def _list_pools(self) -> Iterator[tuple[str, float]]:
        """Give each table's pool with the moment of the next table."""
        tables = self._fleet.tables
        ends = [at for at, _, _ in tables[1:]]
        for (_, pool, _), ended_at in zip(
            tables, [*ends, float('inf')], strict=True
        ):
            yield pool, ended_at

    def _is_in_touch(self, ask: Ask, before_s: float) -> bool:
        troubles = self._fleet.troubles
        since = ask.sent_at - before_s
        return all(
            troubles.is_calm(subject, since, ask.ended_at)
            for subject in ('store', ask.daemon.subject)
        )

    def _check_leaving(self, ask: Ask, runs: list[Run]) -> Iterator[str]:
        if not self._is_in_touch(ask, bounds.DRAIN_S):
            return
        for run in runs:
            left_at = self._fleet.left_at.get(run.endpoint, float('inf'))
            if run.at > left_at + bounds.DRAIN_S:
                yield 'drain: its endpoint was leaving'

    def _check_loss(self, ask: Ask, runs: list[Run]) -> Iterator[str]:
        if ask.ending != 'cut':
            return
        since = ask.sent_at - bounds.SETTLE_S
        troubles = self._fleet.troubles
        are_sound = all(
            troubles.is_calm(
                f'endpoint {run.endpoint}',
                since,
                ask.ended_at,
                bounds.ENDPOINT_SETTLE_S,
            )
            for run in runs
        )
        is_calm = are_sound and self._is_in_touch(ask, bounds.SETTLE_S)
        # Until the link has handed it on, the daemon cannot have read it.
        link = ask.daemon.caller_link
        handed_at = link.handed_at.get(ask.request_id, float('inf'))
        was_read = bool(runs) or ask.ended_at - handed_at > bounds.LOSS_S
        is_sound = all(run.act == 'serve' for run in runs)
        if is_calm and was_read and is_sound:
            yield 'lost: cut off without an answer'

    def _check_time(self) -> Iterator[str]:
        due_s = bounds.TIMEOUT_S + bounds.LATE_S
        waiting = [
            ask
            for ask in self._asks
            if self._is_in_touch(ask, 0)
            and ask.ended_at - ask.sent_at > bounds.TIMEOUT_S
        ]
        late = [ask for ask in waiting if ask.ended_at - ask.sent_at > due_s]
        if len(waiting) >= _LEAST and len(late) > len(waiting) / 2:
            yield f'time: {len(late)} of {len(waiting)} got no final answer'

    def _check_order_of_tables(self) -> Iterator[str]:
        """No daemon goes back to an older table within one life."""
        newest: dict[str, list[tuple[float, int]]] = {}
        runs = self._fleet.ledger.runs
        rows = [
            (run.at, ask, run)
            for ask in self._asks
            for run in runs.get(ask.request_id, [])
            if ask.route != 'look'
        ]
        for at, ask, run in sorted(rows, key=lambda row: row[0]):
            place = self._find_table(run.service, at)
            seen = newest.setdefault(ask.life, [])
            known = [
                number
                for seen_at, number in seen
                if seen_at + bounds.ROLLBACK_S < ask.sent_at
            ]
            if known and place < max(known):
                yield self._tell('back: an older table', ask, [run])
            seen.append((at, place))

    def _find_table(self, pool: str, at: float) -> int:
        """Find the newest table of then that sent work to a pool."""
        return max(
            number
            for number, (sent_at, found, _) in enumerate(self._fleet.tables)
            if found == pool and sent_at <= at
        )

    def _check_rollout(self) -> Iterator[str]:
        if self._faults.rollout_is_bad is None:
            return
        status = self._fleet.store.read('keyed.status').get(
            f'rollout/{bounds.DESK}', {}
        )
        state = status.get('state')
        if not self._faults.rollout_is_bad:
            return
        if state != 'rolled_back':
            yield f'rollout: a bad version is {state}'
        ordered_at = self._faults.ordered_at
        until = ordered_at + bounds.ROLLOUT_S
        versions = Counter(
            run.version
            for runs in self._fleet.ledger.runs.values()
            for run in runs
            if run.service == bounds.DESK and ordered_at <= run.at <= until
        )
        allowed = versions.total() * bounds.EXPOSURE_SHARE
        if versions['v2'] > allowed + bounds.EXPOSURE_EXTRA:
            yield f'exposure: {versions}'
