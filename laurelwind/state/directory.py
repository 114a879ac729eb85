"""Directory of serving endpoints, built from the records they register."""

import math
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from attrs import evolve, frozen

from laurelwind.state.departed_names import DepartedNames

# Seconds within which lapsed records reappear after an outage of the store; its
# documentation states about two.
LAPSE_GRACE_S: Final = 2.2
_NO_PROGRESS: Final = (-1, -1)
# The most endpoints of which is kept that they leave; the newest notes count.
# Peers tell of them as well, also of endpoints that no record names.
MAX_LEAVING: Final = 4096
# The most endpoints that left whose last report is remembered; the newest
# count.
MAX_DEPARTED: Final = 4096


@frozen(kw_only=True)
class EndpointRecord:
    """Registration record that an endpoint publishes.

    :ivar name: name of the endpoint, never reused for another one.
    :ivar service: name of its service.
    :ivar address: ``host:port``.
    :ivar zone: its availability zone.
    :ivar version: version of its software.
    :ivar slots: number of requests that it runs concurrently.
    :ivar is_draining: whether it accepts no new requests.
    :ivar started_ms: start time of the process, in Unix milliseconds.
    :ivar sequence: sequence number of this report since ``started_ms``.
    :ivar cold_s: seconds for which it is cold, infinite if the report states no
        valid time, or ``None`` if it states none.
    """

    name: str
    service: str
    address: str
    zone: str = ''
    version: str = ''
    slots: int = 1
    is_draining: bool = False
    started_ms: int = 0
    sequence: int = 0
    cold_s: float | None = None

    @property
    def progress(self) -> tuple[int, int]:
        """Sort key that grows with each report, to detect outdated reports."""
        return (self.started_ms, self.sequence)


@frozen(kw_only=True)
class EndpointEntry:
    """A report that was not known before.

    :ivar record: the report.
    :ivar is_new_process: whether it is the first one known of its process.
    :ivar is_new_cold_time: whether it states another cold time than the last.
    :ivar max_age_s: seconds since it was written, at most; infinite for what
        was there when the directory was first read.
    """

    record: EndpointRecord
    is_new_process: bool
    is_new_cold_time: bool
    max_age_s: float


@frozen(kw_only=True)
class _Entry:
    record: EndpointRecord
    offset: int
    drop_at: float | None = None


