"""Demand of workspaces on services, summed over daemons."""

import heapq
from typing import Final

from attrs import define, field, frozen

# Recent requests, of all and of one workspace, that a share has to rest on.
MIN_REQUESTS: Final = 30
MIN_WORKSPACE_REQUESTS: Final = 6
# Recent requests of the others: the demand of a workspace is compared with
# theirs, and without them it displaces nobody.
MIN_OTHER_REQUESTS: Final = 15

# A service and a workspace.
Pair = tuple[str, str]


@frozen(kw_only=True)
class DemandRow:
    """Demand of one workspace on one service, as one daemon sees it.

    :ivar service: name of the service.
    :ivar workspace: name of the workspace.
    :ivar work: recent work.
    :ivar requests: recent requests.
    :ivar usual_share: usual share of the service's work, or zero if unknown.
    """

    service: str
    workspace: str
    work: float
    requests: float
    usual_share: float = 0

    @property
    def pair(self) -> Pair:
        """The service and the workspace."""
        return self.service, self.workspace


@define(kw_only=True)
class DemandTotals:
    """Demand of workspaces, summed over daemons.

    :ivar work: work by pair.
    :ivar requests: requests by pair.
    :ivar service_work: work by service.
    :ivar service_requests: requests by service.
    """

    work: dict[Pair, float] = field(factory=dict)
    requests: dict[Pair, float] = field(factory=dict)
    service_work: dict[str, float] = field(factory=dict)
    service_requests: dict[str, float] = field(factory=dict)

    def add(self, row: DemandRow) -> None:
        """Add what one daemon has seen of a pair.

        :param row: the demand.
        """
        pair, service = row.pair, row.service
        self.work[pair] = self.work.get(pair, 0) + row.work
        self.requests[pair] = self.requests.get(pair, 0) + row.requests
        self.service_work[service] = (
            self.service_work.get(service, 0) + row.work
        )
        self.service_requests[service] = (
            self.service_requests.get(service, 0) + row.requests
        )

    def list_largest(self, limit: int) -> list[Pair]:
        """Return the pairs with the largest shares of their service's work.

        Work is not compared among services: a request of one may count 1, and
        of another thousands of tokens.

        :param limit: largest number of pairs.
        """
        return heapq.nlargest(limit, self.work, key=self.get_share)

    def get_share(self, pair: Pair) -> float:
        """Return the share of the service's work.

        :param pair: a pair that was added.
        """
        return self.work.get(pair, 0) / max(self.service_work[pair[0]], 1)

    def get_surge(self, pair: Pair, usual: float) -> float:
        """Return the work as a multiple of the usual, by that of the others.

        It is zero while nothing is known.

        :param pair: the pair.
        :param usual: its usual share of the service's work.
        """
        own = self.work.get(pair, 0)
        others = self.service_work.get(pair[0], 0) - own
        expected = others * usual
        if expected <= 0:
            return 0
        return own * (1 - usual) / expected

    def is_sufficient(self, pair: Pair) -> bool:
        """Return whether there are enough requests to compare.

        :param pair: the pair.
        """
        requests = self.requests.get(pair, 0)
        total = self.service_requests.get(pair[0], 0)
        return (
            total >= MIN_REQUESTS
            and requests >= MIN_WORKSPACE_REQUESTS
            and total - requests >= MIN_OTHER_REQUESTS
        )
