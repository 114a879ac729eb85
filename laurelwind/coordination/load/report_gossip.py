"""Spreads the load reports of endpoints that state their pace.

A daemon gets an answer of the same endpoint every few seconds only, while its
load and pace change many times a second.  It therefore forwards the reports
that are new to it to a few random peers of its availability zone, where most of
its requests go.  The cost of a daemon depends neither on the number of daemons
nor on that of endpoints.  Nothing is sent where no
endpoint states its pace.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from laurelwind.coordination.load.step_classes import Shares
from laurelwind.coordination.scheduling.load_observations import (
    LoadObservations,
)
from laurelwind.decisions import DecisionLog
from laurelwind.protocol.datagrams import DatagramChannel
from laurelwind.protocol.load_reports import (
    MAX_REPORTS,
    decode_demand,
    decode_reports,
    encode_reports,
)
from laurelwind.state.directory import EndpointRecord
from laurelwind.state.load import read_monotonic_clock

# Seconds between two rounds, and peers that receive a datagram in each.  With
# four peers a report reaches the 24 daemons of a zone in about three rounds,
# within its lifetime, at no more than 14 of the 19 KB/s that a daemon may take
# for control.
PERIOD_S: Final = 0.35
FANOUT: Final = 4


class ReportGossip:
    """Sends and receives load reports and the demand by class.

    :param observations: holds the reports.
    :param channel: sends and receives datagrams.
    :param list_peers: returns the addresses of the other daemons of the zone.
    :param find_endpoint: returns the endpoint of a name, or ``None``.
    :param log: decision log.
    """

    def __init__(
        self,
        *,
        observations: LoadObservations,
        channel: DatagramChannel,
        list_peers: Callable[[], Sequence[str]],
        find_endpoint: Callable[[str], EndpointRecord | None],
        log: DecisionLog,
    ) -> None:
        self._observations = observations
        self._channel = channel
        self._list_peers = list_peers
        self._find_endpoint = find_endpoint
        self._log = log
        self._logged_shares: dict[str, Shares] = {}
        channel.add_listener(self.receive)

    def start(self, group: TaskGroup) -> None:
        """Start to spread reports.

        :param group: task group of the daemon.
        """
        group.start_soon(self._spread)

    def build_datagram(self) -> bytes | None:
        """Return the datagram of a round, or ``None`` if nothing is new."""
        reports = self._observations.take_updates(MAX_REPORTS)
        if not reports:
            return None
        return encode_reports(
            reports,
            {
                service: load.measure_classes()
                for service, load in self._observations.list_paced()
                if load.demand.measure()
            },
        )

    def receive(self, document: Any) -> None:
        """Apply the datagram of another daemon.

        :param document: the parsed datagram of any kind.
        """
        for shared in decode_reports(document):
            endpoint = self._find_endpoint(shared.endpoint)
            if endpoint is not None:
                self._observations.record_remote_report(
                    endpoint, shared.report, shared.age_s
                )
        now = read_monotonic_clock()
        for service, classes in decode_demand(document).items():
            if self._observations.is_paced(service):
                load = self._observations.get_service_load(service)
                load.record_remote_classes(classes, now)

    async def _spread(self) -> None:
        while True:
            await anyio.sleep(PERIOD_S)
            self._log_shares()
            datagram = self.build_datagram()
            if datagram is not None:
                peers = self._list_peers()
                for peer in random.sample(peers, min(FANOUT, len(peers))):
                    await self._channel.send(peer, datagram)

    def _log_shares(self) -> None:
        shares = {
            service: load.demand.shares
            for service, load in self._observations.list_paced()
        }
        for service, new in shares.items():
            if new and new is not self._logged_shares.get(service):
                self._log.log_info(
                    'step_classes_changed',
                    service=service,
                    **{
                        step_class.name.lower(): round(share, 3)
                        for step_class, share in new.items()
                    },
                )
        self._logged_shares = shares
