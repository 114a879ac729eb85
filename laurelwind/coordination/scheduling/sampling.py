"""Draws the few endpoints whose forecasts are compared for a request.

All daemons read about the same reports.  If each took the best of all
endpoints, requests would arrive there together; the best of a few random ones
differs from request to request.
"""

import heapq
import random
from collections.abc import Sequence
from typing import Final

from attrs import define, field, frozen

from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.coordination.scheduling.endpoint_states import EndpointState
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.rendezvous import compute_rendezvous_hash

# Random endpoints that are compared: of the request's class in the local zone,
# of its class in other zones, and of other classes. With two or three, often
# none is among the few that are much faster than the others.
LOCAL_CHOICES: Final = 6
REMOTE_CHOICES: Final = 4
OTHER_CHOICES: Final = 2
# Endpoints that are compared besides, as they probably have the prompt's prefix
# in their cache.
AFFINITY_CHOICES: Final = 2


@frozen(kw_only=True)
class Candidate:
    """An endpoint that may serve a request.

    :ivar endpoint: the endpoint.
    :ivar state: what is observed of it.
    :ivar step_class: class of requests that it serves first, or ``None``.
    """

    endpoint: EndpointRecord
    state: EndpointState
    step_class: StepClass | None


@define(kw_only=True)
class Sample:
    """Endpoints to compare for a request.

    :ivar candidates: the endpoints, each once.
    :ivar preferred: names of those that probably have the prompt's prefix.
    """

    candidates: list[Candidate] = field(factory=list)
    preferred: set[str] = field(factory=set)


def draw_sample(
    candidates: Sequence[Candidate],
    *,
    zone: str,
    step_class: StepClass,
    affinity_key: str,
    rng: random.Random,
) -> Sample:
    """Draw the endpoints to compare.

    :param candidates: endpoints that may serve the request.
    :param zone: local availability zone.
    :param step_class: class of the request.
    :param affinity_key: key of the prompt's prefix, or empty.
    :param rng: random source.
    """
    groups = _group(candidates, zone, step_class)
    sample = Sample()
    if affinity_key:
        sample = _draw_preferred(
            groups[0] or groups[1] or groups[2], affinity_key
        )
    choices = (LOCAL_CHOICES, REMOTE_CHOICES, OTHER_CHOICES)
    for group, count in zip(groups, choices, strict=True):
        sample.candidates.extend(
            candidate
            for candidate in rng.sample(group, min(count, len(group)))
            if candidate.endpoint.name not in sample.preferred
        )
    return sample


def _group(
    candidates: Sequence[Candidate], zone: str, step_class: StepClass
) -> tuple[list[Candidate], ...]:
    """Group by preference: class and zone, class alone, neither."""
    groups: tuple[list[Candidate], ...] = ([], [], [])
    for candidate in candidates:
        if candidate.step_class not in {step_class, None}:
            groups[2].append(candidate)
            continue
        groups[candidate.endpoint.zone != zone].append(candidate)
    return groups


def _draw_preferred(
    candidates: Sequence[Candidate], affinity_key: str
) -> Sample:
    preferred = heapq.nlargest(
        AFFINITY_CHOICES,
        candidates,
        key=lambda candidate: compute_rendezvous_hash(
            affinity_key, candidate.endpoint.name
        ),
    )
    return Sample(
        candidates=preferred,
        preferred={candidate.endpoint.name for candidate in preferred},
    )
