"""Sets of faults and of traffic that a seed plays."""

from collections.abc import Mapping, Sequence
from typing import Final

from attrs import frozen

from soak.endpoint_faults import FAULT_SHARE

_FAULTS: Final = (
    *('stop', 'kill', 'pause', 'reload', 'store', 'forget', 'link', 'table'),
    *('keys', 'revoke', 'leave', 'rollout'),
    # These are chosen twice as often.
    *('table', 'keys', 'revoke', 'link', 'stop', 'leave'),
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
    """

    fault_names: Sequence[str]
    fault_share: float
    has_large_requests: bool


# Scenarios by name: faults alone, planned work and silent endpoints alone, and
# both at once.
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
    'all': Scenario(
        fault_names=(*_FAULTS, *_OPERATIONS),
        fault_share=FAULT_SHARE,
        has_large_requests=True,
    ),
}
