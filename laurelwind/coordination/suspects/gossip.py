"""Spreads notices of crashes among all daemons.

A daemon forwards new notices to a few random peers, and they do the same, so
that all daemons have them within a few rounds and none sends to all others.
Blocks and recent notices are repeated from time to time, which makes up for
lost datagrams.  A daemon that has just started asks a few peers.  Nothing else
is sent while there is no notice, and the store is not needed.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.protocol.crash_notices import (
    CrashNotice,
    decode_notices,
    decode_question,
    encode_notices,
    encode_question,
)
from laurelwind.protocol.datagrams import DatagramChannel
from laurelwind.state.load import read_monotonic_clock

# Peers to which new notices are sent, and seconds for which they are collected.
# With eight peers in each round, a notice misses one daemon of some thousands.
UPDATE_FANOUT: Final = 8
UPDATE_DELAY_S: Final = 0.03
# Peers to which known notices are repeated, and seconds between two rounds.
REPEAT_FANOUT: Final = 3
REPEAT_PERIOD_S: Final = 1.0
# Rounds in which a daemon that has just started asks peers, and the most of
# those that ask which are answered at once.
ASK_ROUNDS: Final = 3
MAX_ASKING: Final = 32
# Datagrams that a round sends to a peer.
MAX_DATAGRAMS: Final = 8


class CrashGossip:
    """Exchanges notices of crashes with peers.

    :param screen: holds the notices.
    :param channel: sends and receives datagrams.
    :param local_address: ``host:port`` at which peers reach this daemon.
    :param list_peers: returns the addresses of all other daemons.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        screen: SuspectScreen,
        channel: DatagramChannel,
        local_address: str,
        list_peers: Callable[[], Sequence[str]],
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self._screen = screen
        self._channel = channel
        self._local_address = local_address
        self._list_peers = list_peers
        self._clock = clock
        self._asking: set[str] = set()
        self._is_asked = anyio.Event()
        channel.add_listener(self._receive)

    def start(self, group: TaskGroup) -> None:
        """Start to review reports and to spread notices.

        :param group: task group of the daemon.
        """
        group.start_soon(self._screen.run)
        group.start_soon(self._spread_updates)
        group.start_soon(self._repeat)
        group.start_soon(self._ask)
        group.start_soon(self._answer)

    def _receive(self, document: Any) -> None:
        self._screen.apply(decode_notices(document, self._clock()))
        peer = decode_question(document)
        if peer is not None and len(self._asking) < MAX_ASKING:
            self._asking.add(peer)
            self._is_asked.set()

    async def _ask(self) -> None:
        question = encode_question(self._local_address)
        for _ in range(ASK_ROUNDS):
            for peer in self._draw_peers(REPEAT_FANOUT):
                await self._channel.send(peer, question)
            await anyio.sleep(REPEAT_PERIOD_S)

    async def _answer(self) -> None:
        while True:
            await self._is_asked.wait()
            peers = tuple(self._asking)
            self._asking.clear()
            self._is_asked = anyio.Event()
            await self._send(self._screen.summarize(), peers)

    async def _spread_updates(self) -> None:
        while True:
            await self._screen.updates.has_any.wait()
            await anyio.sleep(UPDATE_DELAY_S)
            await self._send(
                self._screen.updates.take(), self._draw_peers(UPDATE_FANOUT)
            )

    async def _repeat(self) -> None:
        while True:
            await anyio.sleep(REPEAT_PERIOD_S)
            await self._send(
                self._screen.summarize(), self._draw_peers(REPEAT_FANOUT)
            )

    def _draw_peers(self, count: int) -> Sequence[str]:
        peers = self._list_peers()
        return random.sample(peers, min(count, len(peers)))

    async def _send(
        self, notices: Iterable[CrashNotice], peers: Iterable[str]
    ) -> None:
        datagrams = list(encode_notices(notices, self._clock()))
        for peer in peers:
            for datagram in datagrams[:MAX_DATAGRAMS]:
                await self._channel.send(peer, datagram)
