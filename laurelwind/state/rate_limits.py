"""Rate limits that endpoints state in their answers."""

import enum
import math
from collections.abc import Iterator, MutableMapping, Sequence, Set
from typing import Any, Final

from attrs import evolve, frozen

from laurelwind.state.directory import EndpointRecord

# Endpoints whose statements are kept; the newest statements count. Peers
# report limits as well, also of endpoints that no record names.
MAX_STATEMENTS: Final = 4096

# Name of an endpoint and the start time of its process in Unix milliseconds.
# A limit holds for one process: a restarted one has not stated any.
EndpointProcess = tuple[str, int]


@frozen(kw_only=True)
class LimitStatement:
    """What one answer of an endpoint says about its rate limit.

    The endpoint wrote it between ``sent_at`` and ``stated_at``, both on the
    monotonic clock.

    :ivar rate: requests per second from all daemons together, or ``None`` if
        the answer states no limit.
    :ivar sent_at: moment at which the request was sent.
    :ivar stated_at: moment at which the head of the answer arrived.
    :ivar limited_at: moment of the first statement of a limit since there was
        none.
    """

    rate: float | None
    sent_at: float
    stated_at: float
    limited_at: float = math.inf


class LimitChange(enum.StrEnum):
    """What a statement changes."""

    STATED = 'stated'
    CHANGED = 'changed'
    LIFTED = 'lifted'


class RateLimits:
    """The newest statement of each endpoint, merged in any order.

    :ivar limited_names: names of the endpoints with a limit in force.
    """

    def __init__(self) -> None:
        self.limited_names: frozenset[str] = frozenset()
        self._statements: dict[EndpointProcess, LimitStatement] = {}

    def apply(
        self, process: EndpointProcess, statement: LimitStatement
    ) -> LimitChange | None:
        """Apply a statement; return what it changes.

        :param process: the endpoint.
        :param statement: what its answer says.
        """
        known = self._statements.get(process)
        if known is None:
            if statement.rate is None:
                return None
            self._store(process, statement, limited_at=math.inf)
            self._list_names()
            return LimitChange.STATED
        if not _is_newer(statement, known):
            return None
        self._store(process, statement, limited_at=known.limited_at)
        change = _find_change(known.rate, statement.rate)
        if change is not None:
            self._list_names()
        return change

    def find(self, process: EndpointProcess) -> LimitStatement | None:
        """Return the statement of a limit that is in force, or ``None``.

        :param process: the endpoint.
        """
        statement = self._statements.get(process)
        if statement is None or statement.rate is None:
            return None
        return statement

    def find_newest(self, process: EndpointProcess) -> LimitStatement | None:
        """Return the newest statement, which may be that of no limit.

        :param process: the endpoint.
        """
        return self._statements.get(process)

    def iterate_rates(self) -> Iterator[float]:
        """Iterate over the limits in force, in requests per second."""
        for statement in self._statements.values():
            if statement.rate is not None:
                yield statement.rate

    def retain(self, names: set[str]) -> None:
        """Discard the statements of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        discard_removed(self._statements, names)
        self._list_names()

    def _store(
        self,
        process: EndpointProcess,
        statement: LimitStatement,
        *,
        limited_at: float,
    ) -> None:
        if statement.rate is None:
            limited_at = math.inf
        else:
            limited_at = min(
                limited_at, statement.limited_at, statement.stated_at
            )
        self._statements.pop(process, None)
        self._statements[process] = evolve(statement, limited_at=limited_at)
        if len(self._statements) > MAX_STATEMENTS:
            self._statements.pop(next(iter(self._statements)))

    def _list_names(self) -> None:
        self.limited_names = frozenset(
            name
            for (name, _), statement in self._statements.items()
            if statement.rate is not None
        )


def _is_newer(statement: LimitStatement, known: LimitStatement) -> bool:
    """Return whether a statement replaces the known one.

    Answers overtake each other. An answer without a limit lifts one only if its
    request was sent after the limit was last stated.
    """
    if statement.rate is None and known.rate is not None:
        return statement.sent_at >= known.stated_at
    return statement.stated_at > known.stated_at


def _find_change(
    before: float | None, after: float | None
) -> LimitChange | None:
    if before == after:
        return None
    if before is None:
        return LimitChange.STATED
    if after is None:
        return LimitChange.LIFTED
    return LimitChange.CHANGED


def get_process(endpoint: EndpointRecord) -> EndpointProcess:
    """Return the key of an endpoint's process.

    :param endpoint: the endpoint.
    """
    return endpoint.name, endpoint.started_ms


def discard_removed(
    entries: MutableMapping[EndpointProcess, Any], names: Set[str]
) -> None:
    """Discard the entries of endpoints that were removed.

    :param entries: entries by endpoint.
    :param names: names of the endpoints that remain.
    """
    for process in tuple(entries):
        if process[0] not in names:
            entries.pop(process)


def parse_rate_limit(texts: Sequence[str]) -> float | None:
    """Return the lowest limit of some headers, or ``None`` if all are invalid.

    :param texts: requests per second, each a decimal number of at least zero;
        a header may hold several, separated by commas.
    """
    rates = [
        rate
        for text in texts
        for number in text.split(',')
        if (rate := _parse_rate(number)) is not None
    ]
    return min(rates, default=None)


def _parse_rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate < math.inf else None
