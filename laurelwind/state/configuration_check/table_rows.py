"""Rows of a routing table whose fields daemons accept, with their paths."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

from attrs import frozen

from laurelwind.state.configuration_check.findings import FieldPath

_Row = Mapping[str, Any]
_ROUTES: Final = 'routes'
_WORKSPACES: Final = 'tenants'
_REGIONS: Final = 'allowed_regions'


@frozen(kw_only=True)
class Row:
    """A route, service or workspace of a table.

    :ivar path: path of the row.
    :ivar fields: its fields as plain JSON types.
    """

    path: FieldPath
    fields: Mapping[str, Any]

    @property
    def name(self) -> str:
        """Its name."""
        return str(self.fields['name'])

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions that it allows, or ``None`` for all."""
        regions = self.fields.get(_REGIONS)
        return None if regions is None else frozenset(regions)

    @property
    def regions_path(self) -> FieldPath:
        """Path of the regions that it allows."""
        return (*self.path, _REGIONS)

    @property
    def is_public(self) -> bool:
        """Whether callers of this route need no key."""
        return bool(self.fields.get('public'))

    @property
    def keys(self) -> Sequence[str]:
        """Keys of this workspace."""
        return self.fields.get('api_keys') or ()

    @property
    def models(self) -> Sequence[str]:
        """Models that this route names."""
        return self.fields.get('sizes') or ()

    @property
    def backends(self) -> Sequence[_Row]:
        """Services that this route is split between; empty for only one."""
        return self.fields.get('backends') or ()

    @property
    def services(self) -> frozenset[str]:
        """Services that requests of this route go to."""
        if not self.backends:
            return frozenset((self.fields['service'],))
        return frozenset(
            backend['service']
            for backend in self.backends
            if backend['weight'] > 0
        )

    @property
    def engine_models(self) -> Mapping[str, _Row]:
        """Models of this service's engines, by index."""
        engine = self.fields.get('engine') or {}
        models = engine.get('models') or ()
        return {str(index): model for index, model in enumerate(models)}


def list_routes(table: _Row) -> Sequence[Row]:
    """List the routes of a table.

    :param table: the table as plain JSON types.
    """
    return tuple(_iterate_rows(table, _ROUTES))


def list_services(table: _Row) -> Sequence[Row]:
    """List the services of a table.

    :param table: the table as plain JSON types.
    """
    return tuple(_iterate_rows(table, 'services'))


def list_workspaces(table: _Row) -> Sequence[Row]:
    """List the workspaces of a table.

    :param table: the table as plain JSON types.
    """
    return tuple(_iterate_rows(table, _WORKSPACES))


def allows_common_region(route: Row, workspace: Row) -> bool:
    """Return whether endpoints of any region may serve a workspace's requests.

    :param route: a route.
    :param workspace: a workspace.
    """
    if route.regions is None:
        return workspace.regions is None or bool(workspace.regions)
    if workspace.regions is None:
        return bool(route.regions)
    return not route.regions.isdisjoint(workspace.regions)


def _iterate_rows(table: _Row, name: str) -> Iterator[Row]:
    for index, fields in enumerate(table.get(name) or ()):
        yield Row(path=(name, str(index)), fields=fields)
