"""Rate limits that endpoints state in their answers."""

import enum
import math
from collections.abc import Iterator, MutableMapping, Sequence, Set
from typing import Any, Final

from attrs import evolve, frozen

from laurelwind.state.cold_endpoints import ColdTable
from laurelwind.state.directory import EndpointRecord

# Endpoints whose statements are kept; the newest statements count. Peers
# report limits as well, also of endpoints that no record names.
MAX_STATEMENTS: Final = 4096

# Name of an endpoint and the start time of its process in Unix milliseconds.
# A limit holds for one process: a restarted one has not stated any.
EndpointProcess = tuple[str, int]

# Stands for the start time in the key under which permits for a cold endpoint
# are granted. Daemons that know of its restart and those that do not yet must
# ask the same holder.
COLD_STARTED_MS: Final = -1


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

    A cold endpoint has a limit under a key of its own while it is cold.

    :param cold: the cold endpoints, or ``None`` if there are never any.
    :ivar cold: the cold endpoints.
    """

    def __init__(self, *, cold: ColdTable | None = None) -> None:
        self.cold = ColdTable() if cold is None else cold
        # Lowest limit of any process, by the name of the endpoint.
        self._rates: dict[str, float] = {}
        self._statements: dict[EndpointProcess, LimitStatement] = {}

    @property
    def limited_names(self) -> Set[str]:
        """Names of the endpoints with a limit in force."""
        return self._rates.keys() | self.cold.names

    def resolve(self, process: EndpointProcess) -> EndpointProcess:
        """Return the key under which permits are granted at the moment.

        :param process: the endpoint.
        """
        name, _ = process
        if self.cold.find(name) is None:
            return process
        return name, COLD_STARTED_MS

    def apply(
        self, process: EndpointProcess, statement: LimitStatement
    ) -> LimitChange | None:
        """Apply a statement; return what it changes.

        :param process: the endpoint.
        :param statement: what its answer says.
        """
        if is_cold_key(process):
            return None
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
        if is_cold_key(process):
            return self._find_cold(process[0])
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

    def _find_cold(self, name: str) -> LimitStatement | None:
        cold = self.cold.find(name)
        if cold is None:
            return None
        return LimitStatement(
            rate=min(cold.rate, self._rates.get(name, math.inf)),
            sent_at=cold.since,
            stated_at=cold.since,
            limited_at=cold.since,
        )

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
        self._rates = {}
        for (name, _), statement in self._statements.items():
            if statement.rate is not None:
                lowest = self._rates.get(name, math.inf)
                self._rates[name] = min(statement.rate, lowest)


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


def is_cold_key(process: EndpointProcess) -> bool:
    """Return whether a key is that of a cold endpoint's permits.

    :param process: the key.
    """
    return process[1] == COLD_STARTED_MS


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
