"""Configuration document that the demo and the tests publish."""

from collections.abc import Mapping, Sequence
from typing import Any, Final

from laurelwind.state.configuration import hash_key

LATENCY_WORKSPACE: Final = 'kandyan-lanka'
CERTAINTY_WORKSPACE: Final = 'hallmark'
LATENCY_WORKSPACE_KEY: Final = 'key-of-kandyan-lanka'
CERTAINTY_WORKSPACE_KEY: Final = 'key-of-hallmark'
SMALL_VERSION: Final = 'drafter@small-1'
LARGE_VERSION: Final = 'drafter@large-1'


def build_document(
    addresses: Mapping[str, str], zones: Sequence[str] = ('a', 'b', 'c')
) -> dict[str, Any]:
    """Build a document with two workspaces, two model versions and a service.

    :param addresses: addresses of the stand-ins, by name.
    :param zones: the availability zone of each engine.
    """
    return {
        'schema': 1,
        'models': {'drafter': {'versions': _build_versions()}},
        'pools': {
            'engines': _build_engine_pool(addresses, zones),
            'plain': _build_plain_pool(addresses, zones[0]),
        },
        'services': {
            'bookings': {
                'pool': 'plain',
                'price': 5,
                'routes': [
                    {'path': '/availability', 'idempotent': True},
                    {'path': '/', 'method': 'GET', 'idempotent': True},
                ],
            },
        },
        'workspaces': {
            LATENCY_WORKSPACE: _build_workspace(
                LATENCY_WORKSPACE_KEY, 'latency'
            ),
            CERTAINTY_WORKSPACE: _build_workspace(
                CERTAINTY_WORKSPACE_KEY, 'certainty'
            ),
        },
    }


def _build_engine_pool(
    addresses: Mapping[str, str], zones: Sequence[str]
) -> dict[str, Any]:
    endpoints = {
        f'engine{index}': {'address': addresses[f'engine{index}'], 'zone': zone}
        for index, zone in enumerate(zones)
    }
    return {'endpoints': endpoints}


def _build_plain_pool(
    addresses: Mapping[str, str], zone: str
) -> dict[str, Any]:
    endpoint = {'address': addresses['plain'], 'zone': zone}
    return {'endpoints': {'plain0': endpoint}}


def _build_versions() -> dict[str, Any]:
    return {
        'small-1': {
            'pool': 'engines',
            'state': 'serving',
            'price': {'prompt': 100, 'completion': 200},
            'expected_pass_rate': 0.6,
        },
        'large-1': {
            'pool': 'engines',
            'state': 'serving',
            'price': {'prompt': 1000, 'completion': 2000},
            'expected_pass_rate': 0.98,
        },
    }


def _build_workspace(key: str, preference: str) -> dict[str, Any]:
    return {
        'key_hashes': [hash_key(key)],
        'versions': [SMALL_VERSION, LARGE_VERSION],
        'services': ['bookings'],
        'preference': preference,
        'tasks': {
            'draft': {
                'versions': [SMALL_VERSION, LARGE_VERSION],
                'quality': 0.9,
            }
        },
    }
