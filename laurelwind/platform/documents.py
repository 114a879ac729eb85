"""Codec of the platform's documents."""

import math
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

import orjson

from laurelwind.platform.fields import (
    build_error,
    parse_address,
    parse_duration,
    parse_exact_count,
    parse_object,
)
from laurelwind.platform.tables import build_table
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed_store import Topic
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.fields import (
    STRUCTURE_ERRORS,
    parse_count,
    parse_number,
    parse_text,
)
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutShift,
    RolloutState,
    RolloutStatus,
    Tally,
)
from laurelwind.state.routes import RoutingTable

_TABLE_KEY: Final = 'config'
_ROLLOUT_PREFIX: Final = 'rollout/'
_EVACUATION_PREFIX: Final = 'evacuate/'
_REPORT_PREFIX: Final = 'laurelwind/report/'
_SHIFT_PREFIX: Final = 'laurelwind/shift/'
# Daemons write under keys that hold the service between a prefix and their own
# address; the store takes keys of up to 255 bytes.
MAX_SERVICE_BYTES: Final = 160
# Orders and statuses have the same keys; their topics distinguish them.
_ROLLOUT_KINDS: Final = MappingProxyType(
    {
        Topic.OPERATORS: DocumentKind.ROLLOUT_ORDER,
        Topic.STATUS: DocumentKind.ROLLOUT_STATUS,
    }
)
_COLD_FIELD: Final = 'cold_remaining_ms'
# Longest cold time that an entry may state, in seconds.
MAX_COLD_S: Final = 600.0
_MS_PER_S: Final = 1000
_ENDPOINT_STATES: Final = frozenset(('ready', 'draining'))


