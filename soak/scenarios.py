"""Sets of faults and of traffic that a seed plays."""

from collections.abc import Mapping, Sequence
from typing import Final

from attrs import field, frozen

from soak import bounds
from soak.endpoint_faults import FAULT_SHARE
from standins.unusual import UnusualBehaviour

# Zone `a` is large enough for daemons to read from their peers, zone `b` is
# not. Of the second fleet both zones are.
ZONES: Final = 'aaaaaaabb'
_PARTIAL_ZONES: Final = 'aaaaaaaabbbbbbbb'
_FAULTS: Final = (
    *('stop', 'kill', 'pause', 'reload', 'store', 'forget', 'link', 'table'),
    *('keys', 'revoke', 'leave', 'rollout'),
    # These are chosen twice as often.
    *('table', 'keys', 'revoke', 'link', 'stop', 'leave'),
)
_ANSWERS: Final = (
    *('poison', 'poison', 'poison', 'stop', 'kill', 'store', 'link', 'table'),
    *('leave', 'silence', 'rollout'),
)
_RESTORES: Final = (
    *('restore', 'restore', 'announce', 'announce', 'pauses', 'pauses'),
    *('stop', 'kill', 'store', 'link', 'table', 'keys', 'revoke', 'rollout'),
)
_LIMITS: Final = (
    *('limits', 'limits', 'limits', 'limits', 'stop', 'kill', 'pause', 'link'),
    *('store', 'table', 'leave', 'rollout', 'silence'),
)
_PARTIAL: Final = (
    *('turn away', 'turn away', 'turn away', 'turn away', 'stops', 'kill'),
    *('pause', 'reloads', 'tables', 'tables', 'table', 'keys', 'leave'),
    'leave',
)
_REPEATS: Final = (
    *('repeat', 'repeat', 'repeat', 'repeat', 'stop', 'stops', 'kill'),
    *('pause', 'link'),
    *('store', 'turn away', 'table', 'leave', 'reloads', 'silence'),
)
_MISUSE: Final = (
    *('misuse', 'misuse', 'misuse', 'misuse', 'misuse', 'misuse'),
    *('stop', 'kill', 'reload', 'table', 'leave'),
)
_ZONE_FAULTS: Final = (
    *('evacuate', 'evacuate', 'return cold', 'return cold', 'return cold'),
    *('turn cold', 'turn cold', 'stop', 'stops', 'kill', 'link'),
    *('store', 'turn away', 'table', 'leave', 'rollout'),
)
_OPERATIONS: Final = (
    *('silence', 'silence', 'silence', 'tables', 'tables', 'reloads'),
    *('stops', 'stops', 'keys', 'leave'),
)


@frozen(kw_only=True)
class Scenario:
    """What happens in a run.

    :ivar fault_names: faults to choose from, with equal probability.
    :ivar fault_share: share of requests that get a fault at endpoints of the
        pools, between 0 and 1.
    :ivar has_large_requests: whether some requests and answers are large, and
        some callers have narrow links.
    :ivar unusual: what endpoints do besides faults.
    :ivar has_prompts: whether streams have prompts, some of which crash
        endpoints.
    :ivar zones: zone of each daemon, one letter each.
    :ivar memory_mb: size of each instance in MB of 2**20 bytes, which its
        daemon must not exceed; zero if it is not checked.
    :ivar endpoint_zones: zones of endpoints in turn, one letter each.
    :ivar has_cold: whether services have a cold time.
    """

    fault_names: Sequence[str]
    fault_share: float
    has_large_requests: bool
    unusual: UnusualBehaviour = field(factory=UnusualBehaviour)
    has_prompts: bool = False
    zones: str = ZONES
    memory_mb: float = 0
    endpoint_zones: str = 'a'
    has_cold: bool = False


# Scenarios by name: faults alone; planned work and silent endpoints alone;
# unusual answers and prompts that crash endpoints; a store that is restored
# from an older copy, and endpoints that announce that they leave or ask for a
# pause; endpoints that state rate limits; a store that serves some daemons
# only, beside signals and changes in series; requests that crash endpoints and
# come again; callers that misuse daemons of the smallest instances; evacuated
# zones and cold endpoints; faults with planned work.
SCENARIOS: Final[Mapping[str, Scenario]] = {
    'faults': Scenario(
        fault_names=_FAULTS,
        fault_share=FAULT_SHARE,
        has_large_requests=False,
    ),
    'operations': Scenario(
        fault_names=_OPERATIONS,
        fault_share=0,
        has_large_requests=True,
    ),
    'answers': Scenario(
        fault_names=_ANSWERS,
        fault_share=FAULT_SHARE,
        has_large_requests=False,
        unusual=UnusualBehaviour(
            unframed_share=0.2,
            has_floods=True,
            crash_part=bounds.DEADLY_PART,
        ),
        has_prompts=True,
    ),
    'restores': Scenario(
        fault_names=_RESTORES,
        fault_share=FAULT_SHARE,
        has_large_requests=False,
    ),
    'limits': Scenario(
        fault_names=_LIMITS,
        fault_share=0,
        has_large_requests=False,
    ),
    'partial': Scenario(
        fault_names=_PARTIAL,
        fault_share=0,
        has_large_requests=False,
        zones=_PARTIAL_ZONES,
    ),
    'repeats': Scenario(
        fault_names=_REPEATS,
        fault_share=0,
        has_large_requests=False,
    ),
    'misuse': Scenario(
        fault_names=_MISUSE,
        fault_share=0,
        has_large_requests=False,
        memory_mb=bounds.MEMORY_MB,
    ),
    'zones': Scenario(
        fault_names=_ZONE_FAULTS,
        fault_share=0,
        has_large_requests=False,
        zones=_PARTIAL_ZONES,
        endpoint_zones='abc',
        has_cold=True,
    ),
    'all': Scenario(
        fault_names=(
            *(*_FAULTS, *_OPERATIONS, 'limits', 'limits', 'turn away'),
            *('repeat', 'repeat'),
        ),
        fault_share=FAULT_SHARE,
        has_large_requests=True,
    ),
}
