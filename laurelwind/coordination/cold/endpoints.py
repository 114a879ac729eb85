"""Learns which endpoints are cold, from failures, answers and entries."""

import math
from collections.abc import Callable
from typing import Final

from attrs import evolve, frozen

from laurelwind.coordination.cold.rates import (
    ColdBounds,
    ColdRates,
    compute_rates,
)
from laurelwind.decisions import DecisionLog
from laurelwind.state.cold_endpoints import (
    NO_SEQUENCE,
    ColdStatement,
    ColdTable,
)
from laurelwind.state.directory import EndpointEntry, EndpointRecord
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.routes import Service

# Seconds after a failure from which an answer to an earlier request proves that
# the process goes on: what it sent before a crash has been read by then.
PROOF_DELAY_S: Final = 0.25
# Shortest time, in seconds, in which a process can crash and serve again. A
# request that begins within it and is answered proves that the process goes on,
# if no other attempt failed.
MIN_RESTART_S: Final = 0.5
# Largest possible age of an entry, in seconds, whose cold time is passed on to
# other daemons: an entry that was there before may be much older.
MAX_SHARED_AGE_S: Final = 5.0


@frozen(kw_only=True)
class ColdEvent:
    """A change that the other daemons need to know.

    :ivar name: name of the endpoint.
    :ivar statement: the newest statement about it.
    """

    name: str
    statement: ColdStatement


@frozen(kw_only=True)
class ColdDependencies:
    """Collaborators of :class:`ColdEndpoints`.

    :ivar bounds: the bound, or ``None`` if no endpoint is ever cold.
    :ivar find_service: returns the service of a name in the routing table.
    :ivar has_survived: whether a process is known to have gone on after the
        moment of a failure.
    :ivar record_end: called with the name of an endpoint whose cold time has
        ended, and its length in seconds.
    :ivar log: decision log.
    :ivar clock: monotonic clock, in seconds.
    """

    bounds: ColdBounds | None
    find_service: Callable[[str], Service | None]
    has_survived: Callable[[str, int, float], bool]
    record_end: Callable[[str, float], None]
    log: DecisionLog
    clock: Callable[[], float] = read_monotonic_clock


