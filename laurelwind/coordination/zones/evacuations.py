"""Applies the operators' records that evacuate availability zones."""

from collections.abc import Callable

from attrs import frozen

from laurelwind.decisions import DecisionLog
from laurelwind.errors import ConfigurationError
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed_store import Batch, KeyedRecord, Topic
from laurelwind.state.directory import EndpointDirectory, EndpointRecord
from laurelwind.state.evacuated_zones import EvacuatedZones
from laurelwind.state.load import read_monotonic_clock


@frozen(kw_only=True)
class EvacuationDependencies:
    """Collaborators of :class:`Evacuations`.

    :ivar zones: the evacuated zones.
    :ivar documents: decodes records.
    :ivar directory: directory of the endpoints.
    :ivar log: decision log.
    """

    zones: EvacuatedZones
    documents: DocumentCodec
    directory: EndpointDirectory
    log: DecisionLog


class Evacuations:
    """Keeps the evacuated zones in sync with the operators' topic.

    :param dependencies: collaborators.
    """

    def __init__(self, *, dependencies: EvacuationDependencies) -> None:
        self._dependencies = dependencies
        self._listeners: list[Callable[[EndpointRecord], None]] = []

    def add_listener(self, listener: Callable[[EndpointRecord], None]) -> None:
        """Register a callback for endpoints whose zone is taken back.

        :param listener: called with each such endpoint.
        """
        self._listeners.append(listener)

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record; return whether it is one of a zone.

        :param record: record of the operators' topic.
        """
        dependencies = self._dependencies
        documents = dependencies.documents
        kind = documents.get_kind(Topic.OPERATORS, record.key)
        if kind is not DocumentKind.EVACUATION:
            return False
        if not dependencies.zones.is_enabled:
            return True
        try:
            zone = documents.decode_evacuation(record.key, record.body)
        except ConfigurationError as error:
            dependencies.log.log_warning(
                'document_unreadable', key=record.key, reason=error.message
            )
            return True
        known = dependencies.zones.names
        dependencies.zones.apply(
            zone, offset=record.offset, is_evacuated=record.body is not None
        )
        self._report(known)
        return True

    def handle_restore(self) -> None:
        """Keep the evacuations that the restored store may lack."""
        self._dependencies.zones.handle_restore()

    def review(self, batch: Batch, *, is_snapshot: bool) -> None:
        """End the evacuations that the store no longer has.

        :param batch: records that were read and applied.
        :param is_snapshot: whether they are all records of the topic.
        """
        zones = self._dependencies.zones
        known = zones.names
        if is_snapshot:
            documents = self._dependencies.documents
            listed = {
                documents.get_zone(record.key): record.offset
                for record in batch.records
                if documents.get_kind(Topic.OPERATORS, record.key)
                is DocumentKind.EVACUATION
            }
            zones.retain(listed, before=batch.next_offset)
        else:
            zones.expire()
        self._report(known)

    def _report(self, known: frozenset[str]) -> None:
        names = self._dependencies.zones.names
        if names == known:
            return
        for zone in sorted(names - known):
            self._report_evacuated(zone)
        for zone in sorted(known - names):
            endpoints = self._dependencies.directory.list_zone(zone)
            self._dependencies.log.log_warning(
                'zone_taken_back', zone=zone, endpoints=len(endpoints)
            )
            for endpoint in endpoints:
                for listener in self._listeners:
                    listener(endpoint)

    def _report_evacuated(self, zone: str) -> None:
        directory = self._dependencies.directory
        endpoints = directory.list_zone(zone)
        self._dependencies.log.log_warning(
            'zone_evacuated', zone=zone, endpoints=len(endpoints)
        )
        if not endpoints and directory.list_names():
            self._dependencies.log.log_warning('zone_unknown', zone=zone)
        sent_at = self._dependencies.zones.sent_at.get(zone)
        if sent_at is not None:
            self._dependencies.log.log_warning(
                'zone_last_arrival',
                zone=zone,
                sent_s_ago=round(read_monotonic_clock() - sent_at, 3),
            )
