"""Findings of ``laurelwind check`` on the relay's routing tables."""

import hashlib
import random

import orjson
import pytest

from laurelwind.errors import ConfigurationError
from laurelwind.platform.documents import PlatformDocuments
from laurelwind.state.configuration_check.findings import Severity
from laurelwind.state.configuration_check.table_fields import (
    check_table_fields,
)
from laurelwind.state.configuration_check.values import (
    compute_key_digest,
    describe_value,
)
from tests.test_documents import list_variants
from tests.test_platform import TABLE

FULL_TABLE = {
    **TABLE,
    'routes': [
        {**TABLE['routes'][0], 'allowed_regions': ['east']},
        TABLE['routes'][1],
    ],
    'services': [
        {**TABLE['services'][0], 'cold_start_s': 3.0, 'cold_per_s': 12.0}
    ],
    'limits': {
        'max_body_bytes': 1000,
        'max_header_bytes': 16384,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{**TABLE['tenants'][0], 'allowed_regions': ['east']}],
}


def has_errors(findings):
    return any(finding.severity is Severity.ERROR for finding in findings)


def is_decoded(body):
    try:
        PlatformDocuments().decode_table(body)
    except ConfigurationError:
        return False
    return True


def test_the_check_and_the_daemons_reject_the_same_tables():
    """A table that passed the check was rejected by every daemon."""
    wrong = [
        body
        for body in list_variants(FULL_TABLE)
        if has_errors(check_table_fields(orjson.loads(body)))
        == is_decoded(body)
    ]
    assert is_decoded(orjson.dumps(FULL_TABLE))
    assert not check_table_fields(FULL_TABLE)
    assert wrong == []


def test_two_odd_fields_at_once_are_rejected_alike():
    """One odd field hid another: the check took the rest of a row as sound."""
    random_source = random.Random(1)
    first_bodies = list(list_variants(FULL_TABLE))
    for first in random_source.sample(first_bodies, 20):
        bodies = list(list_variants(orjson.loads(first)))
        for body in random_source.sample(bodies, 40):
            findings = check_table_fields(orjson.loads(body))
            assert has_errors(findings) != is_decoded(body), body


@pytest.mark.parametrize('table', [None, 3, [], 'table'])
def test_a_table_that_is_no_object_has_an_error(table):
    assert has_errors(check_table_fields(table))


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        (('tenants', '0', 'name'), '"a1"'),
        (('tenants', '0', 'api_keys', '0'), 'sha256:f55ff16f66f4'),
        (('tenants', '0', 'apikey'), 'sha256:f55ff16f66f4'),
        (('tenants', '0', 'unknown', '0'), 'sha256:f55ff16f66f4'),
        (('tenants',), 'sha256:f55ff16f66f4'),
        (('tenant', 'a', 'name'), 'sha256:f55ff16f66f4'),
        (('routes', '0', 'key'), 'sha256:f55ff16f66f4'),
        (('routes', '0', 'host'), '"a1"'),
    ],
)
def test_what_may_be_a_key_is_shown_as_a_digest(path, expected):
    """A key under a misspelt field was printed."""
    assert describe_value('a1', path) == expected


def test_a_key_that_looks_like_a_hash_is_hashed_and_a_hash_is_not():
    """The beginning of a key of 64 hex digits was printed."""
    key = 'a1' * 32
    assert not compute_key_digest(key, ('api_keys',)).endswith('a1a1')
    hashed = hashlib.sha256(key.encode()).hexdigest()
    assert compute_key_digest(hashed, ('key_hashes',)) == compute_key_digest(
        key, ('api_keys',)
    )