class ColdEndpoints:
    """The cold endpoints, as far as this daemon knows.

    An endpoint that fails counts as restarted, and so as cold from its next
    answer on, until there is proof that its process went on.

    :param dependencies: collaborators.
    :ivar table: what is known of each endpoint.
    """

    def __init__(self, *, dependencies: ColdDependencies) -> None:
        self.table = ColdTable(clock=dependencies.clock)
        self._dependencies = dependencies
        self._listeners: list[Callable[[ColdEvent], None]] = []
        # Moments since which endpoints are logged as cold.
        self._cold_since: dict[str, float] = {}
        # Endpoints whose failure this daemon has announced and that it has not
        # reached since. A daemon without a link to an endpoint would otherwise
        # keep it cold for all others.
        self._announced: set[str] = set()

    @property
    def is_enabled(self) -> bool:
        """Whether any endpoint can be cold."""
        return self._dependencies.bounds is not None

    def add_listener(self, listener: Callable[[ColdEvent], None]) -> None:
        """Register a callback for changes that other daemons need to know.

        :param listener: called with each change.
        """
        self._listeners.append(listener)

    def find_rates(self, service: str) -> ColdRates | None:
        """Return the rates for cold endpoints, or ``None`` if it has none.

        :param service: name of the service.
        """
        return compute_rates(
            self._dependencies.find_service(service), self._dependencies.bounds
        )

    def record_failure(
        self,
        endpoint: EndpointRecord,
        failed_at: float,
        *,
        sent_at: float | None = None,
    ) -> None:
        """Record that an endpoint may have restarted.

        :param endpoint: the endpoint.
        :param failed_at: moment at which a connection broke, or from which none
            could be opened.
        :param sent_at: moment at which the request was sent, or ``None`` if no
            connection could be opened.
        """
        rates = self.find_rates(endpoint.service)
        known = self.table.find_newest(endpoint.name)
        if known is not None and failed_at < known.reached_at:
            # The outage is known, or the failure is of the time before it.
            self._confirm(endpoint.name, known, sent_at)
            return
        if rates is None or endpoint.name in self._announced:
            return
        self._announced.add(endpoint.name)
        self.apply(
            endpoint.name,
            ColdStatement(
                started_ms=endpoint.started_ms,
                rate=rates.permits_per_s,
                since=failed_at,
                is_confirmed=sent_at is None,
            ),
        )

    def record_answer(self, endpoint: EndpointRecord, sent_at: float) -> None:
        """Record that an endpoint answers.

        :param endpoint: the endpoint.
        :param sent_at: moment at which the request was sent.
        """
        self._announced.discard(endpoint.name)
        known = self.table.find_known(endpoint.name)
        if known is None or known.is_reached:
            return
        rates = self.find_rates(endpoint.service)
        if rates is None:
            return
        now = self._dependencies.clock()
        is_earlier = sent_at < known.since
        if not is_earlier and (
            known.is_confirmed or sent_at > known.since + MIN_RESTART_S
        ):
            self.apply(
                endpoint.name,
                evolve(known, reached_at=now, until=now + rates.cold_start_s),
            )
        elif not is_earlier or now >= known.since + PROOF_DELAY_S:
            self._lift(endpoint.name, known)

    def record_entry(self, entry: EndpointEntry) -> None:
        """Record what the entry of an endpoint states.

        :param entry: the entry.
        """
        record = entry.record
        rates = self.find_rates(record.service)
        if rates is None:
            return
        cold_s = self._read_cold_time(entry, rates)
        if cold_s is None or self._may_precede_failure(entry):
            return
        known = self.table.find_known(record.name)
        if cold_s:
            now = self._dependencies.clock()
            self.apply(
                record.name,
                ColdStatement(
                    started_ms=record.started_ms,
                    sequence=record.sequence,
                    rate=rates.permits_per_s,
                    since=now,
                    reached_at=now,
                    until=now + cold_s,
                    is_private=entry.max_age_s > MAX_SHARED_AGE_S,
                ),
            )
        elif known is not None:
            self._lift(record.name, known, record.sequence)

    def record_return(self, endpoint: EndpointRecord) -> None:
        """Record that an endpoint takes requests again after an evacuation.

        :param endpoint: the endpoint.
        """
        rates = self.find_rates(endpoint.service)
        cold_s = endpoint.cold_s
        # An infinite time stands for one that could not be read.
        is_stated = cold_s is not None and math.isfinite(cold_s)
        if rates is None or is_stated:
            return
        now = self._dependencies.clock()
        self.apply(
            endpoint.name,
            ColdStatement(
                started_ms=endpoint.started_ms,
                rate=rates.permits_per_s,
                since=now,
                reached_at=now,
                until=now + rates.cold_start_s,
            ),
        )

    def apply(self, name: str, statement: ColdStatement) -> None:
        """Apply a statement of this or another daemon.

        :param name: name of the endpoint.
        :param statement: the statement.
        """
        if not self.is_enabled:
            return
        is_change = self.table.apply(name, statement)
        merged = self.table.find_newest(name)
        if merged is None:
            return
        self._log_start(name, merged)
        if is_change and not merged.is_private:
            event = ColdEvent(name=name, statement=merged)
            for listener in self._listeners:
                listener(event)

    def review(self) -> None:
        """Lift what is disproved, and end what is over."""
        for name, statement in tuple(self.table.iterate_cold()):
            if not statement.is_reached and self._dependencies.has_survived(
                name, statement.started_ms, statement.since
            ):
                self._lift(name, statement)
        self.table.refresh()
        for name in tuple(self._cold_since):
            if self.table.find_known(name) is None:
                self._end(name)

    def retain(self, names: set[str]) -> None:
        """Discard what is known of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        self.table.retain(names)
        self._announced &= names
        for name in tuple(self._cold_since):
            if name not in names:
                self._cold_since.pop(name)

    def _confirm(
        self, name: str, known: ColdStatement, sent_at: float | None
    ) -> None:
        """Record that an endpoint fails whatever it is sent."""
        if known.is_reached or known.is_confirmed:
            return
        if sent_at is None or sent_at >= known.since:
            self.apply(name, evolve(known, is_confirmed=True))

    def _lift(
        self, name: str, known: ColdStatement, sequence: int | None = None
    ) -> None:
        now = self._dependencies.clock()
        lifted = evolve(
            known,
            reached_at=min(known.reached_at, now),
            until=now,
            is_private=False,
        )
        if sequence is not None and lifted.sequence != NO_SEQUENCE:
            lifted = evolve(lifted, sequence=max(sequence, known.sequence))
        self.apply(name, lifted)

    def _may_precede_failure(self, entry: EndpointEntry) -> bool:
        """Return whether an entry may be of the time before a known failure."""
        known = self.table.find_known(entry.record.name)
        if known is None or known.sequence != NO_SEQUENCE:
            return False
        written_at = self._dependencies.clock() - entry.max_age_s
        return (
            entry.record.started_ms <= known.started_ms
            and written_at < known.since
        )

    def _read_cold_time(
        self, entry: EndpointEntry, rates: ColdRates
    ) -> float | None:
        """Return the cold time in seconds, or ``None`` if it is unknown."""
        record = entry.record
        if record.cold_s is None:
            is_start = entry.is_new_process and math.isfinite(entry.max_age_s)
            return rates.cold_start_s if is_start else None
        if math.isfinite(record.cold_s):
            return record.cold_s
        if not entry.is_new_cold_time:
            return None
        self._dependencies.log.log_warning(
            'cold_time_ignored',
            endpoint=record.name,
            cold_for_s=rates.cold_start_s,
        )
        return rates.cold_start_s

    def _log_start(self, name: str, statement: ColdStatement) -> None:
        now = self._dependencies.clock()
        if statement.until <= now or name in self._cold_since:
            return
        self._cold_since[name] = now
        self._dependencies.log.log_warning(
            'endpoint_cold',
            endpoint=name,
            is_reached=statement.is_reached,
            is_stated=statement.sequence != NO_SEQUENCE,
            cold_for_s=round(statement.until - now, 3)
            if statement.is_reached
            else None,
            permits_per_s=statement.rate,
        )

    def _end(self, name: str) -> None:
        now = self._dependencies.clock()
        lasted_s = now - self._cold_since.pop(name)
        self._dependencies.record_end(name, lasted_s)
        self._dependencies.log.log_warning(
            'endpoint_warm', endpoint=name, lasted_s=round(lasted_s, 3)
        )
