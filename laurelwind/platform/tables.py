"""Decoder of the platform's routing tables."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from laurelwind.state.fields import (
    parse_count,
    parse_list,
    parse_number,
    parse_text,
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

_MS_PER_S: Final = 1000
# Defaults of a route without these fields.
_DEFAULT_TIMEOUT_MS: Final = 30000
_DEFAULT_GAP_MS: Final = 1500


def build_table(document: Mapping[str, Any]) -> RoutingTable:
    """Build a routing table from a document.

    :param document: the parsed document.
    :raises Exception: one of ``STRUCTURE_ERRORS`` if a field is missing or of
        another type.
    """
    costs = list_costs(document)
    return RoutingTable(
        version=parse_count(document['version']),
        routes=[_build_route(row, costs) for row in document['routes']],
        services={
            parse_text(row['name']): _build_service(row)
            for row in document.get('services') or ()
        },
        workspaces=_build_workspaces(document),
        requires_key='tenants' in document,
        limits=_build_limits(document.get('limits') or {}),
    )


def _build_limits(limits: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        body_bytes=int(limits.get('max_body_bytes', default.body_bytes)),
        header_bytes=int(
            limits.get('max_header_bytes') or default.header_bytes
        ),
        header_timeout_s=parse_number(limits.get('header_timeout_ms') or 0)
        / _MS_PER_S,
        idle_timeout_s=parse_number(limits.get('idle_timeout_ms') or 0)
        / _MS_PER_S,
    )


def _build_workspaces(document: Mapping[str, Any]) -> dict[str, Workspace]:
    workspaces = {}
    for tenant in document.get('tenants') or ():
        priority = tenant.get('priority')
        workspace = Workspace(
            name=parse_text(tenant['name']),
            priority=None if priority is None else int(priority),
            allowed_regions=_parse_regions(tenant),
        )
        for key in parse_list(tenant.get('api_keys') or []):
            workspaces[parse_text(key)] = workspace
    return workspaces


def list_costs(document: Mapping[str, Any]) -> dict[str, float]:
    """List the costs of the models of all services, by model.

    :param document: the parsed document of a table.
    """
    return {
        parse_text(model['name']): parse_number(model.get('cost', 0))
        for row in document.get('services') or ()
        for model in (row.get('engine') or {}).get('models') or ()
    }


def _build_route(row: Mapping[str, Any], costs: Mapping[str, float]) -> Route:
    timeout_ms = parse_number(row.get('timeout_ms', _DEFAULT_TIMEOUT_MS))
    goal_ms = parse_number(row.get('target_latency_ms', timeout_ms))
    gap_ms = parse_number(row.get('target_gap_ms', _DEFAULT_GAP_MS))
    return Route(
        name=parse_text(row['name']),
        host=parse_text(row['host']),
        path_prefix=parse_text(row['path_prefix']),
        kind=RequestKind(row['kind']),
        shares=_build_shares(row),
        timeout_s=timeout_ms / _MS_PER_S,
        latency_goal_s=goal_ms / _MS_PER_S,
        gap_goal_s=gap_ms / _MS_PER_S,
        priority=int(row.get('priority', 0)),
        max_attempts=max(int(row.get('max_attempts', 1)), 1),
        is_public=bool(row.get('public', False)),
        is_resumable=bool(row.get('resumable', False)),
        allowed_regions=_parse_regions(row),
        # ``sizes`` lists model names; the engine of a service sets their costs.
        models=[
            RouteModel(name=parse_text(name), cost=costs.get(name, 0))
            for name in parse_list(row.get('sizes') or [])
        ],
    )


def _parse_regions(row: Mapping[str, Any]) -> frozenset[str] | None:
    """Return the allowed regions, none for an empty list."""
    names = row.get('allowed_regions')
    if names is None:
        return None
    return frozenset(parse_text(name) for name in parse_list(names))


def _build_shares(row: Mapping[str, Any]) -> Sequence[WeightedService]:
    backends = row.get('backends')
    if not backends:
        service = parse_text(row['service'])
        return (WeightedService(service=service, weight=1),)
    shares = [
        WeightedService(
            service=parse_text(backend['service']),
            weight=parse_number(backend['weight']),
        )
        for backend in backends
    ]
    return tuple(share for share in shares if share.weight > 0)


def _build_service(row: Mapping[str, Any]) -> Service:
    engine = row.get('engine') or {}
    return Service(
        name=parse_text(row['name']),
        cold_start_s=parse_number(row.get('cold_start_s') or 0),
        cold_per_s=parse_number(row.get('cold_per_s') or 0),
        has_engines=bool(engine),
        memory_tokens=max(int(engine.get('kv_cache_tokens') or 0), 0),
        costs={
            parse_text(model['name']): parse_number(model.get('cost', 0))
            for model in engine.get('models') or ()
        },
    )
