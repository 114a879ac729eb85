"""Requirements of a request, and the scheduling classes of endpoints."""

import enum
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from attrs import frozen

from laurelwind.coordination.load.step_classes import StepClass
from laurelwind.state.directory import EndpointRecord


class SchedulingClass(enum.Enum):
    """Classes of requests that are placed on separate engines if possible."""

    LONG = 'long'
    OTHER = 'other'


# Share of a zone's endpoints per scheduling class, in order of assignment.
CLASS_SHARES: Final[Mapping[SchedulingClass, float]] = {
    SchedulingClass.LONG: 0.34,
    SchedulingClass.OTHER: 0.66,
}


@frozen(kw_only=True)
class RequestTraits:
    """What is known of a request's work before it is placed.

    :ivar route: name of its route.
    :ivar step_class: class by what it costs the steps of its batch.
    :ivar prompt_tokens: tokens of the prompt, with those sent already.
    :ivar length_hint: the caller's estimate of the output tokens, or zero.
    :ivar output_limit: largest length of the answer in tokens, or zero.
    :ivar prefill_s: estimated prefill time of the prompt, in seconds.
    :ivar priority: 0 (most urgent) to 9.
    :ivar sent_events: events that the caller has already.
    :ivar memory_limit: tokens that an endpoint of the service has memory for,
        or zero if unknown.
    """

    route: str = ''
    step_class: StepClass = StepClass.HEAVY
    prompt_tokens: int = 0
    length_hint: int = 0
    output_limit: int = 0
    prefill_s: float = 0
    priority: int = 0
    sent_events: int = 0
    memory_limit: int = 0


@frozen(kw_only=True)
class PlacementRequirements:
    """Requirements and preferences of a request for its endpoint.

    :ivar affinity_key: key shared by requests that can reuse each other's
        prompt cache, or empty.
    :ivar reuse_saving_s: seconds of prefill that the cached prefix saves.
    :ivar excluded_endpoints: names of endpoints that failed the request.
    :ivar avoids_backoff: whether endpoints in backoff are ruled out, rather
        than used when there is no other.
    :ivar scheduling_class: class of the request, or ``None`` where classes are
        not separated.
    :ivar traits: work of the request, for services that report their pace.
    """

    affinity_key: str = ''
    reuse_saving_s: float = 0
    excluded_endpoints: frozenset[str] = frozenset()
    avoids_backoff: bool = False
    scheduling_class: SchedulingClass | None = None
    traits: RequestTraits = RequestTraits()


class ClassAssignments:
    """Scheduling classes of the endpoints that were last asked for."""

    def __init__(self) -> None:
        self._names: tuple[str, ...] = ()
        self._classes: Mapping[str, SchedulingClass] = {}

    def assign(
        self, endpoints: Sequence[EndpointRecord]
    ) -> Mapping[str, SchedulingClass]:
        """Return the class of each endpoint, by name.

        :param endpoints: the endpoints.
        """
        names = tuple(endpoint.name for endpoint in endpoints)
        if names != self._names:
            self._names = names
            self._classes = assign_scheduling_classes(endpoints)
        return self._classes


def assign_scheduling_classes(
    endpoints: Iterable[EndpointRecord],
) -> dict[str, SchedulingClass]:
    """Assign a scheduling class to each endpoint, identically in every daemon.

    :param endpoints: the endpoints.
    """
    zones: dict[str, list[str]] = {}
    for endpoint in endpoints:
        zones.setdefault(endpoint.zone, []).append(endpoint.name)
    classes = {}
    for names in zones.values():
        for index, name in enumerate(sorted(names)):
            classes[name] = _get_scheduling_class((index + 0.5) / len(names))
    return classes


def _get_scheduling_class(position: float) -> SchedulingClass:
    for scheduling_class, share in CLASS_SHARES.items():
        position -= share
        if position < 0:
            return scheduling_class
    return SchedulingClass.OTHER