class PlatformDocuments(DocumentCodec):
    """Codec of the documents in the platform's store."""

    def get_kind(self, topic: Topic, key: str) -> DocumentKind:
        """Return the kind of a document; see :class:`DocumentCodec`."""
        if topic is Topic.OPERATORS and key == _TABLE_KEY:
            return DocumentKind.ROUTING_TABLE
        if topic is Topic.OPERATORS and key.startswith(_EVACUATION_PREFIX):
            return DocumentKind.EVACUATION
        if key.startswith(_ROLLOUT_PREFIX):
            return _ROLLOUT_KINDS.get(topic, DocumentKind.OTHER)
        if key.startswith(_REPORT_PREFIX):
            return DocumentKind.ROLLOUT_REPORT
        if key.startswith(_SHIFT_PREFIX):
            return DocumentKind.ROLLOUT_SHIFT
        return DocumentKind.OTHER

    def decode_table(self, body: bytes) -> RoutingTable:
        """Decode a routing table; see :class:`DocumentCodec`."""
        document = parse_object(body)
        try:
            return build_table(document)
        except STRUCTURE_ERRORS as error:
            raise build_error(error) from error

    def decode_endpoint(self, name: str, body: bytes) -> EndpointRecord:
        """Decode an endpoint's record; see :class:`DocumentCodec`."""
        document = parse_object(body)
        try:
            return EndpointRecord(
                name=parse_text(name),
                service=parse_text(document['service']),
                address=parse_address(document['address']),
                zone=parse_text(document['zone']),
                version=parse_text(document['version']),
                slots=parse_exact_count(document['slots']),
                is_draining=_parse_state(document['state']) == 'draining',
                started_ms=parse_exact_count(document.get('born', 0)),
                sequence=parse_exact_count(document['sequence']),
                cold_s=_parse_cold_time(document),
            )
        except STRUCTURE_ERRORS as error:
            raise build_error(error) from error

    def get_zone(self, key: str) -> str:
        """Return the zone of an evacuation; see :class:`DocumentCodec`."""
        return key.removeprefix(_EVACUATION_PREFIX)

    def decode_evacuation(self, key: str, body: bytes | None) -> str:
        """Check the evacuation of a zone; see :class:`DocumentCodec`."""
        if body is not None:
            parse_object(body)
        return self.get_zone(key)

    def decode_order(self, body: bytes) -> RolloutOrder:
        """Decode a roll-out order; see :class:`DocumentCodec`."""
        document = parse_object(body)
        try:
            return RolloutOrder(
                service=_parse_service(document['service']),
                target=parse_text(document['target']),
                duration_s=parse_duration(document['duration_s']),
            )
        except STRUCTURE_ERRORS as error:
            raise build_error(error) from error

    def decode_status(self, key: str, body: bytes) -> tuple[str, RolloutStatus]:
        """Decode a roll-out's status; see :class:`DocumentCodec`."""
        document = parse_object(body)
        try:
            status = RolloutStatus(
                target=parse_text(document['target']),
                state=RolloutState(document['state']),
            )
        except STRUCTURE_ERRORS as error:
            raise build_error(error) from error
        return key.removeprefix(_ROLLOUT_PREFIX), status

    def encode_status(
        self, service: str, status: RolloutStatus
    ) -> tuple[str, bytes]:
        """Encode a roll-out's status; see :class:`DocumentCodec`."""
        body = {'state': status.state, 'target': status.target}
        return f'{_ROLLOUT_PREFIX}{service}', orjson.dumps(body)

    def decode_report(
        self, key: str, body: bytes
    ) -> tuple[str, str, RolloutReport]:
        """Decode a roll-out report; see :class:`DocumentCodec`."""
        service, _, daemon = key.removeprefix(_REPORT_PREFIX).partition('/')
        document = parse_object(body)
        try:
            tallies = {
                route: _parse_tally(row)
                for route, row in document['tallies'].items()
            }
            report = RolloutReport(
                target=parse_text(document['target']),
                elapsed_s=parse_number(document['elapsed_s']),
                tallies=tallies,
                # Absent from reports of earlier releases.
                old_tally=_parse_tally(document.get('old', (0, 0, 0))),
            )
        except STRUCTURE_ERRORS as error:
            raise build_error(error) from error
        return service, daemon, report

    def encode_report(
        self, service: str, daemon: str, report: RolloutReport
    ) -> tuple[str, bytes]:
        """Encode a roll-out report; see :class:`DocumentCodec`."""
        tallies = {
            route: _list_counts(tally)
            for route, tally in report.tallies.items()
        }
        body = {
            'target': report.target,
            'elapsed_s': round(report.elapsed_s, 3),
            'tallies': tallies,
            'old': _list_counts(report.old_tally),
        }
        return f'{_REPORT_PREFIX}{service}/{daemon}', orjson.dumps(body)

    def decode_shift(self, key: str, body: bytes) -> tuple[str, RolloutShift]:
        """Decode the decision to shift; see :class:`DocumentCodec`."""
        document = parse_object(body)
        try:
            shift = RolloutShift(
                target=parse_text(document['target']),
                shift_at_s=parse_number(document['shift_at_s']),
            )
        except STRUCTURE_ERRORS as error:
            raise build_error(error) from error
        return key.removeprefix(_SHIFT_PREFIX), shift

    def encode_shift(
        self, service: str, shift: RolloutShift
    ) -> tuple[str, bytes]:
        """Encode the decision to shift; see :class:`DocumentCodec`."""
        body = {
            'target': shift.target,
            'shift_at_s': round(shift.shift_at_s, 3),
        }
        return f'{_SHIFT_PREFIX}{service}', orjson.dumps(body)


def _parse_tally(row: Sequence[int]) -> Tally:
    return Tally(
        answers=parse_count(row[0]),
        failures=parse_count(row[1]),
        slow=parse_count(row[2]),
        # Earlier releases count slow answers among all answers.
        timed=parse_count(row[3] if len(row) > 3 else row[0]),
    )


def _list_counts(tally: Tally) -> tuple[int, int, int, int]:
    return tally.answers, tally.failures, tally.slow, tally.timed


def _parse_state(field: Any) -> str:
    if field not in _ENDPOINT_STATES:
        raise ValueError('expected the state ready or draining')
    return str(field)


def _parse_cold_time(document: Mapping[str, Any]) -> float | None:
    """Return seconds, infinite if they are invalid: the entry still counts."""
    if _COLD_FIELD not in document:
        return None
    try:
        cold_s = parse_number(document[_COLD_FIELD]) / _MS_PER_S
    except STRUCTURE_ERRORS:
        return math.inf
    return cold_s if 0 <= cold_s <= MAX_COLD_S else math.inf


def _parse_service(field: Any) -> str:
    service = parse_text(field)
    if len(service.encode()) > MAX_SERVICE_BYTES:
        raise ValueError(
            f'expected the name of a service up to {MAX_SERVICE_BYTES} bytes'
        )
    return service
