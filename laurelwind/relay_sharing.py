"""Wires what a relay daemon shares with its peers about crashes and load."""

from typing import TYPE_CHECKING

from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.load_gossip import LoadGossip
from laurelwind.coordination.suspects.gossip import CrashGossip

if TYPE_CHECKING:
    from laurelwind.relay_daemon import RelayDaemon


def build_crash_gossip(daemon: 'RelayDaemon') -> CrashGossip:
    """Build the exchange of notices of crashes.

    :param daemon: the daemon; its screen and peers are built.
    """
    return CrashGossip(
        screen=daemon.screen,
        channel=daemon.datagrams,
        local_address=daemon.settings.listen.peers,
        list_peers=daemon.list_peers,
    )


def build_load_decisions() -> LoadDecisions:
    """Build the load decisions of a daemon."""
    return LoadDecisions()


def build_load_gossip(daemon: 'RelayDaemon') -> LoadGossip:
    """Build the exchange of reports of load.

    :param daemon: the daemon; its load decisions and peers are built.
    """
    return LoadGossip(
        decisions=daemon.load_decisions,
        channel=daemon.datagrams,
        local_address=daemon.settings.listen.peers,
        list_peers=daemon.list_peers,
    )
