"""Shares demand of workspaces and pressure of services between daemons.

Each daemon sends one datagram to a few random peers at a fixed interval, so the
cost of a daemon does not depend on the number of daemons or of requests.
"""

import math
import random
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final

import anyio
import orjson
from anyio.abc import TaskGroup

from laurelwind.coordination.shedding.demand_totals import DemandRow
from laurelwind.coordination.shedding.load_decisions import LoadDecisions
from laurelwind.coordination.shedding.pressure import PressureSample
from laurelwind.protocol.datagrams import MAX_DATAGRAM_BYTES, DatagramChannel
from laurelwind.state.load import read_monotonic_clock

# Peers that a report is sent to, and the seconds between reports. With 3 peers
# every 0.5 s a daemon holds the reports of about 18 peers that are younger than
# 3 s, a sample of some hundred requests, at no more than 7 KB/s. With 2 peers
# the largest requests fell below their floor at three times the capacity.
FANOUT: Final = 3
INTERVAL_S: Final = 0.5
JITTER: Final = (0.8, 1.2)
# The most rows of a datagram.
MAX_DEMAND_ROWS: Final = 24
MAX_PRESSURE_ROWS: Final = 8
_KIND: Final = 'demand'
_MAX_AMOUNT: Final = 1e9
# Cells of a row: service, priority, ratio, age in seconds, admitted share; and
# service, workspace, work, requests and usual share.
_PRESSURE_TYPES: Final = (str, int, float, float, float)
_DEMAND_TYPES: Final = (str, str, float, float, float)


class LoadGossip:
    """Sends and receives reports of load.

    :param decisions: makes the load decisions of this daemon.
    :param channel: sends and receives datagrams.
    :param local_address: address of this daemon for its peers.
    :param list_peers: returns the addresses of all other daemons.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        decisions: LoadDecisions,
        channel: DatagramChannel,
        local_address: str,
        list_peers: Callable[[], Sequence[str]],
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self._decisions = decisions
        self._channel = channel
        self._local_address = local_address
        self._list_peers = list_peers
        self._clock = clock
        channel.add_listener(self.receive)

    def start(self, group: TaskGroup) -> None:
        """Start to send reports.

        :param group: task group of the daemon.
        """
        group.start_soon(self._send_reports)

    def encode(self) -> bytes:
        """Encode the report of this daemon, or nothing if it has none."""
        now = self._clock()
        pressures = _list_pressures(self._decisions, now)
        rows = self._decisions.workspaces.list_rows(now, MAX_DEMAND_ROWS)
        demands = [
            [
                row.service,
                row.workspace,
                round(row.work),
                round(row.requests, 1),
                round(row.usual_share, 4),
            ]
            for row in rows
        ]
        while pressures or demands:
            datagram = orjson.dumps(
                [_KIND, self._local_address, pressures, demands]
            )
            if len(datagram) <= MAX_DATAGRAM_BYTES:
                return datagram
            # The smallest demands come last.
            (demands or pressures).pop()
        return b''

    def receive(self, document: Any) -> None:
        """Apply the report of a peer; other documents are ignored.

        :param document: any document that a peer has sent.
        """
        if not _is_report(document):
            return
        _, peer, pressures, demands = document
        if peer == self._local_address:
            return
        now = self._clock()
        known = self._decisions.list_services()
        for service, sample, admitted_share in _decode(peer, pressures, now):
            load = known.get(service)
            if load is not None:
                load.pressure.record_remote(sample, now)
                load.demand.record_remote_share(admitted_share, now)
        self._decisions.workspaces.record_report(
            peer, tuple(_decode_demands(demands)), now
        )

    async def _send_reports(self) -> None:
        while True:
            # The jitter keeps daemons that start together from sending at once.
            await anyio.sleep(INTERVAL_S * random.uniform(*JITTER))
            datagram = self.encode()
            if not datagram:
                continue
            peers = self._list_peers()
            for peer in random.sample(peers, min(FANOUT, len(peers))):
                await self._channel.send(peer, datagram)


def _list_pressures(decisions: LoadDecisions, now: float) -> list[list[Any]]:
    return [
        [
            service,
            sample.priority,
            round(sample.ratio, 3),
            round(now - sample.observed_at, 3),
            round(load.demand.admitted_share, 3),
        ]
        for service, load in decisions.list_services().items()
        for sample in load.pressure.list_local_samples(now)
    ][:MAX_PRESSURE_ROWS]


def _is_report(document: Any) -> bool:
    if not isinstance(document, list) or len(document) != 4:
        return False
    kind, peer, pressures, demands = document
    return (
        kind == _KIND
        and isinstance(peer, str)
        and isinstance(pressures, list)
        and isinstance(demands, list)
    )


def _decode(
    peer: str, rows: list[Any], now: float
) -> Iterator[tuple[str, PressureSample, float]]:
    for row in rows[:MAX_PRESSURE_ROWS]:
        if not _is_row(row, _PRESSURE_TYPES):
            continue
        service, priority, *amounts = row
        ratio, age_s, admitted_share = amounts
        yield (
            service,
            PressureSample(
                priority=priority,
                ratio=min(ratio, 1),
                observed_at=now - age_s,
                source=('peer', peer),
            ),
            min(admitted_share, 1),
        )


def _decode_demands(rows: list[Any]) -> Iterator[DemandRow]:
    for row in rows[:MAX_DEMAND_ROWS]:
        if not _is_row(row, _DEMAND_TYPES):
            continue
        service, workspace, *amounts = row
        work, requests, usual_share = amounts
        yield DemandRow(
            service=service,
            workspace=workspace,
            work=work,
            requests=requests,
            usual_share=min(usual_share, 1),
        )


def _is_row(row: Any, types: Sequence[type]) -> bool:
    if not isinstance(row, list) or len(row) != len(types):
        return False
    return all(
        isinstance(cell, str) if expected is str else _is_amount(cell, expected)
        for cell, expected in zip(row, types, strict=True)
    )


def _is_amount(amount: Any, expected: type) -> bool:
    if isinstance(amount, bool) or not isinstance(amount, int | float):
        return False
    if expected is int and not isinstance(amount, int):
        return False
    return math.isfinite(amount) and 0 <= amount <= _MAX_AMOUNT
