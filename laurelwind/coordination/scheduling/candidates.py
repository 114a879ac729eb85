"""Bounds the number of endpoints that are compared for a request."""

import heapq
import random
from collections.abc import Sequence
from typing import Final

from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rendezvous import compute_rendezvous_hash

# Endpoints among which a request is placed. A sample of this size leaves the
# cheapest one close to that of the whole fleet.
MAX_CANDIDATES: Final = 128


def limit_candidates(
    endpoints: Sequence[EndpointRecord], affinity_key: str
) -> Sequence[EndpointRecord]:
    """Return the endpoints to compare, at most MAX_CANDIDATES.

    :param endpoints: endpoints that may serve the request.
    :param affinity_key: key whose preferred endpoints are kept, or empty for a
        random sample.
    """
    if len(endpoints) <= MAX_CANDIDATES:
        return endpoints
    if not affinity_key:
        return random.sample(endpoints, MAX_CANDIDATES)
    return heapq.nlargest(
        MAX_CANDIDATES,
        endpoints,
        key=lambda endpoint: compute_rendezvous_hash(
            affinity_key, endpoint.name
        ),
    )


def find_by_name(
    endpoints: Sequence[EndpointRecord], name: str
) -> EndpointRecord | None:
    """Return the endpoint of that name, or ``None``.

    :param endpoints: the endpoints to search.
    :param name: name of the endpoint.
    """
    return next(
        (endpoint for endpoint in endpoints if endpoint.name == name), None
    )
