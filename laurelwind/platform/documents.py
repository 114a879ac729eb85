"""Decodes the platform's documents into the project's types."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

import orjson

from laurelwind.errors import ConfigurationError, ErrorKind
from laurelwind.protocol.documents import DocumentCodec, DocumentKind
from laurelwind.protocol.keyed import Topic
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rollouts import (
    RolloutOrder,
    RolloutReport,
    RolloutState,
    RolloutStatus,
    Tally,
)
from laurelwind.state.routes import (
    CallerLimits,
    ModelSize,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    ServiceShare,
    Workspace,
)

_TABLE_KEY: Final = 'config'
_ROLLOUT_PREFIX: Final = 'rollout/'
_REPORT_PREFIX: Final = 'laurelwind/report/'
# Orders and statuses have the same keys, in different topics.
_ROLLOUT_KINDS: Final = MappingProxyType(
    {
        Topic.OPERATORS: DocumentKind.ROLLOUT_ORDER,
        Topic.STATUS: DocumentKind.ROLLOUT_STATUS,
    }
)
_STATES: Final = frozenset(('ready', 'draining'))
_MS: Final = 1000
# What a document raises that has another form than expected.
_UNREADABLE: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
)
# Where the operator does not say.
_TIMEOUT_MS: Final = 30000
_GAP_MS: Final = 1500


class PlatformDocuments(DocumentCodec):
    """The documents of the platform's store."""

    def tell_kind(self, topic: Topic, key: str) -> DocumentKind:
        """Tell what a document is about; see :class:`DocumentCodec`."""
        if topic is Topic.OPERATORS and key == _TABLE_KEY:
            return DocumentKind.ROUTING_TABLE
        if key.startswith(_ROLLOUT_PREFIX):
            return _ROLLOUT_KINDS.get(topic, DocumentKind.OTHER)
        if key.startswith(_REPORT_PREFIX):
            return DocumentKind.ROLLOUT_REPORT
        return DocumentKind.OTHER

    def decode_table(self, body: bytes) -> RoutingTable:
        """Decode the configuration; see :class:`DocumentCodec`."""
        found = _load(body)
        try:
            return _build_table(found)
        except _UNREADABLE as error:
            raise _refuse(error) from error

    def decode_endpoint(self, name: str, body: bytes) -> EndpointRecord:
        """Decode a replica's entry; see :class:`DocumentCodec`."""
        found = _load(body)
        try:
            return EndpointRecord(
                name=name,
                service=_text(found['service']),
                address=_address(found['address']),
                zone=_text(found['zone']),
                version=_text(found['version']),
                slots=_count(found['slots']),
                is_draining=_state(found['state']) == 'draining',
                born_ms=_count(found.get('born', 0)),
                report=_count(found['sequence']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise _refuse(error) from error

    def decode_order(self, body: bytes) -> RolloutOrder:
        """Decode an order; see :class:`DocumentCodec`."""
        found = _load(body)
        try:
            return RolloutOrder(
                service=_text(found['service']),
                target=_text(found['target']),
                duration_s=float(found['duration_s']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise _refuse(error) from error

    def decode_status(self, key: str, body: bytes) -> tuple[str, RolloutStatus]:
        """Decode a roll-out's status; see :class:`DocumentCodec`."""
        found = _load(body)
        try:
            status = RolloutStatus(
                target=_text(found['target']),
                state=RolloutState(found['state']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise _refuse(error) from error
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
        """Decode a report; see :class:`DocumentCodec`."""
        service, _, daemon = key.removeprefix(_REPORT_PREFIX).partition('/')
        found = _load(body)
        try:
            tallies = {
                route: Tally(answers=row[0], failures=row[1], slow=row[2])
                for route, row in found['tallies'].items()
            }
            report = RolloutReport(
                target=_text(found['target']),
                elapsed_s=float(found['elapsed_s']),
                tallies=tallies,
            )
        except _UNREADABLE as error:
            raise _refuse(error) from error
        return service, daemon, report

    def encode_report(
        self, service: str, daemon: str, report: RolloutReport
    ) -> tuple[str, bytes]:
        """Encode a report; see :class:`DocumentCodec`."""
        tallies = {
            route: (tally.answers, tally.failures, tally.slow)
            for route, tally in report.tallies.items()
        }
        body = {
            'target': report.target,
            'elapsed_s': round(report.elapsed_s, 3),
            'tallies': tallies,
        }
        return f'{_REPORT_PREFIX}{service}/{daemon}', orjson.dumps(body)


def _build_table(found: Mapping[str, Any]) -> RoutingTable:
    tenants = found.get('tenants') or ()
    workspaces = {}
    for tenant in tenants:
        workspace = Workspace(
            name=tenant['name'], priority=tenant.get('priority')
        )
        for key in tenant.get('api_keys') or ():
            workspaces[key] = workspace
    limits = found.get('limits') or {}
    return RoutingTable(
        version=int(found['version']),
        routes=[
            _build_route(row, _list_costs(found)) for row in found['routes']
        ],
        services={
            row['name']: _build_service(row)
            for row in found.get('services') or ()
        },
        workspaces=workspaces,
        requires_key='tenants' in found,
        limits=CallerLimits(
            body_bytes=int(
                limits.get('max_body_bytes', CallerLimits().body_bytes)
            ),
        ),
    )


def _list_costs(found: Mapping[str, Any]) -> dict[str, float]:
    return {
        model['name']: float(model.get('cost', 0))
        for row in found.get('services') or ()
        for model in (row.get('engine') or {}).get('models') or ()
    }


def _build_route(row: Mapping[str, Any], costs: Mapping[str, float]) -> Route:
    timeout_ms = row.get('timeout_ms', _TIMEOUT_MS)
    return Route(
        name=row['name'],
        host=row['host'],
        path_prefix=row['path_prefix'],
        kind=RequestKind(row['kind']),
        shares=_build_shares(row),
        timeout_s=timeout_ms / _MS,
        latency_goal_s=row.get('target_latency_ms', timeout_ms) / _MS,
        gap_goal_s=row.get('target_gap_ms', _GAP_MS) / _MS,
        priority=int(row.get('priority', 0)),
        max_attempts=max(int(row.get('max_attempts', 1)), 1),
        is_public=bool(row.get('public', False)),
        is_resumable=bool(row.get('resumable', False)),
        # Sizes are bare names here; their costs stand with the engine.
        models=[
            ModelSize(name=name, cost=costs.get(name, 0))
            for name in row.get('sizes') or ()
        ],
    )


def _build_shares(row: Mapping[str, Any]) -> Sequence[ServiceShare]:
    split = row.get('backends')
    if not split:
        return (ServiceShare(service=row['service'], weight=1),)
    return tuple(
        ServiceShare(service=part['service'], weight=float(part['weight']))
        for part in split
        if part['weight'] > 0
    )


def _build_service(row: Mapping[str, Any]) -> Service:
    return Service(name=row['name'], has_engines=bool(row.get('engine')))


def _load(body: bytes) -> dict[str, Any]:
    try:
        found = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _refuse(error) from error
    if not isinstance(found, dict):
        raise _refuse(TypeError('not an object'))
    return found


def _text(found: Any) -> str:
    if not isinstance(found, str) or not found:
        raise TypeError('expected a text')
    return found


def _count(found: Any) -> int:
    if not isinstance(found, int) or isinstance(found, bool) or found < 0:
        raise TypeError('expected a whole number')
    return found


def _state(found: Any) -> str:
    if found not in _STATES:
        raise ValueError('unknown state')
    return str(found)


def _address(found: Any) -> str:
    host, colon, port = _text(found).rpartition(':')
    if not colon or not host or not port.isdecimal():
        raise ValueError('expected an address with a port')
    return str(found)


def _refuse(error: Exception) -> ConfigurationError:
    return ConfigurationError(
        ErrorKind.CONFIGURATION_INVALID,
        f'the document cannot be read ({type(error).__name__}: {error})',
    )
