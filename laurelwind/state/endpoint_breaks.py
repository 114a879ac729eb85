"""Tells the crashes of an endpoint from the failures while it is down."""

import itertools
import math
from collections import deque
from collections.abc import Iterator, Sequence
from operator import attrgetter
from typing import Final

from attrs import define, field, frozen

# Seconds within which the connections to an endpoint break as it crashes, and
# the daemons that lose one receive the notices of each other.
CRASH_S: Final = 0.25
# The most endpoints, and series of breaks of each, that are kept; the newest
# count.
MAX_ENDPOINTS: Final = 1024
MAX_BREAKS: Final = 16


@frozen(kw_only=True)
class EndpointBreak:
    """A connection to an endpoint that broke.

    Moments are on the monotonic clock of the daemon that holds it.

    :ivar endpoint: the endpoint and the start time of its process.
    :ivar broke_at: moment at which the connection broke.
    :ivar alive_at: moment at which the endpoint last sent an event to the
        daemon that lost the connection, or minus infinity.
    """

    endpoint: str
    broke_at: float
    alive_at: float


@frozen(kw_only=True)
class EndpointSurvival:
    """An attempt that went on while other connections to its endpoint broke.

    Moments are on the monotonic clock of the daemon that holds it.

    :ivar endpoint: the endpoint and the start time of its process.
    :ivar sent_at: moment of sending.
    :ivar alive_at: moment of an event.
    """

    endpoint: str
    sent_at: float
    alive_at: float


class EndpointBreaks:
    """What is known of the broken connections to each endpoint.

    An endpoint that is down, behind a proxy, breaks whatever it is sent.  Only
    what breaks together with the first connection may have caused the outage.
    A crash breaks all connections, so that an endpoint with an attempt that
    went on has not crashed.
    """

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}

    def record(self, broken: EndpointBreak) -> bool:
        """Record a broken connection; return whether it begins an outage.

        :param broken: the connection.
        """
        history = self._get_history(broken.endpoint)
        known = history.outages
        history.add(broken)
        return len(history.outages) != len(known) or any(
            after < before - CRASH_S
            for before, after in zip(known, history.outages, strict=True)
        )

    def find_survival(
        self, endpoint: str, sent_at: float, now: float
    ) -> EndpointSurvival | None:
        """Return what an event proves, if it tells against a known crash.

        A daemon that stood still may read late what was sent before the crash.
        So there must have been another such event ``CRASH_S`` before.

        :param endpoint: the endpoint and the start time of its process.
        :param sent_at: moment at which the attempt was sent.
        :param now: moment of the event.
        """
        history = self._histories.get(endpoint)
        if history is None or not history.has_outage_between(sent_at, now):
            return None
        if not history.has_outage_between(sent_at, history.received_at):
            history.received_at = now
        if now - history.received_at < CRASH_S:
            return None
        return EndpointSurvival(
            endpoint=endpoint, sent_at=sent_at, alive_at=now
        )

    def record_survival(self, survival: EndpointSurvival) -> bool:
        """Record that an endpoint went on; return whether it is new.

        :param survival: the attempt that went on.
        """
        return self._get_history(survival.endpoint).add_survival(survival)

    def has_survived(self, endpoint: str, broke_at: float) -> bool:
        """Return whether an endpoint went on as a connection broke.

        :param endpoint: the endpoint and the start time of its process.
        :param broke_at: moment at which the connection broke.
        """
        history = self._histories.get(endpoint)
        return history is not None and any(
            survival.sent_at < broke_at
            and broke_at + CRASH_S < survival.alive_at
            for survival in history.survivals
        )

    def list_survivals(self, since: float) -> Iterator[EndpointSurvival]:
        """Iterate over the attempts that went on.

        :param since: earliest moment of an event.
        """
        for history in self._histories.values():
            for survival in history.survivals:
                if survival.alive_at >= since:
                    yield survival

    def find_lifetime(self, endpoint: str, broke_at: float) -> str | None:
        """Return the lifetime of an endpoint that ended as a connection broke.

        :param endpoint: the endpoint and the start time of its process.
        :param broke_at: moment at which the connection broke.
        :returns: a name that no other lifetime of any endpoint has, or ``None``
            if the endpoint had been down before.
        """
        history = self._histories.get(endpoint)
        outages = () if history is None else history.outages
        for number, started_at in enumerate(outages):
            if started_at <= broke_at <= started_at + CRASH_S:
                return f'{number}/{endpoint}'
        return None

    def find_outage(
        self, endpoint: str, broke_at: float
    ) -> EndpointBreak | None:
        """Return the first break of an outage in which a connection broke.

        :param endpoint: the endpoint and the start time of its process.
        :param broke_at: moment at which the connection broke.
        :returns: ``None`` if the endpoint went down as it broke.
        """
        history = self._histories.get(endpoint)
        if history is None or self.find_lifetime(endpoint, broke_at):
            return None
        outages = [at for at in history.outages if at < broke_at]
        if not outages:
            return None
        return EndpointBreak(
            endpoint=endpoint, broke_at=outages[-1], alive_at=-math.inf
        )

    def _get_history(self, endpoint: str) -> '_History':
        history = self._histories.pop(endpoint, None) or _History()
        self._histories[endpoint] = history
        if len(self._histories) > MAX_ENDPOINTS:
            self._histories.pop(next(iter(self._histories)))
        return history


