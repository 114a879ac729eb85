"""The endpoints that serve now, from the records that they keep."""

from collections.abc import Iterator, Mapping
from typing import Final

from attrs import evolve, frozen

# Seconds after an outage in which lapsed records come back; the store's
# documentation gives about two.
LAPSE_GRACE_S: Final = 2.2
_NO_REPORT: Final = (-1, -1)


@frozen(kw_only=True)
class EndpointRecord:
    """One endpoint as it describes itself.

    :ivar name: unique among all endpoints that ever were.
    :ivar service: its service.
    :ivar address: ``host:port``.
    :ivar zone: its availability zone.
    :ivar version: version of its software.
    :ivar slots: requests that it runs at once.
    :ivar is_draining: whether it takes no new work.
    :ivar born_ms: start of this life, Unix milliseconds.
    :ivar report: counts its reports within a life.
    """

    name: str
    service: str
    address: str
    zone: str = ''
    version: str = ''
    slots: int = 1
    is_draining: bool = False
    born_ms: int = 0
    report: int = 0

    @property
    def progress(self) -> tuple[int, int]:
        """Grows with each report; a late report of the past is lower."""
        return (self.born_ms, self.report)


@frozen(kw_only=True)
class _Entry:
    record: EndpointRecord
    offset: int
    removed_at: float | None = None


class EndpointDirectory:
    """Every endpoint that may be used, by name and by service."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._services: dict[str, list[EndpointRecord]] = {}
        self._offsets: dict[str, int] = {}
        self._reports: dict[str, tuple[int, int]] = {}
        self.changes = 0

    @property
    def has_lapsed(self) -> bool:
        """Whether a removed record has time left to come back."""
        return any(
            entry.removed_at is not None for entry in self._entries.values()
        )

    def list_ready(self, service: str) -> list[EndpointRecord]:
        """List the endpoints of a service that take new work.

        :param service: name of the service.
        """
        return self._services.get(service, [])

    def count_ready(self) -> dict[str, int]:
        """Count the endpoints that take new work, by service."""
        return {name: len(found) for name, found in self._services.items()}

    def list_names(self) -> set[str]:
        """List every endpoint that is known."""
        return set(self._entries)

    def apply(
        self,
        name: str,
        record: EndpointRecord | None,
        *,
        offset: int,
        lapses_until: float | None = None,
    ) -> bool:
        """Take in one record, and tell whether it changed what may be used.

        :param name: name of the endpoint.
        :param record: the record, or ``None`` where it was removed or cannot
            be read.
        :param offset: where it stands in the source; older ones are ignored.
        :param lapses_until: until when a removal counts as a lapse only.
        """
        if offset <= self._offsets.get(name, -1):
            return False
        self._offsets[name] = offset
        if record is None:
            return self._remove(name, offset, lapses_until)
        if record.progress <= self._reports.get(name, _NO_REPORT):
            return False
        self._reports[name] = record.progress
        before = self._entries.get(name)
        self._entries[name] = _Entry(record=record, offset=offset)
        if before is not None and _is_same(before, record):
            return False
        self._rebuild()
        return True

    def retain(
        self,
        names: Mapping[str, int],
        *,
        before: int,
        lapses_until: float | None = None,
    ) -> bool:
        """Drop what a whole listing does not name.

        :param names: every name listed, with its offset.
        :param before: end of the source when the listing began.
        :param lapses_until: until when a removal counts as a lapse only.
        """
        missing = [
            name
            for name, entry in self._entries.items()
            if name not in names and entry.offset < before
        ]
        for name in missing:
            self._remove(name, before, lapses_until)
        return bool(missing)

    def expire(self, now: float) -> bool:
        """Drop lapsed records that did not come back.

        :param now: the time, on the caller's clock.
        """
        due = [
            name
            for name, entry in self._entries.items()
            if entry.removed_at is not None and entry.removed_at <= now
        ]
        for name in due:
            self._entries.pop(name)
        if due:
            self._rebuild()
        return bool(due)

    def _remove(
        self, name: str, offset: int, lapses_until: float | None
    ) -> bool:
        entry = self._entries.get(name)
        if entry is None:
            return False
        if lapses_until is None or entry.record.is_draining:
            self._entries.pop(name)
            self._rebuild()
            return True
        if entry.removed_at is None:
            self._entries[name] = evolve(
                entry, offset=offset, removed_at=lapses_until
            )
        return True

    def _rebuild(self) -> None:
        self.changes += 1
        self._services = {}
        for record in self._iterate_ready():
            self._services.setdefault(record.service, []).append(record)

    def _iterate_ready(self) -> Iterator[EndpointRecord]:
        for name in sorted(self._entries):
            record = self._entries[name].record
            if not record.is_draining:
                yield record


def _is_same(before: _Entry, record: EndpointRecord) -> bool:
    if before.removed_at is not None:
        return False
    return evolve(before.record, report=record.report) == record
