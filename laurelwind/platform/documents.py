"""Codec of the platform's documents."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

import orjson

from laurelwind.errors import ConfigurationError, ErrorKind
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed_store import Topic
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutShift,
    RolloutState,
    RolloutStatus,
    Tally,
)
from laurelwind.state.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RouteModel,
    RoutingTable,
    Service,
    WeightedService,
    Workspace,
)

_TABLE_KEY: Final = 'config'
_ROLLOUT_PREFIX: Final = 'rollout/'
_REPORT_PREFIX: Final = 'laurelwind/report/'
_SHIFT_PREFIX: Final = 'laurelwind/shift/'
# Orders and statuses have the same keys; their topics distinguish them.
_ROLLOUT_KINDS: Final = MappingProxyType(
    {
        Topic.OPERATORS: DocumentKind.ROLLOUT_ORDER,
        Topic.STATUS: DocumentKind.ROLLOUT_STATUS,
    }
)
_ENDPOINT_STATES: Final = frozenset(('ready', 'draining'))
_MS_PER_S: Final = 1000
# Raised where a document has an unexpected structure.
_STRUCTURE_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
)
# Defaults of a route without these fields.
_DEFAULT_TIMEOUT_MS: Final = 30000
_DEFAULT_GAP_MS: Final = 1500


class PlatformDocuments(DocumentCodec):
    """Codec of the documents in the platform's store."""

    def get_kind(self, topic: Topic, key: str) -> DocumentKind:
        """Return the kind of a document; see :class:`DocumentCodec`."""
        if topic is Topic.OPERATORS and key == _TABLE_KEY:
            return DocumentKind.ROUTING_TABLE
        if key.startswith(_ROLLOUT_PREFIX):
            return _ROLLOUT_KINDS.get(topic, DocumentKind.OTHER)
        if key.startswith(_REPORT_PREFIX):
            return DocumentKind.ROLLOUT_REPORT
        if key.startswith(_SHIFT_PREFIX):
            return DocumentKind.ROLLOUT_SHIFT
        return DocumentKind.OTHER

    def decode_table(self, body: bytes) -> RoutingTable:
        """Decode a routing table; see :class:`DocumentCodec`."""
        document = _parse_object(body)
        try:
            return _build_table(document)
        except _STRUCTURE_ERRORS as error:
            raise _build_error(error) from error

    def decode_endpoint(self, name: str, body: bytes) -> EndpointRecord:
        """Decode an endpoint's record; see :class:`DocumentCodec`."""
        document = _parse_object(body)
        try:
            return EndpointRecord(
                name=name,
                service=_parse_text(document['service']),
                address=_parse_address(document['address']),
                zone=_parse_text(document['zone']),
                version=_parse_text(document['version']),
                slots=_parse_count(document['slots']),
                is_draining=_parse_state(document['state']) == 'draining',
                started_ms=_parse_count(document.get('born', 0)),
                sequence=_parse_count(document['sequence']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise _build_error(error) from error

    def decode_order(self, body: bytes) -> RolloutOrder:
        """Decode a roll-out order; see :class:`DocumentCodec`."""
        document = _parse_object(body)
        try:
            return RolloutOrder(
                service=_parse_text(document['service']),
                target=_parse_text(document['target']),
                duration_s=float(document['duration_s']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise _build_error(error) from error

    def decode_status(self, key: str, body: bytes) -> tuple[str, RolloutStatus]:
        """Decode a roll-out's status; see :class:`DocumentCodec`."""
        document = _parse_object(body)
        try:
            status = RolloutStatus(
                target=_parse_text(document['target']),
                state=RolloutState(document['state']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise _build_error(error) from error
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
        document = _parse_object(body)
        try:
            tallies = {
                route: _parse_tally(row)
                for route, row in document['tallies'].items()
            }
            report = RolloutReport(
                target=_parse_text(document['target']),
                elapsed_s=float(document['elapsed_s']),
                tallies=tallies,
                # Absent from reports of earlier releases.
                old_tally=_parse_tally(document.get('old', (0, 0, 0))),
            )
        except _STRUCTURE_ERRORS as error:
            raise _build_error(error) from error
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
        document = _parse_object(body)
        try:
            shift = RolloutShift(
                target=_parse_text(document['target']),
                shift_at_s=float(document['shift_at_s']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise _build_error(error) from error
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
    return Tally(answers=row[0], failures=row[1], slow=row[2])


def _list_counts(tally: Tally) -> tuple[int, int, int]:
    return tally.answers, tally.failures, tally.slow


def _build_table(document: Mapping[str, Any]) -> RoutingTable:
    tenants = document.get('tenants') or ()
    workspaces = {}
    for tenant in tenants:
        workspace = Workspace(
            name=tenant['name'], priority=tenant.get('priority')
        )
        for key in tenant.get('api_keys') or ():
            workspaces[key] = workspace
    limits = document.get('limits') or {}
    return RoutingTable(
        version=int(document['version']),
        routes=[
            _build_route(row, _list_costs(document))
            for row in document['routes']
        ],
        services={
            row['name']: _build_service(row)
            for row in document.get('services') or ()
        },
        workspaces=workspaces,
        requires_key='tenants' in document,
        limits=CallerLimits(
            body_bytes=int(
                limits.get('max_body_bytes', CallerLimits().body_bytes)
            ),
        ),
    )


def _list_costs(document: Mapping[str, Any]) -> dict[str, float]:
    return {
        model['name']: float(model.get('cost', 0))
        for row in document.get('services') or ()
        for model in (row.get('engine') or {}).get('models') or ()
    }


def _build_route(row: Mapping[str, Any], costs: Mapping[str, float]) -> Route:
    timeout_ms = row.get('timeout_ms', _DEFAULT_TIMEOUT_MS)
    return Route(
        name=row['name'],
        host=row['host'],
        path_prefix=row['path_prefix'],
        kind=RequestKind(row['kind']),
        shares=_build_shares(row),
        timeout_s=timeout_ms / _MS_PER_S,
        latency_goal_s=row.get('target_latency_ms', timeout_ms) / _MS_PER_S,
        gap_goal_s=row.get('target_gap_ms', _DEFAULT_GAP_MS) / _MS_PER_S,
        priority=int(row.get('priority', 0)),
        max_attempts=max(int(row.get('max_attempts', 1)), 1),
        is_public=bool(row.get('public', False)),
        is_resumable=bool(row.get('resumable', False)),
        # ``sizes`` lists model names; the engine of a service sets their costs.
        models=[
            RouteModel(name=name, cost=costs.get(name, 0))
            for name in row.get('sizes') or ()
        ],
    )


def _build_shares(row: Mapping[str, Any]) -> Sequence[WeightedService]:
    backends = row.get('backends')
    if not backends:
        return (WeightedService(service=row['service'], weight=1),)
    return tuple(
        WeightedService(
            service=backend['service'], weight=float(backend['weight'])
        )
        for backend in backends
        if backend['weight'] > 0
    )


def _build_service(row: Mapping[str, Any]) -> Service:
    return Service(name=row['name'], has_engines=bool(row.get('engine')))


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _build_error(error) from error
    if not isinstance(document, dict):
        raise _build_error(TypeError('expected a JSON object'))
    return document


def _parse_text(field: Any) -> str:
    if not isinstance(field, str) or not field:
        raise TypeError('expected a non-empty string')
    return field


def _parse_count(field: Any) -> int:
    if not isinstance(field, int) or isinstance(field, bool) or field < 0:
        raise TypeError('expected a non-negative integer')
    return field


def _parse_state(field: Any) -> str:
    if field not in _ENDPOINT_STATES:
        raise ValueError('expected the state ready or draining')
    return str(field)


def _parse_address(field: Any) -> str:
    host, colon, port = _parse_text(field).rpartition(':')
    if not colon or not host or not port.isdecimal():
        raise ValueError('expected HOST:PORT')
    return str(field)


def _build_error(error: Exception) -> ConfigurationError:
    return ConfigurationError(
        ErrorKind.CONFIGURATION_INVALID,
        f'invalid document ({type(error).__name__}: {error})',
    )
