"""What a request requires of its endpoint."""

from collections.abc import Set
from typing import Final

from laurelwind.coordination.relay_jobs import PREFILL_TOKENS_PER_S, Job
from laurelwind.coordination.scheduling.requirements import (
    PlacementRequirements,
    RequestTraits,
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
        traits=build_traits(job),
    )


def build_traits(job: Job) -> RequestTraits:
    """Describe the work of a request.

    :param job: the request.
    """
    request = job.request
    engine = job.engine
    prefill_s: float = 0
    if engine is not None and engine.has_engines:
        prefill_s = request.prompt_tokens / PREFILL_TOKENS_PER_S
    return RequestTraits(
        route=job.route.name,
        step_class=job.step_class,
        prompt_tokens=request.prompt_tokens,
        length_hint=request.length_hint,
        output_limit=request.output_tokens,
        prefill_s=prefill_s * job.cost_share,
        priority=job.priority,
        sent_events=job.events,
        memory_limit=0 if engine is None else engine.memory_tokens,
    )
