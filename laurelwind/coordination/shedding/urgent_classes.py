"""The most urgent requests of each service, by the routing table."""

from collections.abc import Callable, Set
from typing import Final

from attrs import frozen

from laurelwind.state.routes import RequestKind, Route, RoutingTable

LOWEST_PRIORITY: Final = 9


@frozen(kw_only=True)
class UrgentClass:
    """The most urgent requests of a service.

    :ivar route: name of their route.
    :ivar priority: their priority, 0 to 9.
    :ivar goal_s: their latency goal in seconds.
    :ivar is_stream: whether their answers are streams.
    """

    route: str
    priority: int
    goal_s: float
    is_stream: bool


class UrgentClasses:
    """Finds the most urgent requests, and keeps them until the table changes.

    :param read_table: returns the routing table in force, or ``None``.
    """

    def __init__(
        self, *, read_table: Callable[[], RoutingTable | None]
    ) -> None:
        self._read_table = read_table
        self._table: RoutingTable | None = None
        self._classes: dict[str, UrgentClass] = {}

    def find(self, service: str) -> UrgentClass | None:
        """Return the most urgent requests of a service.

        :param service: name of the service.
        """
        table = self._read_table()
        if table is not self._table:
            self._table = table
            self._classes = {} if table is None else _list_classes(table)
        return self._classes.get(service)


def _list_classes(table: RoutingTable) -> dict[str, UrgentClass]:
    classes: dict[str, UrgentClass] = {}
    workspace_priorities = {
        workspace.priority for workspace in table.workspaces.values()
    }
    for route in table.routes:
        urgent = _build_class(
            route, _find_priority(route, table, workspace_priorities)
        )
        for share in route.shares:
            known = classes.setdefault(share.service, urgent)
            if _get_urgency(urgent) < _get_urgency(known):
                classes[share.service] = urgent
    return classes


def _find_priority(
    route: Route, table: RoutingTable, workspace_priorities: Set[int | None]
) -> int:
    """Return the priority of the most urgent requests of a route.

    The priority of a workspace takes precedence over that of the route, which
    applies to callers without a workspace or whose workspace has none.
    """
    if route.is_public:
        return route.priority
    priorities = {
        route.priority if priority is None else priority
        for priority in workspace_priorities
    }
    if not table.requires_key:
        priorities.add(route.priority)
    return min(priorities, default=route.priority)


def _build_class(route: Route, priority: int) -> UrgentClass:
    return UrgentClass(
        route=route.name,
        priority=min(max(priority, 0), LOWEST_PRIORITY),
        goal_s=route.latency_goal_s,
        is_stream=route.kind is RequestKind.STREAMING,
    )


def _get_urgency(urgent: UrgentClass) -> tuple[int, float]:
    return urgent.priority, urgent.goal_s
