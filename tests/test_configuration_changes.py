"""Changes of the configuration: what they log, and what they may not cut."""

import anyio
import orjson
import pytest
from attrs import evolve

from laurelwind.platform import tables
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.protocol.keyed_store import Topic
from laurelwind.state.routes import RequestKind, Workspace
from laurelwind.state.table_changes import Differences, compare_tables
from tests.helpers import wait_until
from tests.relay_helpers import KEY, build_route, build_routing_table
from tests.test_platform import TABLE
from tests.test_tracker import build_table, run_check

pytestmark = pytest.mark.anyio


def test_the_changes_of_a_table_are_counted():
    before = build_routing_table(1)
    first, *others = before.routes
    after = build_routing_table(
        2,
        routes=(evolve(first, timeout_s=9.0), *others[1:]),
        workspaces={
            KEY: Workspace(name='forms'),
            'second-key': Workspace(name='forms'),
        },
    )
    changes = compare_tables(before, after)
    assert changes.routes == Differences(added=0, removed=1, changed=1)
    assert changes.keys == Differences(added=1, removed=0, changed=0)
    assert compare_tables(None, before).routes.added == len(before.routes)


def test_the_costs_of_models_are_listed_once_for_a_table(monkeypatch):
    """Listing them for each route held the event loop for a second."""
    calls = []
    list_costs = tables.list_costs

    def count_call(document):
        calls.append(document)
        return list_costs(document)

    monkeypatch.setattr(tables, 'list_costs', count_call)
    PlatformDocuments().decode_table(orjson.dumps(TABLE))
    assert len(calls) == 1


async def test_a_record_that_is_read_again_is_not_decoded_again(monkeypatch):
    """A confirmation decoded a large table twice, in the event loop."""
    bodies = []
    decode_table = PlatformDocuments.decode_table

    def record_body(codec, body):
        bodies.append(body)
        return decode_table(codec, body)

    monkeypatch.setattr(PlatformDocuments, 'decode_table', record_body)

    async def check(harness, store):
        store.put(Topic.OPERATORS, 'config', build_table(1))
        await wait_until(lambda: harness.tracker.is_ready)
        harness.tracker.max_absence_age_s = -1
        store.put(Topic.OPERATORS, 'config', build_table(2))
        assert await harness.tracker.ensure_current()
        assert await harness.tracker.ensure_current()
        await anyio.sleep(0.1)
        assert harness.version == 2
        assert len(bodies) == 2

    await run_check(check)


def test_the_first_of_equal_prefixes_and_the_longest_prefix_match():
    table = build_routing_table(
        routes=[
            build_route(name, RequestKind.IDEMPOTENT, path_prefix=prefix)
            for name, prefix in (
                ('short', '/a/'),
                ('long', '/a/b/c/'),
                ('equal', '/a/'),
                ('open', '/a/b'),
            )
        ]
    )
    found = {
        path: route and route.name
        for path in ('/a/', '/a/b/c/d', '/a/b/c', '/a/bc', '/a', '/x/')
        for route in [table.find_route('Forms.Example:80', path)]
    }
    assert found == {
        '/a/': 'short',
        '/a/b/c/d': 'long',
        '/a/b/c': 'open',
        '/a/bc': 'open',
        '/a': None,
        '/x/': None,
    }
