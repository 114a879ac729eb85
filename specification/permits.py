"""Specification of how the permits of a limited endpoint change their holder.

Two daemons take turns as the holder. The members change at some moments, and
each of the two learns of it by itself, within a bound. A daemon that believes
to be the holder grants all permits that are due, since it has requests of its
own. In a window of time that opens at any moment, the permits are counted.

The state consists of plain numbers so that it can be hashed:

* ``next_due``: for each daemon, ticks until its next permit is due, negative
  after a time without asks, or ``NOT_HELD``.
* ``own_views``: the holder as each daemon knows it.
* ``listed``: the holder by the newest list of members.
* ``lag``: ticks until every daemon knows the newest list.
* ``changes``: changes of the members that may still occur.
* ``window``: ticks until the window ends, or ``NOT_OPEN``.
* ``granted``: permits granted in the window.
"""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from attrs import frozen

from specification.checking import check_states

NOT_HELD: Final = 99
NOT_OPEN: Final = -1
TICK_S: Final = 0.25
_HOLDERS: Final = (0, 1)


@frozen(kw_only=True)
class Timing:
    """Times of the protocol, in ticks; the limit is four requests a second.

    :ivar spacing: ticks between two permits.
    :ivar burst: ticks for which permits that were not asked for are kept.
    :ivar takeover: ticks for which a new holder grants nothing.
    :ivar lag: ticks after which every daemon knows the newest list.
    :ivar window: ticks of the window, and of the lifetime of a permit.
    :ivar allowed: most requests that the window may have.
    """

    spacing: int = 1
    burst: int = 2
    takeover: int = 4
    lag: int = 6
    window: int = 16 + 2
    allowed: int = 29


class State(NamedTuple):
    """State of the holders, the lists of members and the window."""

    next_due: tuple[int, ...]
    own_views: tuple[int, ...]
    listed: int
    lag: int
    changes: int
    window: int
    granted: int


Transition = tuple[str, State]


def list_transitions(state: State, timing: Timing) -> Iterator[Transition]:
    """List every transition that is possible from a state.

    :param state: current state.
    :param timing: times of the protocol.
    """
    if not state.window:
        return
    if state.window == NOT_OPEN:
        yield 'the window opens', state._replace(window=timing.window)
        yield 'a tick without asks', _advance(state, timing)
    yield 'a tick', _advance(_grant_all(state, timing), timing)
    if state.changes and not state.lag:
        yield (
            'the members change',
            state._replace(
                listed=1 - state.listed,
                lag=timing.lag,
                changes=state.changes - 1,
            ),
        )
    if state.lag:
        yield from _list_updates(state)


def _list_updates(state: State) -> Iterator[Transition]:
    """List who may read the newest list next."""
    for daemon in _HOLDERS:
        if state.own_views[daemon] != state.listed:
            views = list(state.own_views)
            views[daemon] = state.listed
            yield (
                f'daemon {daemon} reads the members',
                state._replace(own_views=tuple(views)),
            )


def _grant_all(state: State, timing: Timing) -> State:
    """Let every daemon that believes to be the holder grant what is due."""
    next_due = list(state.next_due)
    granted = state.granted
    for daemon in _HOLDERS:
        if state.own_views[daemon] != daemon:
            next_due[daemon] = NOT_HELD
            continue
        if next_due[daemon] == NOT_HELD:
            next_due[daemon] = timing.takeover
        while next_due[daemon] <= 0:
            next_due[daemon] += timing.spacing
            granted += 1
    if state.window == NOT_OPEN:
        granted = 0
    return state._replace(next_due=tuple(next_due), granted=granted)


def _advance(state: State, timing: Timing) -> State:
    """Let a tick pass."""
    next_due = tuple(
        due if due == NOT_HELD else max(due - 1, -timing.burst)
        for due in state.next_due
    )
    updated = state._replace(
        next_due=next_due,
        lag=max(state.lag - 1, 0),
        window=state.window if state.window == NOT_OPEN else state.window - 1,
    )
    if state.lag != 1:
        return updated
    return updated._replace(own_views=(state.listed,) * len(_HOLDERS))


def check_permits(timing: Timing, changes: int = 2) -> dict[str, Any]:
    """Check the specification exhaustively within its bounds.

    :param timing: times of the protocol.
    :param changes: most changes of the members.
    """
    start = State(
        next_due=(0, NOT_HELD),
        own_views=(0, 0),
        listed=0,
        lag=0,
        changes=changes,
        window=NOT_OPEN,
        granted=0,
    )
    return check_states(
        'permits',
        start,
        lambda state: list_transitions(state, timing),
        {
            'the_limit_holds': lambda state: state['granted'] <= timing.allowed,
        },
    )
