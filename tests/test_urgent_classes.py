"""The most urgent requests of a service."""

import pytest

from laurelwind.coordination.shedding.urgent_classes import UrgentClasses
from laurelwind.state.routes import RequestKind, Workspace
from tests.relay_helpers import build_route, build_routing_table


@pytest.mark.parametrize(
    ('is_public', 'requires_key', 'priorities', 'expected'),
    [
        (False, True, [5], 5),
        (False, True, [5, None], 2),
        (False, True, [5, 1], 1),
        (False, False, [5], 2),
        (True, True, [5], 2),
        (False, True, [], 2),
    ],
)
def test_workspaces_go_before_routes(
    is_public, requires_key, priorities, expected
):
    """Load: pressure on a service whose callers have priorities of their own.

    Guards against pressure of a priority that no request has.
    """
    route = build_route(
        'look', RequestKind.IDEMPOTENT, priority=2, is_public=is_public
    )
    table = build_routing_table(
        routes=(route,),
        requires_key=requires_key,
        workspaces={
            f'key-{number}': Workspace(name=f'w{number}', priority=priority)
            for number, priority in enumerate(priorities)
        },
    )
    urgent = UrgentClasses(read_table=lambda: table).find('pool')
    assert urgent.priority == expected
