"""What a daemon needs to send requests to cold endpoints."""

from collections.abc import Callable

from attrs import frozen

from laurelwind.coordination.cold.gossip import ColdGossip
from laurelwind.coordination.cold.shares import ColdShares


@frozen(kw_only=True)
class ColdAccess:
    """Collaborators of the permits for cold endpoints.

    :ivar shares: this daemon's shares of the requests without a holder.
    :ivar gossip: spreads which endpoints are cold.
    :ivar count: called with the outcome of each ask.
    """

    shares: ColdShares
    gossip: ColdGossip
    count: Callable[[str], None]
