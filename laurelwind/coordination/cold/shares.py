"""Requests to cold endpoints that a daemon sends without a permit."""

import math
from collections.abc import Callable, Sequence

from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rendezvous import compute_rendezvous_hash


class ColdShares:
    """The local daemon's share of the requests to each cold endpoint.

    The requests of a second are dealt out to the members by rendezvous hashing
    of the endpoint. All daemons with the same members thus keep the rate
    together, where a random choice of each would exceed it now and then.

    :param local_address: ``host:port`` at which peers reach this daemon.
    :param list_members: returns the known daemons, none while unknown.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        local_address: str,
        list_members: Callable[[], Sequence[ListedInstance]],
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self._local_address = local_address
        self._list_members = list_members
        self._clock = clock
        self._members: Sequence[ListedInstance] = ()
        self._ranks: dict[str, int] = {}
        self._next_at: dict[str, float] = {}

    def take(self, name: str, rate: float) -> float:
        """Take the next request of the share if it is due.

        :param name: name of the endpoint.
        :param rate: requests per second of all daemons together.
        :returns: zero if it was taken, else the seconds until it is due, which
            are infinite for a daemon without a share.
        """
        interval_s = self._compute_interval(name, rate)
        now = self._clock()
        wait_s = max(self._next_at.get(name, now) - now, 0)
        if math.isinf(interval_s) or wait_s:
            return max(wait_s, interval_s)
        self._next_at[name] = now + interval_s
        return 0

    def retain(self, names: set[str]) -> None:
        """Discard the shares of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        for known in (self._ranks, self._next_at):
            for name in tuple(known):
                if name not in names:
                    known.pop(name)

    def _compute_interval(self, name: str, rate: float) -> float:
        """Return the seconds between two requests of this daemon."""
        rank = self._find_rank(name)
        if rank is None:
            return math.inf
        if rate < 1:
            return math.inf if rank else 1 / rate
        each, others = divmod(math.floor(rate), len(self._members))
        quota = each + (rank < others)
        return 1 / quota if quota else math.inf

    def _find_rank(self, name: str) -> int | None:
        members = self._list_members()
        if members != self._members:
            self._members = members
            self._ranks.clear()
        if name not in self._ranks:
            ordered = sorted(
                (member.peer_address for member in members),
                key=lambda address: compute_rendezvous_hash(name, address),
            )
            if self._local_address not in ordered:
                return None
            self._ranks[name] = ordered.index(self._local_address)
        return self._ranks[name]
