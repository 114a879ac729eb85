"""Entries that can never match, limits that contradict, and differences.

Each case guards against a mistake that daemons accept and that callers notice.
"""

import copy

import pytest

from laurelwind.state.configuration_check.differences import list_differences
from laurelwind.state.configuration_check.findings import (
    InstanceSize,
    Severity,
)
from laurelwind.state.configuration_check.formats import check_configuration
from laurelwind.state.configuration_check.values import compute_key_digest
from standins.documents import build_document

SIZE = InstanceSize(memory_bytes=128 << 20, body_bytes=16 << 20)
ADDRESSES = {
    **{f'engine{index}': f'127.0.0.1:{index + 1}' for index in range(3)},
    'plain': '127.0.0.1:9',
}
ROUTE = {
    'name': 'look',
    'host': 'forms.example',
    'path_prefix': '/look/',
    'kind': 'idempotent',
    'service': 'pool',
    'timeout_ms': 1000,
    'target_latency_ms': 300,
    'max_attempts': 3,
}
TABLE = {
    'version': 1,
    'routes': [
        ROUTE,
        {
            **ROUTE,
            'name': 'draft',
            'path_prefix': '/look/draft/',
            'sizes': ['m0'],
            'allowed_regions': ['east'],
        },
    ],
    'services': [{'name': 'pool', 'engine': {'models': [{'name': 'm0'}]}}],
    'tenants': [{'name': 'acme', 'api_keys': ['key-1']}],
}
DOCUMENT = build_document(ADDRESSES)
ROUTES = ('routes', 0)
SECOND = ('routes', 1)
SERVICE = ('services', 0)
WORKSPACE = ('tenants', 0)
VERSIONS = ('models', 'drafter', 'versions')
HALLMARK = ('workspaces', 'hallmark')


def change(configuration, *changes):
    """Return a copy with fields set, or removed where the value is ``None``."""
    changed = copy.deepcopy(configuration)
    for (*parents, name), field in changes:
        parent = changed
        for key in parents:
            parent = parent[key]
        if field is None:
            del parent[name]
        else:
            parent[name] = field
    return changed


def list_findings(configuration):
    return {
        (finding.severity, finding.path)
        for finding in check_configuration(configuration, SIZE)
    }


TABLE_CASES = [
    ([((*SECOND, 'path_prefix'), '/look/')], 'warning routes.1.path_prefix'),
    ([((*ROUTES, 'path_prefix'), 'look/')], 'warning routes.0.path_prefix'),
    ([((*ROUTES, 'host'), 'forms:80')], 'warning routes.0.host'),
    ([((*ROUTES, 'name'), 'draft')], 'warning routes.1.name'),
    ([((*ROUTES, 'service'), 'poll')], 'warning routes.0'),
    (
        [((*ROUTES, 'backends'), [{'service': 'pool', 'weight': 0}])],
        'error routes.0.backends',
    ),
    (
        [
            (
                (*ROUTES, 'backends'),
                [{'service': 'pool', 'weight': w} for w in (1, 0)],
            )
        ],
        'warning routes.0.backends.1.weight',
    ),
    ([((*SECOND, 'sizes'), ['m1'])], 'warning routes.1.sizes.0'),
    (
        [
            ((*ROUTES, 'sizes'), ['m0']),
            (
                (*SERVICE, 'engine'),
                {'models': [{'name': 'm0'}, {'name': 'm1'}]},
            ),
        ],
        'warning services.0.engine.models.1.name',
    ),
    (
        [(('services',), [*TABLE['services'], {'name': 'idle'}])],
        'warning services.1.name',
    ),
    (
        [(('tenants',), [*TABLE['tenants'], {'name': 'idle'}])],
        'warning tenants.1.api_keys',
    ),
    (
        [
            (
                ('tenants',),
                [*TABLE['tenants'], {'name': 'b', 'api_keys': ['key-1']}],
            )
        ],
        'warning tenants.0.api_keys.0',
    ),
    (
        [((*WORKSPACE, 'api_keys'), None), (('tenants', 0, 'api_keys'), [])][
            1:
        ],
        'error tenants',
    ),
    (
        [
            ((*ROUTES, 'allowed_regions'), ['north']),
            ((*WORKSPACE, 'allowed_regions'), ['north']),
        ],
        'error routes.1.allowed_regions',
    ),
    (
        [((*WORKSPACE, 'allowed_regions'), [])],
        'error tenants.0.allowed_regions',
    ),
    (
        [((*WORKSPACE, 'allowed_regions'), ['west'])],
        'warning tenants.0.allowed_regions',
    ),
    ([((*ROUTES, 'timeout_ms'), 200)], 'warning routes.0.timeout_ms'),
    ([((*ROUTES, 'timeout_ms'), 0)], 'error routes.0.timeout_ms'),
    ([((*ROUTES, 'max_attempts'), 4)], 'warning routes.0.max_attempts'),
    ([((*ROUTES, 'target_gap_ms'), 0)], 'warning routes.0.target_gap_ms'),
    ([((*SERVICE, 'cold_start_s'), 3)], 'warning services.0.cold_per_s'),
    ([((*SERVICE, 'cold_per_s'), 3)], 'warning services.0.cold_start_s'),
    (
        [(('limits',), {'max_body_bytes': (16 << 20) + 1})],
        'warning limits.max_body_bytes',
    ),
    ([(('limits',), {'max_body_bytes': 0})], 'warning limits.max_body_bytes'),
    ([((*ROUTES, 'priority'), '1')], 'warning routes.0.priority'),
    ([((*ROUTES, 'kind'), 'odd')], 'error routes.0.kind'),
]
DOCUMENT_CASES = [
    (
        [(('services', 'bookings', 'routes', 0, 'path'), '/')],
        'warning services.bookings.routes.1.path',
    ),
    (
        [(('pools', 'engines', 'endpoints'), {})],
        'error pools.engines.endpoints',
    ),
    (
        [(('pools', 'spare'), {'endpoints': {}})],
        'warning pools.spare.endpoints',
    ),
    (
        [
            (
                (*VERSIONS, 'x.1'),
                DOCUMENT['models']['drafter']['versions']['small-1'],
            )
        ],
        'warning models.drafter.versions.x.1',
    ),
    (
        [(('services', 'idle'), {'pool': 'plain'})],
        'warning services.idle',
    ),
    (
        [((*HALLMARK, 'key_hashes'), [])],
        'warning workspaces.hallmark.key_hashes',
    ),
    (
        [((*HALLMARK, 'services'), []), ((*HALLMARK, 'versions'), [])],
        'error workspaces.hallmark.versions',
    ),
    (
        [
            ((*VERSIONS, name, 'state'), 'draining')
            for name in ('small-1', 'large-1')
        ],
        'warning workspaces.hallmark.tasks.draft.versions',
    ),
    (
        [((*HALLMARK, 'limits'), {'body_bytes': (16 << 20) + 1})],
        'warning workspaces.hallmark.limits.body_bytes',
    ),
    (
        [((*VERSIONS, 'small-1', 'pool'), 'x')],
        'error models.drafter.versions.small-1.pool',
    ),
    (
        [((*HALLMARK, 'key_hashes'), [7])],
        'error workspaces.hallmark.key_hashes.0',
    ),
]


