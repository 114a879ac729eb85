"""Chooses the daemon that holds the permits of an endpoint."""

from collections.abc import Callable, Sequence, Set

from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.rate_limits import (
    EndpointProcess,
    discard_removed,
    is_cold_key,
)
from laurelwind.state.rendezvous import compute_rendezvous_hash


class HolderChoice:
    """Maps each endpoint to one daemon, alike in daemons with the same members.

    Daemons of the endpoint's availability zone come first: most requests to it
    are sent from there.

    :param list_members: returns the daemons that may hold permits, none while
        the members are unknown.
    :param is_cut_off: whether this daemon is cut off from all others, which
        choose another holder for cold endpoints meanwhile; ``None`` if no
        endpoint is ever cold.
    """

    def __init__(
        self,
        *,
        list_members: Callable[[], Sequence[ListedInstance]],
        is_cut_off: Callable[[], bool] | None = None,
    ) -> None:
        self._is_cut_off = is_cut_off
        self._list_members = list_members
        self._members: Sequence[ListedInstance] = ()
        self._holders: dict[EndpointProcess, str] = {}

    def retain(self, names: Set[str]) -> None:
        """Discard the holders of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        discard_removed(self._holders, names)

    def find_holder(self, process: EndpointProcess, zone: str) -> str | None:
        """Return the address of the holder for peers, or ``None`` if unknown.

        :param process: the endpoint.
        :param zone: availability zone of the endpoint.
        """
        is_cut_off = self._is_cut_off
        if is_cut_off and is_cold_key(process) and is_cut_off():
            return None
        members = self._list_members()
        if members != self._members:
            self._members = members
            self._holders.clear()
        if process not in self._holders:
            holder = _choose_holder(process, zone, members)
            if holder is None:
                return None
            self._holders[process] = holder.peer_address
        return self._holders[process]


def _choose_holder(
    process: EndpointProcess, zone: str, members: Sequence[ListedInstance]
) -> ListedInstance | None:
    name, started_ms = process
    subject = f'{name}@{started_ms}'
    local = [member for member in members if member.zone == zone]
    return max(
        local or members,
        key=lambda member: compute_rendezvous_hash(subject, member.name),
        default=None,
    )
