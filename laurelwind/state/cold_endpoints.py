"""Endpoints that are cold, as this and other daemons know them."""

import math
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from attrs import evolve, frozen

from laurelwind.state.load import read_monotonic_clock

# Endpoints whose statements are kept; the newest statements count. Peers send
# statements as well, also of endpoints that no record names.
MAX_STATEMENTS: Final = 4096
# Sequence number of a statement that is not from an entry.
NO_SEQUENCE: Final = -1
# Smallest change of the end of the cold time, in seconds, that is passed on.
# Each daemon reads an entry at another moment, and would announce its own end.
MIN_CHANGE_S: Final = 1.0


@frozen(kw_only=True)
class ColdStatement:
    """Period in which an endpoint is down or cold.

    All moments are on the monotonic clock.

    :ivar started_ms: start time of the process, in Unix milliseconds.
    :ivar sequence: sequence number of the entry that states it, or
        ``NO_SEQUENCE`` if it follows from a failure.
    :ivar rate: permits per second while it is cold.
    :ivar since: moment of the failure, or at which the entry was read.
    :ivar reached_at: moment at which it answered again, infinite before.
    :ivar until: end of the cold time, infinite before it answers.
    :ivar is_confirmed: whether an attempt that began after the failure failed
        as well, or none could be connected. A single connection may break at an
        endpoint that goes on.
    :ivar is_private: whether it is not passed on to other daemons.
    """

    started_ms: int
    sequence: int = NO_SEQUENCE
    rate: float
    since: float
    reached_at: float = math.inf
    until: float = math.inf
    is_confirmed: bool = False
    is_private: bool = False

    @property
    def is_reached(self) -> bool:
        """Whether the endpoint has answered since it failed."""
        return self.reached_at < math.inf

    @property
    def progress(self) -> tuple[int, int]:
        """Sort key of the entry that states it."""
        return self.started_ms, self.sequence


class ColdTable:
    """The newest statement of each endpoint, merged in any order.

    :param clock: monotonic clock, in seconds.
    :ivar names: names of endpoints that were cold at the last change.
    :ivar unknown: statements about endpoints that count as cold as this daemon
        cannot know their state, by name.
    """

    def __init__(
        self, *, clock: Callable[[], float] = read_monotonic_clock
    ) -> None:
        self.names: frozenset[str] = frozenset()
        self.unknown: Mapping[str, ColdStatement] = {}
        self._clock = clock
        self._statements: dict[str, ColdStatement] = {}

    def apply(self, name: str, statement: ColdStatement) -> bool:
        """Apply a statement; return whether it is a change to pass on.

        :param name: name of the endpoint.
        :param statement: the statement.
        """
        known = self._statements.pop(name, None)
        merged = statement if known is None else _merge(known, statement)
        self._statements[name] = merged
        if len(self._statements) > MAX_STATEMENTS:
            self._statements.pop(next(iter(self._statements)))
        self.refresh()
        return self._is_change(known, merged)

    def find(self, name: str) -> ColdStatement | None:
        """Return the statement of an endpoint that counts as cold, or ``None``.

        :param name: name of the endpoint.
        """
        return self.find_known(name) or self.unknown.get(name)

    def find_known(self, name: str) -> ColdStatement | None:
        """Return the statement of an endpoint known as cold, or ``None``.

        :param name: name of the endpoint.
        """
        statement = self._statements.get(name)
        if statement is None or statement.until <= self._clock():
            return None
        return statement

    def set_unknown(self, unknown: Mapping[str, ColdStatement]) -> None:
        """Replace the endpoints whose state this daemon cannot know.

        :param unknown: a statement for each of them, by name.
        """
        self.unknown = unknown
        self.refresh()

    def find_newest(self, name: str) -> ColdStatement | None:
        """Return the newest statement, which may have ended.

        :param name: name of the endpoint.
        """
        return self._statements.get(name)

    def iterate_cold(self) -> Iterator[tuple[str, ColdStatement]]:
        """Iterate over the endpoints that are known to be cold."""
        now = self._clock()
        for name, statement in self._statements.items():
            if statement.until > now:
                yield name, statement

    def refresh(self) -> None:
        """Leave out the names of endpoints whose cold time has ended."""
        known = frozenset(name for name, _ in self.iterate_cold())
        self.names = known.union(self.unknown)

    def retain(self, names: set[str]) -> None:
        """Discard the statements of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        for name in tuple(self._statements):
            if name not in names:
                self._statements.pop(name)
        self.refresh()

    def _is_change(
        self, known: ColdStatement | None, merged: ColdStatement
    ) -> bool:
        if known is not None and merged.is_confirmed > known.is_confirmed:
            return True
        now = self._clock()
        before = now if known is None else max(known.until, now)
        after = max(merged.until, now)
        return before != after and abs(after - before) >= MIN_CHANGE_S


def _merge(known: ColdStatement, statement: ColdStatement) -> ColdStatement:
    """Return what two statements about an endpoint tell together."""
    if NO_SEQUENCE not in {known.sequence, statement.sequence}:
        return _merge_entries(known, statement)
    if statement.since >= known.reached_at:
        return statement
    if known.since > statement.reached_at:
        return known
    # Nothing was reached between the two failures: it is one outage.
    return evolve(
        known,
        started_ms=max(known.started_ms, statement.started_ms),
        since=min(known.since, statement.since),
        reached_at=min(known.reached_at, statement.reached_at),
        until=min(known.until, statement.until),
        is_confirmed=known.is_confirmed or statement.is_confirmed,
        is_private=known.is_private and statement.is_private,
    )


def _merge_entries(
    known: ColdStatement, statement: ColdStatement
) -> ColdStatement:
    if statement.progress != known.progress:
        return max(known, statement, key=lambda other: other.progress)
    # Whoever read the entry first is closest to the true end.
    return min(known, statement, key=lambda other: other.until)
