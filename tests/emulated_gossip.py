"""Daemons that exchange notices of crashes over an emulated network."""

import asyncio
import random

import anyio
import orjson

from laurelwind.coordination.suspects.gossip import CrashGossip
from laurelwind.coordination.suspects.screen import SuspectScreen
from laurelwind.protocol.datagrams import MAX_DATAGRAM_BYTES, DatagramChannel
from laurelwind.state.crash_reports import CrashReport
from tests.relay_helpers import build_silent_log

DEADLY_KEYS = frozenset({('pool', 'deadly')})


def build_report(number, broke_at, *parts):
    """Build the report of an attempt that lasted 0.2 s."""
    return CrashReport(
        attempt=f'a{number}',
        endpoint=f'e{number}',
        prompt=f'p{number}',
        keys=frozenset(('pool', part) for part in parts),
        sent_at=broke_at - 0.2,
        broke_at=broke_at,
    )


class LossyNetwork:
    """Delivers datagrams after random delays, or not at all."""

    def __init__(self, loss=0.1):
        self.loss = loss
        self.channels = {}
        self.cut = set()
        self.sent = 0
        self.sent_bytes = 0

    def deliver(self, sender, peer, datagram):
        self.sent += 1
        self.sent_bytes += len(datagram)
        assert len(datagram) <= MAX_DATAGRAM_BYTES + 20
        if {sender, peer} & self.cut or random.random() < self.loss:
            return
        asyncio.get_running_loop().call_later(
            random.uniform(0.001, 0.02), self.receive, peer, datagram
        )

    def receive(self, peer, datagram):
        channel = self.channels.get(peer)
        if channel is not None:
            channel.receive(datagram)


class EmulatedChannel(DatagramChannel):
    def __init__(self, network, name):
        self._network = network
        self._name = name
        self._listeners = []
        network.channels[name] = self

    def add_listener(self, receive):
        self._listeners.append(receive)

    def receive(self, datagram):
        document = orjson.loads(datagram)
        for listener in self._listeners:
            listener(document)

    async def send(self, peer, datagram):
        self._network.deliver(self._name, peer, datagram)


class Fleet:
    def __init__(self, size, loss=0.1):
        self.network = LossyNetwork(loss)
        self.names = [f'd{number}:1' for number in range(size)]
        self.screens = {}

    def start(self, group, name, peers=None):
        clock = asyncio.get_running_loop().time
        screen = SuspectScreen(
            log=build_silent_log(),
            clock=clock,
            count_members=lambda: len(self.names),
        )
        gossip = CrashGossip(
            screen=screen,
            channel=EmulatedChannel(self.network, name),
            local_address=name,
            list_peers=lambda: [
                peer for peer in peers or self.names if peer != name
            ],
            clock=clock,
        )
        gossip.start(group)
        self.screens[name] = screen

    def start_all(self, group):
        for name in self.names:
            self.start(group, name)

    async def crash(self, number, *parts):
        """Report an attempt that lasted 0.2 s at a daemon of its own."""
        now = asyncio.get_running_loop().time()
        await anyio.sleep(0.2)
        screen = self.screens[self.names[number % len(self.names)]]
        screen.record_crash(build_report(number, now + 0.2, *parts))
        # Other prompts are answered meanwhile.
        for screen in self.screens.values():
            screen.record_answer('pool', ())

    def count_blocking(self):
        return sum(
            screen.is_blocked(DEADLY_KEYS) for screen in self.screens.values()
        )
