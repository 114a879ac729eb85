"""Wires what a relay daemon shares with its peers about crashes and load."""

from typing import TYPE_CHECKING

from laurelwind.coordination.shedding.load_decisions import LoadDecisions
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


def build_load_decisions(daemon: 'RelayDaemon') -> LoadDecisions:
    """Build the load decisions of a daemon.

    :param daemon: the daemon; its peers are built.
    """
    return LoadDecisions()