@define(kw_only=True)
class _Series:
    """Broken connections that followed each other within ``CRASH_S``.

    The endpoint was alive for the last time at ``alive_at`` before them, as far
    as is known.
    """

    started_at: float
    ended_at: float
    alive_at: float = -math.inf

    def is_within(self, sent_at: float, alive_at: float) -> bool:
        """Return whether an attempt was under way before and after them.

        :param sent_at: moment of sending.
        :param alive_at: moment of an event.
        """
        return sent_at < self.started_at and self.ended_at + CRASH_S < alive_at


@define
class _History:
    """Broken connections to one endpoint, whatever the order of the notices.

    :ivar outages: moments at which the endpoint went down.
    :ivar survivals: attempts that went on, the newest at the end.
    :ivar received_at: moment of an event that may contradict a crash.
    """

    outages: Sequence[float] = ()
    survivals: deque[EndpointSurvival] = field(
        factory=lambda: deque(maxlen=MAX_BREAKS)
    )
    received_at: float = -math.inf
    _breaks: list[_Series] = field(factory=list)

    def add(self, broken: EndpointBreak) -> None:
        """Add a broken connection.

        :param broken: the connection.
        """
        alive_at = [series.alive_at for series in self._breaks]
        alive_at.append(broken.alive_at)
        self._breaks.append(
            _Series(started_at=broken.broke_at, ended_at=broken.broke_at)
        )
        self._breaks.sort(key=attrgetter('started_at'))
        self._merge()
        for series in self._breaks:
            # A notice that was long under way shows its moments too late.
            until = series.started_at + CRASH_S
            series.alive_at = max(
                (at for at in alive_at if at <= until), default=-math.inf
            )
        self._find_outages()

    def add_survival(self, survival: EndpointSurvival) -> bool:
        """Add an attempt that went on; return whether it is new.

        :param survival: the attempt.
        """
        if any(
            survival.sent_at >= known.sent_at - CRASH_S
            and survival.alive_at <= known.alive_at + CRASH_S
            for known in self.survivals
        ):
            return False
        self.survivals.append(survival)
        self._find_outages()
        return True

    def has_outage_between(self, sent_at: float, alive_at: float) -> bool:
        """Return whether an attempt was under way before and after an outage.

        :param sent_at: moment of sending.
        :param alive_at: moment of an event.
        """
        return any(
            series.started_at in self.outages
            and series.is_within(sent_at, alive_at)
            for series in self._breaks
        )

    def _find_outages(self) -> None:
        """Find the series of breaks that may be crashes."""
        crashes = [
            series
            for series in self._breaks
            if not any(
                series.is_within(survival.sent_at, survival.alive_at)
                for survival in self.survivals
            )
        ]
        self.outages = [
            *(series.started_at for series in crashes[:1]),
            *(
                later.started_at
                for earlier, later in itertools.pairwise(crashes)
                if later.alive_at > earlier.ended_at + CRASH_S
            ),
        ]

    def _merge(self) -> None:
        """Merge the series that are close, and the oldest of too many."""
        for earlier, later in list(itertools.pairwise(self._breaks)):
            is_close = later.started_at <= earlier.ended_at + CRASH_S
            if is_close or len(self._breaks) > MAX_BREAKS:
                later.started_at = earlier.started_at
                later.ended_at = max(earlier.ended_at, later.ended_at)
                self._breaks.remove(earlier)
