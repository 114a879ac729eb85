"""Spreads among all daemons that a limit was stated or lifted.

A daemon forwards what is new to it to a few random peers. A daemon that is
missed learns of the limit from an answer, or from the holder of the permits.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from laurelwind.coordination.limits.endpoint_limits import (
    EndpointLimits,
    LimitEvent,
)
from laurelwind.protocol.datagrams import DatagramChannel
from laurelwind.protocol.permits import decode_limits, encode_limits
from laurelwind.state.load import read_monotonic_clock
from laurelwind.state.rate_limits import EndpointProcess, LimitStatement

# Peers to which an update is sent, and seconds for which updates are collected.
FANOUT: Final = 8
BATCH_DELAY_S: Final = 0.03


class LimitGossip:
    """Sends and receives updates of limits.

    :param limits: the limits of the endpoints.
    :param channel: sends and receives datagrams.
    :param list_peers: returns the addresses of all other daemons.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        limits: EndpointLimits,
        channel: DatagramChannel,
        list_peers: Callable[[], Sequence[str]],
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self._limits = limits
        self._channel = channel
        self._list_peers = list_peers
        self._clock = clock
        self._updates: dict[EndpointProcess, LimitStatement] = {}
        self._has_updates = anyio.Event()
        limits.add_listener(self._add)
        channel.add_listener(self._receive)

    def start(self, group: TaskGroup) -> None:
        """Start to spread updates.

        :param group: task group of the daemon.
        """
        group.start_soon(self._spread)

    def _add(self, event: LimitEvent) -> None:
        self._updates[event.process] = event.statement
        self._has_updates.set()

    def _receive(self, document: Any) -> None:
        for process, statement in decode_limits(document, self._clock()):
            self._limits.apply(process, statement)

    async def _spread(self) -> None:
        while True:
            await self._has_updates.wait()
            await anyio.sleep(BATCH_DELAY_S)
            self._has_updates = anyio.Event()
            updates = self._updates
            self._updates = {}
            datagrams = list(encode_limits(updates.items(), self._clock()))
            for peer in self._draw_peers():
                for datagram in datagrams:
                    await self._channel.send(peer, datagram)

    def _draw_peers(self) -> Sequence[str]:
        peers = self._list_peers()
        return random.sample(peers, min(FANOUT, len(peers)))
