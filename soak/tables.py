"""Routing tables that a soak publishes."""

from collections.abc import Sequence

from attrs import frozen

from soak import bounds

# Versions of the tables are not consecutive.
VERSION_STEP = 3


@frozen
class PoolShare:
    """A pool, with its share of the requests relative to the other shares."""

    pool: str
    weight: float = 1


@frozen(kw_only=True)
class PublishedTable:
    """A routing table in the store.

    :ivar published_at: acknowledgement time, in seconds.
    :ivar shares: pools of the routes ``book`` and ``draft``.
    :ivar keys: keys of callers.
    """

    published_at: float
    shares: Sequence[PoolShare]
    keys: frozenset[str]

    @property
    def pools(self) -> frozenset[str]:
        """Names of the pools that requests may go to."""
        return frozenset(share.pool for share in self.shares)


def encode_table(
    number: int,
    shares: Sequence[PoolShare],
    keys: frozenset[str],
    timeout_s: float,
    filler_keys: int,
) -> dict:
    """Encode a routing table.

    :param number: number of the table, from 1.
    :param shares: pools of the routes ``book`` and ``draft``.
    :param keys: keys of callers.
    :param timeout_s: time-out of every route, in seconds.
    :param filler_keys: number of keys that no caller uses.
    """
    routes = [
        {
            'name': name,
            'host': bounds.HOST,
            'path_prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': int(timeout_s * 1000),
            'target_latency_ms': 500,
            'target_gap_ms': 300,
            'max_attempts': bounds.MAX_ATTEMPTS,
            'resumable': kind == 'streaming',
            **_encode_shares(route_shares),
        }
        for name, kind, route_shares in (
            ('book', 'non_idempotent', shares),
            ('draft', 'streaming', shares),
            ('look', 'idempotent', [PoolShare(bounds.ROLLOUT_SERVICE)]),
        )
    ]
    temporary = sorted(keys - {bounds.PERMANENT_KEY})
    fillers = [f'unused-{number}' for number in range(filler_keys)]
    return {
        'version': number * VERSION_STEP,
        'routes': routes,
        'services': [
            {'name': name} for name in (*bounds.POOLS, bounds.ROLLOUT_SERVICE)
        ],
        'tenants': [
            {'name': bounds.WORKSPACE, 'api_keys': [bounds.PERMANENT_KEY]},
            {'name': bounds.EXTRA_WORKSPACE, 'api_keys': temporary},
            {'name': 'unused', 'api_keys': fillers},
        ],
    }


def add_cold_rates(document: dict) -> None:
    """Give all services of a routing table a cold time.

    :param document: the encoded table.
    """
    for service in document['services']:
        service['cold_start_s'] = bounds.COLD_START_S
        service['cold_per_s'] = bounds.COLD_PER_S


def _encode_shares(shares: Sequence[PoolShare]) -> dict:
    if len(shares) == 1:
        return {'service': shares[0].pool}
    return {
        'backends': [
            {'service': share.pool, 'weight': share.weight} for share in shares
        ]
    }
