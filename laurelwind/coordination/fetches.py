"""State of the attempts to complete an answer."""

import contextlib
from collections.abc import Awaitable, Callable

from attrs import define

from laurelwind.coordination.chat_requests import FetchState
from laurelwind.coordination.routing import Slot

EmitEvents = Callable[[bytes], Awaitable[None]]


@define(kw_only=True)
class Fetch:
    """Attempts to complete one answer.

    :ivar fetch_state: the request and its progress.
    :ivar emit: called with the events.
    :ivar reservation: holds the slot of the next attempt, if it is reserved.
    :ivar reserved_slot: that slot, or ``None``.
    :ivar attempts: number of attempts begun.
    :ivar failed_addresses: addresses that failed the request.
    :ivar silent_addresses: addresses left because of their silence.
    """

    fetch_state: FetchState
    emit: EmitEvents
    reservation: contextlib.ExitStack
    reserved_slot: Slot | None = None
    attempts: int = 0
    failed_addresses: frozenset[str] = frozenset()
    silent_addresses: frozenset[str] = frozenset()
