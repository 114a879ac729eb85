"""Availability zones whose endpoints get no requests."""

from collections.abc import Callable, Mapping
from typing import Final

from attrs import define

from laurelwind.state.directory import LAPSE_GRACE_S
from laurelwind.state.leases import NEVER, read_boot_clock

# Zones of which a record is remembered; the newest records count.
MAX_ZONES: Final = 256


@define(kw_only=True)
class _ZoneRecord:
    """The newest record about a zone.

    :ivar offset: offset of the record.
    :ivar is_evacuated: whether it evacuates the zone.
    :ivar drop_at: moment at which the evacuation ends, as a restored store
        lacks it, or ``None``.
    """

    offset: int
    is_evacuated: bool
    drop_at: float | None = None


class EvacuatedZones:
    """The zones that operators have evacuated, as the store was last read.

    :param is_enabled: whether evacuations are in force at all.
    :param clock: clock in seconds that also advances during suspend.
    :ivar names: names of the evacuated zones.
    :ivar is_enabled: whether evacuations are in force at all.
    :ivar sent_at: moment, on the monotonic clock, at which this daemon last
        sent a request to an endpoint, by zone.
    """

    def __init__(
        self,
        *,
        is_enabled: bool = False,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self.names: frozenset[str] = frozenset()
        self.is_enabled = is_enabled
        self._clock = clock
        self.sent_at: dict[str, float] = {}
        self._records: dict[str, _ZoneRecord] = {}
        self._restored_at = NEVER

    def apply(self, zone: str, *, offset: int, is_evacuated: bool) -> None:
        """Apply a record; one that is not newer than the last is ignored.

        :param zone: the zone.
        :param offset: offset of the record.
        :param is_evacuated: whether it evacuates the zone, or takes it back.
        """
        known = self._records.get(zone)
        if not self.is_enabled or (known and offset <= known.offset):
            return
        self._records.pop(zone, None)
        self._records[zone] = _ZoneRecord(
            offset=offset, is_evacuated=is_evacuated
        )
        if len(self._records) > MAX_ZONES:
            self._records.pop(next(iter(self._records)))
        self._list_names()

    def record_sent(self, zone: str, now: float) -> None:
        """Record that this daemon sends a request to an endpoint.

        :param zone: zone of the endpoint.
        :param now: the current moment, on the monotonic clock.
        """
        if zone in self.sent_at or len(self.sent_at) < MAX_ZONES:
            self.sent_at[zone] = now

    def handle_restore(self) -> None:
        """Keep what the restored store may lack until it is written again."""
        self._restored_at = self._clock()

    def retain(self, offsets: Mapping[str, int], *, before: int) -> None:
        """End the evacuations that a complete listing does not contain.

        :param offsets: offsets of the listed records, by zone.
        :param before: end offset of the listing; newer records stay.
        """
        for zone, record in self._records.items():
            is_missing = zone not in offsets and record.offset < before
            if is_missing and record.drop_at is None:
                record.drop_at = self._restored_at + LAPSE_GRACE_S
        self.expire()

    def expire(self) -> None:
        """End the evacuations that were not written again in time."""
        now = self._clock()
        for record in self._records.values():
            if record.drop_at is not None and record.drop_at <= now:
                record.is_evacuated = False
        self._list_names()

    def _list_names(self) -> None:
        self.names = frozenset(
            zone
            for zone, record in self._records.items()
            if record.is_evacuated
        )
