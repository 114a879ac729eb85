"""Notifies all that keep state by a name that the name has left.

One component compares what is there with what was there before. State by
endpoint, service, route or member is discarded by its listeners, so that no
table needs a rule of its own for what has left.
"""

import enum
from collections.abc import Callable, Mapping, Set
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from laurelwind.decisions import DecisionLog
from laurelwind.state.departed_names import DepartedNames
from laurelwind.state.load import read_monotonic_clock

# Seconds between two checks.
CHECK_PERIOD_S: Final = 5.0
# Seconds for which a departure is repeated. An answer in progress, or what a
# peer reports late, may create state of what has left once more.
REPEAT_S: Final = 60.0
# Most names of a subject whose departure is repeated; the newest count.
MAX_REPEATED: Final = 4096
# Most names in one log line.
MAX_LOGGED_NAMES: Final = 8


class Subject(enum.StrEnum):
    """What state is kept by, and may leave.

    The name of an endpoint is never used again. An address may be taken over
    by another endpoint. A version is named by service and version.
    """

    ENDPOINT = 'endpoint'
    ADDRESS = 'address'
    VERSION = 'version'
    SERVICE = 'service'
    ROUTE = 'route'
    WORKSPACE = 'workspace'
    MEMBER = 'member'


@frozen(kw_only=True)
class Departure:
    """What left, and what remains.

    :ivar left: names that left within the last ``REPEAT_S``.
    :ivar remaining: names that are there.
    """

    left: Set[str]
    remaining: Set[str]


# Returns the names that are there, or ``None`` while they are not known.
ListNames = Callable[[], Set[str] | None]
Listener = Callable[[Departure], None]


class _Presence:
    """The names of one subject, and those that left lately."""

    def __init__(self) -> None:
        self._known: Set[str] = frozenset()
        self._left_at: dict[str, float] = {}
        self._newest = DepartedNames(limit=MAX_REPEATED)

    @property
    def left(self) -> Set[str]:
        """Names that left within the last ``REPEAT_S``."""
        return self._left_at.keys()

    def update(self, remaining: Set[str], now: float) -> Set[str]:
        """Apply the names that are there, and return those that left."""
        departed = self._known - remaining
        self._known = frozenset(remaining)
        for name in self._left_at.keys() & remaining:
            self._forget(name)
        for name in tuple(self._left_at):
            if self._left_at[name] < now - REPEAT_S:
                self._forget(name)
        for name in departed:
            self._left_at[name] = now
            for forgotten in self._newest.add(name):
                self._left_at.pop(forgotten)
        return departed

    def _forget(self, name: str) -> None:
        self._left_at.pop(name)
        self._newest.discard(name)


class Departures:
    """Owns the event that a name has left.

    :param sources: lists the names that are there, by subject.
    :param count: called with each subject and the number of names that left.
    :param log: the decision log.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        sources: Mapping[Subject, ListNames],
        count: Callable[[Subject, int], None],
        log: DecisionLog,
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self._sources = sources
        self._count = count
        self._log = log
        self._clock = clock
        self._presences = {subject: _Presence() for subject in sources}
        self._listeners: dict[Subject, list[Listener]] = {}

    def add_listener(self, subject: Subject, listener: Listener) -> None:
        """Register a callback for departures.

        It is called with each departure, and repeatedly for ``REPEAT_S`` after
        it, so that it may discard state that came back.

        :param subject: what its state is kept by.
        :param listener: discards the state of names that left.
        """
        self._listeners.setdefault(subject, []).append(listener)

    def start(self, group: TaskGroup) -> None:
        """Start to check periodically.

        :param group: task group of the daemon.
        """
        group.start_soon(self._check_periodically)

    def check(self) -> None:
        """Notify the listeners of all that has left."""
        for subject, list_names in self._sources.items():
            remaining = list_names()
            # Nothing has left while it is not known what is there.
            if remaining is not None:
                self._check_subject(subject, remaining)

    def _check_subject(self, subject: Subject, remaining: Set[str]) -> None:
        presence = self._presences[subject]
        departed = presence.update(remaining, self._clock())
        if departed:
            self._count(subject, len(departed))
            self._log.log_info(
                'departed',
                subject=subject,
                count=len(departed),
                names=sorted(departed)[:MAX_LOGGED_NAMES],
                remaining=len(remaining),
            )
        if presence.left:
            departure = Departure(
                left=frozenset(presence.left), remaining=remaining
            )
            for listener in self._listeners.get(subject, ()):
                listener(departure)

    async def _check_periodically(self) -> None:
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            self.check()
