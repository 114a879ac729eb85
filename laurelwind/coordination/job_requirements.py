"""What a request requires of its endpoint."""

from collections.abc import Set
from typing import Final

from laurelwind.coordination.relay_jobs import Job
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
)

_NONE: Final[Set[str]] = frozenset()


def build_requirements(
    job: Job, *, excluded: Set[str] = _NONE, avoids_backoff: bool = False
) -> PlacementRequirements:
    """Build the requirements of a request for its endpoint.

    :param job: the request.
    :param excluded: names of endpoints that are ruled out, besides those that
        failed the request.
    :param avoids_backoff: whether endpoints in backoff are ruled out.
    """
    # The last part of a prompt is specific to the request or session, so only
    # the parts before it are likely to be cached.
    shared = job.request.parts[:-1] or job.request.parts
    tokens = sum(part.tokens for part in shared)
    return PlacementRequirements(
        affinity_key=shared[-1].name if shared else '',
        reuse_saving_s=job.estimate_prefill(tokens),
        excluded_endpoints=frozenset(job.excluded_endpoints | excluded),
        avoids_backoff=avoids_backoff,
        scheduling_class=job.scheduling_class,
    )
