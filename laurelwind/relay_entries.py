"""The daemons that a relay daemon names to callers."""

from collections.abc import Sequence

from attrs import frozen

from laurelwind.coordination.entry_lists import choose_entries
from laurelwind.coordination.members import FleetMembership
from laurelwind.coordination.tracker import Tracker
from laurelwind.coordination.zones.regions import ZoneRegions
from laurelwind.protocol.platform import ListedInstance
from laurelwind.relay_settings import RelaySettings
from laurelwind.relay_tracking import FleetTracking


@frozen(kw_only=True)
class FleetEntries:
    """Chooses among the daemons that accept callers.

    :ivar membership: the live daemons.
    :ivar tracker: holds the routing table in force.
    :ivar regions: regions of the zones; they count while the table binds any
        route or workspace to regions.
    """

    membership: FleetMembership
    tracker: Tracker
    regions: ZoneRegions

    def choose(
        self, zone: str, limit: int, *, excluded_address: str
    ) -> Sequence[str]:
        """Return caller addresses for a caller.

        :param zone: availability zone of the caller.
        :param limit: largest number of addresses.
        :param excluded_address: caller address of a daemon that accepts no
            callers, or an empty string.
        """
        departures = self.membership.departures
        accepting: Sequence[ListedInstance] = [
            member
            for member in self.membership.members
            if member.caller_address != excluded_address
            and not departures.is_hidden(member.name)
        ]
        table = self.tracker.table
        if table is not None and table.has_regions:
            accepting = self.regions.select_members(accepting, zone)
        return choose_entries(accepting, zone, limit)


def build_entries(
    settings: RelaySettings, tracking: FleetTracking
) -> FleetEntries:
    """Build the choice of entries.

    :param settings: settings of the daemon.
    :param tracking: what it knows of the store and of its peers.
    """
    return FleetEntries(
        membership=tracking.membership,
        tracker=tracking.tracker,
        regions=ZoneRegions(by_zone=settings.regions),
    )
