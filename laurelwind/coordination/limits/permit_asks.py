"""Exchanges the messages about permits with the daemons that hold them."""

import random
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from laurelwind.coordination.limits.endpoint_limits import EndpointLimits
from laurelwind.coordination.limits.holders import HolderChoice
from laurelwind.coordination.limits.permit_holder import PermitHolder
from laurelwind.protocol.datagrams import DatagramChannel
from laurelwind.protocol.permits import (
    PermitAnswer,
    PermitAsk,
    PermitMessage,
    PermitReturn,
    decode_message,
    encode_message,
)
from laurelwind.state.load import read_monotonic_clock

# Seconds for which an answer is awaited, and times that an ask is sent.
ANSWER_TIMEOUT_S: Final = 0.05
ASK_TRIES: Final = 3
# Seconds after which a daemon asks again that asked one that is not the holder:
# about the time in which all daemons know the same members.
OTHER_HOLDER_RETRY_S: Final = 0.3
# Asks without an answer that are remembered, and messages that wait to be sent.
_MAX_ABANDONED: Final = 256
_MAX_UNSENT: Final = 256
_NUMBER_BITS: Final = 48


@define(kw_only=True)
class _PendingAsk:
    """An ask that waits for its answer."""

    answer: PermitAnswer | None = None
    is_answered: anyio.Event = field(factory=anyio.Event)


class PermitAsks:
    """Asks holders for permits, and answers where this daemon is the holder.

    :param limits: the rate limits that endpoints state.
    :param holders: chooses the daemon that holds permits.
    :param channel: sends and receives datagrams.
    :param local_address: ``host:port`` at which peers reach this daemon.
    :param clock: monotonic clock, in seconds.
    :ivar held: permits that this daemon holds.
    :ivar local_address: ``host:port`` at which peers reach this daemon.
    """

    def __init__(
        self,
        *,
        limits: EndpointLimits,
        holders: HolderChoice,
        channel: DatagramChannel,
        local_address: str,
        clock: Callable[[], float] = read_monotonic_clock,
    ) -> None:
        self.held = PermitHolder(table=limits.table, clock=clock)
        self._limits = limits
        self._holders = holders
        self._channel = channel
        self.local_address = local_address
        self._clock = clock
        # A daemon that restarts must not repeat the numbers of its asks.
        self._number = random.getrandbits(_NUMBER_BITS)
        self._pending: dict[int, _PendingAsk] = {}
        # Asks that ended without an answer, by number.
        self._abandoned: dict[int, PermitAsk] = {}
        self._unsent: deque[tuple[str, PermitMessage]] = deque(
            maxlen=_MAX_UNSENT
        )
        self._has_unsent = anyio.Event()
        channel.add_listener(self._receive)

    def start(self, group: TaskGroup) -> None:
        """Start to answer asks.

        :param group: task group of the daemon.
        """
        group.start_soon(self._send_messages)

    def draw_number(self) -> int:
        """Return the number of a new ask."""
        self._number += 1
        return self._number

    async def send(self, ask: PermitAsk) -> PermitAnswer | None:
        """Return the answer of the holder, or ``None`` if there is none.

        :param ask: the ask.
        """
        holder = self._resolve_holder(ask)
        if holder is None:
            return None
        if holder == self.local_address:
            return self.held.grant(ask)
        pending = _PendingAsk()
        self._pending[ask.number] = pending
        try:
            await self._send_until_answered(ask, holder, pending)
        finally:
            self._pending.pop(ask.number)
            if pending.answer is None:
                self._abandon(ask)
        return pending.answer

    def give_back(self, ask: PermitAsk) -> None:
        """Return the permit that was granted for an ask, and not used.

        :param ask: the ask.
        """
        returned = PermitReturn(
            number=ask.number, asker=ask.asker, process=ask.process
        )
        holder = self._resolve_holder(ask)
        if holder == self.local_address:
            self.held.take_back(returned)
        elif holder is not None:
            self._send_later(holder, returned)

    def retain(self, names: set[str]) -> None:
        """Discard what is known of endpoints that were removed.

        :param names: names of the endpoints that remain.
        """
        self.held.retain(names)
        self._holders.retain(names)

    def _resolve_holder(self, ask: PermitAsk) -> str | None:
        """Return the address of the holder, or ``None`` if it is unknown.

        A daemon that is not the holder drops its schedule, which it must not
        continue once it is the holder again.
        """
        holder = self._holders.find_holder(ask.process, ask.zone)
        if holder != self.local_address:
            self.held.release(ask.process)
        return holder

    async def _send_until_answered(
        self, ask: PermitAsk, holder: str, pending: _PendingAsk
    ) -> None:
        for _ in range(ASK_TRIES):
            datagram = encode_message(ask, self._clock())
            await self._channel.send(holder, datagram)
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                await pending.is_answered.wait()
                return

    def _abandon(self, ask: PermitAsk) -> None:
        self._abandoned[ask.number] = ask
        if len(self._abandoned) > _MAX_ABANDONED:
            self._abandoned.pop(next(iter(self._abandoned)))

    def _receive(self, document: Any) -> None:
        message = decode_message(document, self._clock())
        if isinstance(message, PermitAsk):
            self._send_later(message.asker, self._answer(message))
        elif isinstance(message, PermitReturn):
            self.held.take_back(message)
        elif isinstance(message, PermitAnswer):
            self._accept_answer(message)

    def _answer(self, ask: PermitAsk) -> PermitAnswer:
        self._limits.apply(ask.process, ask.statement)
        self._limits.apply_cold(ask.process, ask.cold)
        if self._resolve_holder(ask) == self.local_address:
            return self.held.grant(ask)
        return PermitAnswer(
            number=ask.number,
            process=ask.process,
            wait_s=OTHER_HOLDER_RETRY_S,
            retry_s=OTHER_HOLDER_RETRY_S,
        )

    def _accept_answer(self, answer: PermitAnswer) -> None:
        if answer.statement is not None:
            self._limits.apply(answer.process, answer.statement)
        self._limits.apply_cold(answer.process, answer.cold)
        pending = self._pending.get(answer.number)
        if pending is not None:
            pending.answer = answer
            pending.is_answered.set()
            return
        ask = self._abandoned.pop(answer.number, None)
        if ask is not None and answer.is_granted:
            self.give_back(ask)

    def _send_later(self, peer: str, message: PermitMessage) -> None:
        self._unsent.append((peer, message))
        self._has_unsent.set()

    async def _send_messages(self) -> None:
        while True:
            await self._has_unsent.wait()
            self._has_unsent = anyio.Event()
            while self._unsent:
                peer, message = self._unsent.popleft()
                datagram = encode_message(message, self._clock())
                await self._channel.send(peer, datagram)
