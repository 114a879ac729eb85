"""Specification of routing tables in a store that is restored from a copy.

An operator publishes tables as records of a log. The store may be restored from
an older copy, which starts a new era: the newest records are lost, and the
operator writes the newest table again. Two daemons read the log, or the copy of
each other, and may restart with nothing.

The state consists of plain tuples so that it can be hashed:

* ``log``: versions of the tables, in order; the offset is the index.
* ``era``: number of restores.
* ``copy_end``: end offset of the copy that a restore brings back, or ``NONE``.
* ``published``: version that was published last.
* ``daemons``: for each, ``(table, era, position)``: the version in force, and
  the position that was read to.
* ``went_back``: whether a daemon replaced its table by an older one.
* ``publishes``, ``restores``, ``restarts``: events that may still occur.
"""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from attrs import frozen

from specification.checking import check_states

NONE: Final = -1
_DAEMONS: Final = (0, 1)


@frozen(kw_only=True)
class Rules:
    """Safety rules of the readers; each can be disabled.

    :ivar keep_newest: a table is replaced only by one of a higher version.
    :ivar compare_eras: a reader whose era is not the store's reads all records
        again, since offsets of two eras do not compare.
    """

    keep_newest: bool = True
    compare_eras: bool = True


class Daemon(NamedTuple):
    """State of a daemon."""

    table: int
    era: int
    position: int


class State(NamedTuple):
    """State of the store, the operator, the daemons and the events left."""

    log: tuple[int, ...]
    era: int
    copy_end: int
    published: int
    daemons: tuple[Daemon, ...]
    went_back: bool
    publishes: int
    restores: int
    restarts: int


Transition = tuple[str, State]
_NEW: Final = Daemon(table=0, era=0, position=0)


def list_transitions(state: State, rules: Rules) -> Iterator[Transition]:
    """List every transition that is possible from a state.

    :param state: current state.
    :param rules: enabled rules.
    """
    yield from _list_operator_transitions(state)
    yield from _list_store_transitions(state)
    for index in _DAEMONS:
        yield f'daemon {index} reads the store', _read(state, index, rules)
        yield f'daemon {index} reads its peer', _read_peer(state, index, rules)
        if state.restarts:
            restarted = _set_daemon(state, index, _NEW)
            yield (
                f'daemon {index} restarts',
                restarted._replace(restarts=state.restarts - 1),
            )


def _list_operator_transitions(state: State) -> Iterator[Transition]:
    if state.published > max(state.log, default=0):
        yield (
            'the operator writes the newest table again',
            state._replace(log=(*state.log, state.published)),
        )
    elif state.publishes:
        version = state.published + 1
        yield (
            f'the operator publishes {version}',
            state._replace(
                log=(*state.log, version),
                published=version,
                publishes=state.publishes - 1,
            ),
        )


def _list_store_transitions(state: State) -> Iterator[Transition]:
    if state.copy_end == NONE and state.restores:
        yield 'a copy is made', state._replace(copy_end=len(state.log))
    if state.copy_end != NONE:
        yield (
            'the store is restored',
            state._replace(
                log=state.log[: state.copy_end],
                era=state.era + 1,
                copy_end=NONE,
                restores=state.restores - 1,
            ),
        )


def _read(state: State, index: int, rules: Rules) -> State:
    daemon = state.daemons[index]
    position = daemon.position
    if rules.compare_eras and daemon.era != state.era:
        position = 0
    records = state.log[position:]
    end = max(len(state.log), position)
    return _apply(
        state,
        index,
        Daemon(
            table=max(records, default=daemon.table),
            era=state.era,
            position=end,
        ),
        rules,
    )


def _read_peer(state: State, index: int, rules: Rules) -> State:
    """Read the copy of the other daemon, unless it is behind."""
    daemon = state.daemons[index]
    peer = state.daemons[1 - index]
    if (peer.era, peer.position) <= (daemon.era, daemon.position):
        return state
    return _apply(state, index, peer, rules)


def _apply(state: State, index: int, updated: Daemon, rules: Rules) -> State:
    table = state.daemons[index].table
    if rules.keep_newest:
        updated = updated._replace(table=max(table, updated.table))
    went_back = state.went_back or updated.table < table
    return _set_daemon(state, index, updated)._replace(went_back=went_back)


def _set_daemon(state: State, index: int, daemon: Daemon) -> State:
    daemons = tuple(
        daemon if position == index else current
        for position, current in enumerate(state.daemons)
    )
    return state._replace(daemons=daemons)


def _has_newest(state: dict[str, Any]) -> bool:
    """Return whether daemons that have read all records have the newest."""
    newest = max(state['log'], default=0)
    position = (state['era'], len(state['log']))
    return all(
        (era, read_to) < position or table >= newest
        for table, era, read_to in state['daemons']
    )


def check_restores(
    rules: Rules, *, publishes: int = 4, restores: int = 2, restarts: int = 1
) -> dict[str, Any]:
    """Check the specification exhaustively within its bounds.

    :param rules: enabled rules.
    :param publishes: most tables that are published.
    :param restores: most restores of the store.
    :param restarts: most restarts of daemons.
    """
    start = State(
        log=(),
        era=0,
        copy_end=NONE,
        published=0,
        daemons=tuple(_NEW for _ in _DAEMONS),
        went_back=False,
        publishes=publishes,
        restores=restores,
        restarts=restarts,
    )
    return check_states(
        'restores',
        start,
        lambda state: list_transitions(state, rules),
        {
            'no_table_goes_back': lambda state: not state['went_back'],
            'who_has_read_all_has_the_newest': _has_newest,
        },
    )
