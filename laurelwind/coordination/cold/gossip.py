"""Spreads among all daemons which endpoints are cold.

A daemon forwards what is new to it to a few random peers, and repeats what is
in force to fewer of them, as a daemon that misses it would send what it likes.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from laurelwind.coordination.cold.endpoints import ColdEndpoints, ColdEvent
from laurelwind.protocol.cold import decode_cold, encode_cold
from laurelwind.protocol.datagrams import DatagramChannel
from laurelwind.state.cold_endpoints import ColdStatement
from laurelwind.state.load import read_monotonic_clock

# Peers to which a change is sent, and seconds for which changes are collected.
FANOUT: Final = 8
BATCH_DELAY_S: Final = 0.03
# Peers to which statements in force are repeated, and seconds between that.
REPEAT_FANOUT: Final = 2
REPEAT_S: Final = 1.0
# Share by which that time varies, so that daemons do not send at once.
REPEAT_JITTER: Final = 0.5
# Seconds between reviews of the cold endpoints.
REVIEW_S: Final = 0.2


class ColdGossip:
    """Sends and receives statements about cold endpoints.

    :param endpoints: the cold endpoints.
    :param channel: sends and receives datagrams.
    :param list_peers: returns the addresses of all other daemons.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        endpoints: ColdEndpoints,
        channel: DatagramChannel,
        list_peers: Callable[[], Sequence[str]],
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self._endpoints = endpoints
        self._channel = channel
        self._list_peers = list_peers
        self._clock = clock
        self._updates: dict[str, ColdStatement] = {}
        self._has_updates = anyio.Event()
        endpoints.add_listener(self._add)
        channel.add_listener(self._receive)

    def start(self, group: TaskGroup) -> None:
        """Start to spread changes and to review the cold endpoints, if any.

        :param group: task group of the daemon.
        """
        if not self._endpoints.is_enabled:
            return
        group.start_soon(self._spread)
        group.start_soon(self._review)
        group.start_soon(self._repeat)

    def _add(self, event: ColdEvent) -> None:
        self._updates[event.name] = event.statement
        self._has_updates.set()

    def _receive(self, document: Any) -> None:
        for name, statement in decode_cold(document, self._clock()):
            self._endpoints.apply(name, statement)

    async def _spread(self) -> None:
        while True:
            await self._has_updates.wait()
            await anyio.sleep(BATCH_DELAY_S)
            self._has_updates = anyio.Event()
            updates = self._updates
            self._updates = {}
            await self._send(updates.items(), FANOUT)

    async def _review(self) -> None:
        while True:
            await anyio.sleep(REVIEW_S)
            self._endpoints.review()

    async def _repeat(self) -> None:
        while True:
            jitter = random.uniform(1 - REPEAT_JITTER, 1 + REPEAT_JITTER)
            await anyio.sleep(REPEAT_S * jitter)
            await self._send(
                [
                    (name, statement)
                    for name, statement in self._endpoints.table.iterate_cold()
                    if not statement.is_private
                ],
                REPEAT_FANOUT,
            )

    async def _send(
        self, statements: Iterable[tuple[str, ColdStatement]], fanout: int
    ) -> None:
        datagrams = list(encode_cold(statements, self._clock()))
        peers = self._list_peers() if datagrams else ()
        for peer in random.sample(peers, min(fanout, len(peers))):
            for datagram in datagrams:
                await self._channel.send(peer, datagram)