def test_configurations_without_a_mistake_have_no_finding():
    """Findings on sound configurations make operators ignore all of them."""
    assert not list_findings(TABLE)
    assert not list_findings(DOCUMENT)


@pytest.mark.parametrize(('changes', 'expected'), TABLE_CASES)
def test_a_mistake_in_a_table_is_found_at_its_field(changes, expected):
    severity, path = expected.split(' ')
    assert (severity, path) in list_findings(change(TABLE, *changes))


@pytest.mark.parametrize(('changes', 'expected'), DOCUMENT_CASES)
def test_a_mistake_in_a_document_is_found_at_its_field(changes, expected):
    severity, path = expected.split(' ')
    assert (severity, path) in list_findings(change(DOCUMENT, *changes))


@pytest.mark.parametrize('odd', [None, [], {}, {'services': []}, 7])
def test_what_has_neither_format_is_an_error(odd):
    assert list_findings(odd) == {(Severity.ERROR, 'document')}


def test_faults_show_the_value_that_was_found():
    """A name with a dot was taken for two names, and no value was found."""
    document = change(DOCUMENT, ((*VERSIONS, 'x.1'), {'pool': 7}))
    found = {
        finding.path: finding.found
        for finding in check_configuration(document, SIZE)
    }
    assert found['models.drafter.versions.x.1.pool'] == '7'
    assert found['models.drafter.versions.x.1.price'] is None


def test_differences_name_rows_and_fields_and_hide_keys():
    """A revoked key was printed in the log of a deployment."""
    after = change(
        TABLE,
        (('version',), 2),
        ((*ROUTES, 'timeout_ms'), 900),
        ((*ROUTES, 'max_attempts'), None),
        ((*ROUTES, 'public'), True),
        ((*WORKSPACE, 'api_keys'), ['key-2']),
        ((*WORKSPACE, 'api_key'), 'key-3'),
        ((*SERVICE, 'cold_start_s'), True),
        (('limits',), {}),
    )
    digests = [
        compute_key_digest(f'key-{number}', ('api_keys',))
        for number in (1, 2, 3)
    ]
    lines = [str(line) for line in list_differences(TABLE, after)]
    assert lines == [
        'changed version: 1 -> 2',
        'changed routes.look.timeout_ms: 1000 -> 900',
        'removed routes.look.max_attempts: 3',
        'added routes.look.public: true',
        'added services.pool.cold_start_s: true',
        f'removed tenants.acme.api_keys.{digests[0]}: {digests[0]}',
        f'added tenants.acme.api_keys.{digests[1]}: {digests[1]}',
        f'added tenants.acme.api_key: {digests[2]}',
        'added limits: an object of 0 fields',
    ]


def test_one_and_true_differ_and_the_order_of_rows_does_not():
    """A change of a type was not shown, and moved rows were."""
    after = change(TABLE, (('routes',), TABLE['routes'][::-1]))
    assert not list_differences(TABLE, after)
    after = change(TABLE, (('version',), True))
    assert [line.path for line in list_differences(TABLE, after)] == ['version']
