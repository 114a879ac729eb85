"""Spreads among all daemons which endpoints are cold.

A daemon also repeats what is in force to a few peers, as a daemon that misses
it would send what it likes.
"""

import random
from collections.abc import Iterable, Iterator
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from laurelwind.coordination.cold.contact import FleetContact
from laurelwind.coordination.cold.endpoints import ColdEndpoints, ColdEvent
from laurelwind.coordination.statement_gossip import (
    GossipDependencies,
    StatementGossip,
)
from laurelwind.protocol.cold import decode_cold, encode_cold, encode_sign
from laurelwind.state.cold_endpoints import ColdStatement

# Peers to which statements in force are repeated, and seconds between that.
REPEAT_FANOUT: Final = 2
REPEAT_S: Final = 1.0
# Share by which that time varies, so that daemons do not send at once.
REPEAT_JITTER: Final = 0.5
# Peers to which a sign of life is sent, besides statements that are repeated.
SIGN_FANOUT: Final = 6
# Seconds between reviews of the cold endpoints.
REVIEW_S: Final = 0.2


class ColdGossip(StatementGossip[str, ColdStatement]):
    """Sends and receives statements about cold endpoints, by name.

    :param endpoints: the cold endpoints.
    :param contact: finds whether this daemon is cut off.
    :param dependencies: collaborators.
    :ivar contact: finds whether this daemon is cut off.
    """

    def __init__(
        self,
        *,
        endpoints: ColdEndpoints,
        contact: FleetContact,
        dependencies: GossipDependencies,
    ) -> None:
        super().__init__(dependencies=dependencies)
        self.contact = contact
        self._endpoints = endpoints
        # Documents of any kind show that peers are reached.
        dependencies.channel.add_listener(lambda _: contact.record_heard())
        endpoints.add_listener(self._add_event)

    def start(self, group: TaskGroup) -> None:
        """Start to spread changes and to review the cold endpoints, if any.

        :param group: task group of the daemon.
        """
        if not self._endpoints.is_enabled:
            return
        super().start(group)
        group.start_soon(self._review)
        group.start_soon(self._repeat)

    def apply(self, subject: str, statement: ColdStatement) -> None:
        """Apply a statement; see :class:`StatementGossip`."""
        self._endpoints.apply(subject, statement)

    def encode(
        self, statements: Iterable[tuple[str, ColdStatement]], now: float
    ) -> Iterator[bytes]:
        """Encode statements; see :class:`StatementGossip`."""
        return encode_cold(statements, now)

    def decode(
        self, document: Any, now: float
    ) -> Iterator[tuple[str, ColdStatement]]:
        """Decode statements; see :class:`StatementGossip`."""
        return decode_cold(document, now)

    def _add_event(self, event: ColdEvent) -> None:
        self.add(event.name, event.statement)

    async def _review(self) -> None:
        while True:
            await anyio.sleep(REVIEW_S)
            self._endpoints.review()
            self.contact.review()

    async def _repeat(self) -> None:
        while True:
            jitter = random.uniform(1 - REPEAT_JITTER, 1 + REPEAT_JITTER)
            await anyio.sleep(REPEAT_S * jitter)
            statements = [
                (name, statement)
                for name, statement in self._endpoints.table.iterate_cold()
                if not statement.is_private
            ]
            if statements:
                await self.send(statements, REPEAT_FANOUT)
            if self.contact.is_needed:
                await self.send_datagrams([encode_sign()], SIGN_FANOUT)
