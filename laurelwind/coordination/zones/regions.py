"""Keeps requests in the regions that routes and workspaces allow."""

from collections.abc import Mapping, Sequence, Set

from attrs import field, frozen

from laurelwind.protocol.platform import ListedInstance
from laurelwind.state.directory import EndpointRecord


@frozen(kw_only=True)
class ZoneRegions:
    """Regions of the availability zones.

    :ivar by_zone: region of each zone. An endpoint of any other zone is in no
        region that could be allowed.
    """

    by_zone: Mapping[str, str] = field(factory=dict)

    def select_endpoints(
        self, endpoints: Sequence[EndpointRecord], allowed: Set[str] | None
    ) -> Sequence[EndpointRecord]:
        """Return the endpoints that a request may be sent to.

        :param endpoints: the endpoints.
        :param allowed: names of regions, or ``None`` if any is allowed.
        """
        if allowed is None:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if self.by_zone.get(endpoint.zone) in allowed
        ]

    def select_members(
        self, members: Sequence[ListedInstance], zone: str
    ) -> Sequence[ListedInstance]:
        """Return the daemons of a caller's region, or all if it has none.

        :param members: the daemons that accept callers.
        :param zone: availability zone of the caller.
        """
        region = self.by_zone.get(zone)
        if region is None:
            return members
        same_region = [
            member
            for member in members
            if self.by_zone.get(member.zone) == region
        ]
        return same_region or members