class EndpointDirectory:
    """Usable endpoints, by name and by service.

    A record removed during or shortly after an outage of the store may only
    have lapsed: it stays usable for a grace period, and is dropped if it has
    not reappeared by the end.  The reports of an endpoint are ordered by their
    progress, so that a store restored from an older copy takes none back.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._ready_by_service: dict[str, list[EndpointRecord]] = {}
        self._offsets: dict[str, int] = {}
        self._progress_by_name: dict[str, tuple[int, int]] = {}
        self._leaving: dict[str, int] = {}
        self._departed = DepartedNames(limit=MAX_DEPARTED)
        self.changes = 0
        self._listeners: list[Callable[[EndpointEntry], None]] = []

    def add_listener(self, listener: Callable[[EndpointEntry], None]) -> None:
        """Register a callback for reports that were not known before.

        :param listener: called with each report.
        """
        self._listeners.append(listener)

    @property
    def has_lapsed_records(self) -> bool:
        """Whether any removed record is still within its grace period."""
        return any(
            entry.drop_at is not None for entry in self._entries.values()
        )

    def list_ready(self, service: str) -> list[EndpointRecord]:
        """List the endpoints of a service that accept new requests.

        :param service: name of the service.
        """
        return self._ready_by_service.get(service, [])

    def count_ready(self) -> dict[str, int]:
        """Count the endpoints that accept new requests, by service."""
        return {
            name: len(records)
            for name, records in self._ready_by_service.items()
        }

    def find(self, name: str) -> EndpointRecord | None:
        """Return the endpoint of a name, or ``None``.

        :param name: name of the endpoint.
        """
        entry = self._entries.get(name)
        return None if entry is None else entry.record

    def list_zone(self, zone: str) -> list[EndpointRecord]:
        """List the endpoints of an availability zone.

        :param zone: the zone.
        """
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record.zone == zone
        ]

    def list_names(self) -> set[str]:
        """Return the names of all endpoints in the directory."""
        return set(self._entries)

    def list_addresses(self) -> set[str]:
        """Return the addresses of all endpoints in the directory."""
        return {entry.record.address for entry in self._entries.values()}

    def list_versions(self) -> set[str]:
        """Return the versions of all endpoints, as ``SERVICE@VERSION``."""
        records = (entry.record for entry in self._entries.values())
        return {f'{record.service}@{record.version}' for record in records}

    def apply(
        self,
        name: str,
        record: EndpointRecord | None,
        *,
        offset: int,
        grace_until: float | None = None,
        max_age_s: float = math.inf,
    ) -> bool:
        """Apply one record.

        :param name: name of the endpoint.
        :param record: the record, or ``None`` if it was removed or cannot be
            read.
        :param offset: offset of the record in its source; a record that is not
            newer than the last one for the name is ignored.
        :param grace_until: end of the grace period for a removal, or ``None``
            to drop the endpoint at once.
        :param max_age_s: seconds since the record was written, at most.
        :returns: whether the directory changed.
        """
        if offset <= self._offsets.get(name, -1):
            return False
        self._offsets[name] = offset
        if name not in self._entries:
            self._forget_oldest(name)
        if record is None:
            return self._remove(name, offset, grace_until)
        previous = self._entries.get(name)
        is_repeated = previous is not None and previous.record == record
        known_progress = self._progress_by_name.get(name, _NO_PROGRESS)
        if record.progress <= known_progress and not is_repeated:
            return False
        self._progress_by_name[name] = record.progress
        self._entries[name] = _Entry(record=record, offset=offset)
        self._departed.discard(name)
        is_unchanged = previous is not None and _is_unchanged(previous, record)
        if not is_unchanged:
            self._rebuild()
        if record.progress > known_progress:
            self._report(previous, record, known_progress, max_age_s)
        return not is_unchanged

    def record_leaving(self, name: str, started_ms: int) -> bool:
        """Record that an endpoint reports that it is about to stop.

        It holds for one lifetime of the endpoint, also where an outdated record
        is applied later; a process started after it is not affected.

        :param name: name of the endpoint.
        :param started_ms: start time of its process, in Unix milliseconds.
        :returns: whether it was not known before.
        """
        if started_ms <= self._leaving.get(name, -1):
            return False
        self._leaving.pop(name, None)
        self._leaving[name] = started_ms
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))
        self._rebuild()
        return True

    def retain(
        self,
        names: Mapping[str, int],
        *,
        before: int,
        grace_until: float | None = None,
    ) -> bool:
        """Remove the endpoints that a complete listing does not contain.

        :param names: offset of each listed record, by endpoint name.
        :param before: end offset of the source when the listing began; newer
            records stay.
        :param grace_until: end of the grace period for the removals, or
            ``None`` to drop the endpoints at once.
        :returns: whether any endpoint was missing from the listing.
        """
        missing = [
            name
            for name, entry in self._entries.items()
            if name not in names and entry.offset < before
        ]
        for name in missing:
            self._remove(name, before, grace_until)
        return bool(missing)

    def expire(self, now: float) -> bool:
        """Drop lapsed records whose grace period has ended.

        :param now: current time, on the clock of ``grace_until``.
        :returns: whether any record was dropped.
        """
        expired = [
            name
            for name, entry in self._entries.items()
            if entry.drop_at is not None and entry.drop_at <= now
        ]
        for name in expired:
            self._drop(name)
        if expired:
            self._rebuild()
        return bool(expired)

    def _report(
        self,
        previous: _Entry | None,
        record: EndpointRecord,
        known_progress: tuple[int, int],
        max_age_s: float,
    ) -> None:
        is_new_process = record.started_ms > known_progress[0]
        entry = EndpointEntry(
            record=record,
            is_new_process=is_new_process,
            is_new_cold_time=(
                is_new_process
                or previous is None
                or previous.record.cold_s != record.cold_s
            ),
            max_age_s=max_age_s,
        )
        for listener in self._listeners:
            listener(entry)

    def _remove(
        self, name: str, offset: int, grace_until: float | None
    ) -> bool:
        entry = self._entries.get(name)
        if entry is None:
            return False
        if grace_until is None or entry.record.is_draining:
            self._drop(name)
            self._rebuild()
            return True
        if entry.drop_at is None:
            self._entries[name] = evolve(
                entry, offset=offset, drop_at=grace_until
            )
        return True

    def _drop(self, name: str) -> None:
        self._entries.pop(name)
        self._forget_oldest(name)

    def _forget_oldest(self, name: str) -> None:
        """Keep the offset and progress of a name, and forget older ones.

        Without them, an outdated report would bring an endpoint back.
        """
        for forgotten in self._departed.add(name):
            self._offsets.pop(forgotten, None)
            self._progress_by_name.pop(forgotten, None)

    def _rebuild(self) -> None:
        self.changes += 1
        self._ready_by_service = {}
        for record in self._iterate_ready():
            self._ready_by_service.setdefault(record.service, []).append(record)

    def _iterate_ready(self) -> Iterator[EndpointRecord]:
        for name in sorted(self._entries):
            record = self._entries[name].record
            is_leaving = self._leaving.get(name, -1) >= record.started_ms
            if not record.is_draining and not is_leaving:
                yield record


def _is_unchanged(previous: _Entry, record: EndpointRecord) -> bool:
    if previous.drop_at is not None:
        return False
    return (
        evolve(previous.record, sequence=record.sequence, cold_s=record.cold_s)
        == record
    )
