"""Spreads among all daemons that a limit was stated or lifted.

A daemon that is missed learns of the limit from an answer, or from the holder
of the permits.
"""

from collections.abc import Iterable, Iterator
from typing import Any

from laurelwind.coordination.limits.endpoint_limits import (
    EndpointLimits,
    LimitEvent,
)
from laurelwind.coordination.statement_gossip import (
    GossipDependencies,
    StatementGossip,
)
from laurelwind.protocol.permits import decode_limits, encode_limits
from laurelwind.state.rate_limits import EndpointProcess, LimitStatement


class LimitGossip(StatementGossip[EndpointProcess, LimitStatement]):
    """Sends and receives updates of limits.

    :param limits: the limits of the endpoints.
    :param dependencies: collaborators.
    """

    def __init__(
        self, *, limits: EndpointLimits, dependencies: GossipDependencies
    ) -> None:
        super().__init__(dependencies=dependencies)
        self._limits = limits
        limits.add_listener(self._add_event)

    def apply(
        self, subject: EndpointProcess, statement: LimitStatement
    ) -> None:
        """Apply a statement; see :class:`StatementGossip`."""
        self._limits.apply(subject, statement)

    def encode(
        self,
        statements: Iterable[tuple[EndpointProcess, LimitStatement]],
        now: float,
    ) -> Iterator[bytes]:
        """Encode statements; see :class:`StatementGossip`."""
        return encode_limits(statements, now)

    def decode(
        self, document: Any, now: float
    ) -> Iterator[tuple[EndpointProcess, LimitStatement]]:
        """Decode statements; see :class:`StatementGossip`."""
        return decode_limits(document, now)

    def _add_event(self, event: LimitEvent) -> None:
        self.add(event.process, event.statement)
