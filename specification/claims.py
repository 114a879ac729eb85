"""Specification of partition ownership, epochs, claims and execution.

Two owners and two entries work on one partition and one idempotency key.
The log is a sequence of records. The answer to an append may be lost, and the
append itself may take effect at once or after a delay. An owner may pause at
any step and then continue as if it still owned the partition, and a crash
erases its memory. An entry forwards the call once its claim is granted, and
the caller may repeat the call at another entry.

The state consists of plain tuples so that it can be hashed:

* ``log``: records ``('E', owner)`` (epoch), ``('C', owner, epoch, entry)``
  (claim) and ``('R', entry)`` (release), in order; an epoch is the offset of
  its record.
* ``owners``: for each, ``(phase, epoch, requester, records_read)``.
* ``entries``: for each, ``'new'``, ``'asked'``, ``'granted'``, ``'ran'`` or
  ``'gave_up'``.
* ``delayed_append``: a record in flight whose answer was lost, or ``None``.
* ``takeovers``, ``crashes``, ``losses``: faults that may still occur.
"""

from collections.abc import Iterator, Sequence
from typing import Any, Final, NamedTuple

from attrs import frozen

from specification.checking import Invariant, check_states

_OWNERS: Final = (0, 1)
_ENTRIES: Final = (0, 1)
_IDLE: Final = 'idle'
_ACTIVE: Final = 'active'
_WAITING: Final = 'waiting'
_NONE: Final = -1

Record = tuple[Any, ...]


@frozen(kw_only=True)
class Rules:
    """Safety rules of the protocol; each can be disabled.

    :ivar read_back_claims: an owner grants a claim only after it has read it
        back from the log.
    :ivar void_old_epochs: a claim of an older epoch is void if it follows the
        record of a newer epoch.
    """

    read_back_claims: bool = True
    void_old_epochs: bool = True


@frozen(kw_only=True)
class Bounds:
    """Limits on the faults of one execution.

    :ivar takeovers: maximum number of epochs started.
    :ivar crashes: maximum number of owner crashes; a crash erases the owner's
        memory.
    :ivar losses: maximum number of appends whose answer is lost and that may
        take effect after a delay.
    """

    takeovers: int = 3
    crashes: int = 1
    losses: int = 1


class Owner(NamedTuple):
    """State of a partition owner."""

    phase: str
    epoch: int
    requester: int
    records_read: int


class State(NamedTuple):
    """State of the log, the owners, the entries and the remaining faults."""

    log: tuple[Record, ...]
    owners: tuple[Owner, ...]
    entries: tuple[str, ...]
    delayed_append: Record | None
    takeovers: int
    crashes: int
    losses: int


Transition = tuple[str, State]


def find_holder(log: Sequence[Record], rules: Rules) -> int:
    """Return the entry that holds the claim, or ``_NONE``.

    :param log: records, oldest first.
    :param rules: enabled rules.
    """
    current_epoch = _NONE
    holder = _NONE
    released = {record[1] for record in log if record[0] == 'R'}
    for offset, record in enumerate(log):
        if record[0] == 'E':
            current_epoch = offset
        if record[0] == 'C' and holder == _NONE:
            is_current = record[2] == current_epoch or not rules.void_old_epochs
            if is_current and record[3] not in released:
                holder = record[3]
    return holder


def list_transitions(state: State, rules: Rules) -> list[Transition]:
    """List every transition that is possible from a state.

    :param state: current state.
    :param rules: enabled rules.
    """
    transitions = [
        *_list_entry_transitions(state),
        *_list_fault_transitions(state),
    ]
    for index in _OWNERS:
        transitions.extend(_list_owner_transitions(state, index, rules))
    return transitions


def _list_entry_transitions(state: State) -> Iterator[Transition]:
    for entry in _ENTRIES:
        entry_state = state.entries[entry]
        if entry_state == 'new':
            for index in _OWNERS:
                owner = state.owners[index]
                if owner.requester == _NONE:
                    requested = _set_owner(
                        state, index, owner._replace(requester=entry)
                    )
                    yield (
                        f'entry {entry} requests a claim from owner {index}',
                        _set_entry(requested, entry, 'asked'),
                    )
        if entry_state == 'granted':
            yield f'entry {entry} runs', _set_entry(state, entry, 'ran')
        if entry_state == 'asked':
            released = state._replace(log=(*state.log, ('R', entry)))
            yield (
                f'entry {entry} gives up and releases',
                _set_entry(released, entry, 'gave_up'),
            )


def _list_owner_transitions(
    state: State, index: int, rules: Rules
) -> Iterator[Transition]:
    owner = state.owners[index]
    if owner.phase == _IDLE and owner.requester != _NONE and state.takeovers:
        started = state._replace(
            log=(*state.log, ('E', index)), takeovers=state.takeovers - 1
        )
        yield (
            f'owner {index} appends its epoch',
            _set_owner(
                started,
                index,
                owner._replace(phase=_ACTIVE, epoch=len(state.log)),
            ),
        )
    if owner.phase == _ACTIVE and owner.requester != _NONE:
        yield from _list_claim_transitions(state, index, rules)
    if owner.phase == _WAITING:
        yield from _list_grant_transitions(state, index, rules)


def _list_claim_transitions(
    state: State, index: int, rules: Rules
) -> Iterator[Transition]:
    """List claims for every log prefix that a paused owner may have read."""
    owner = state.owners[index]
    for end_offset in range(
        max(owner.records_read, owner.epoch + 1), len(state.log) + 1
    ):
        holder = find_holder(state.log[:end_offset], rules)
        updated = owner._replace(records_read=end_offset)
        if holder not in {_NONE, owner.requester}:
            yield (
                f'owner {index} refuses after reading {end_offset} records',
                _answer(state, index, updated, 'gave_up'),
            )
            continue
        record = ('C', index, owner.epoch, owner.requester)
        waiting = _set_owner(state, index, updated._replace(phase=_WAITING))
        yield (
            f'owner {index} appends a claim after reading {end_offset} records',
            waiting._replace(log=(*state.log, record)),
        )
        if state.losses and state.delayed_append is None:
            yield (
                f'owner {index} appends a claim that is delayed',
                _answer(state, index, updated, 'gave_up')._replace(
                    delayed_append=record, losses=state.losses - 1
                ),
            )


def _list_grant_transitions(
    state: State, index: int, rules: Rules
) -> Iterator[Transition]:
    """Grant only if no newer epoch precedes the claim in the log.

    Claims appended by other owners in the meantime are ignored: they follow
    this owner's epoch and are therefore void.
    """
    owner = state.owners[index]
    if not rules.read_back_claims:
        yield (
            f'owner {index} grants without reading back',
            _answer(state, index, owner, 'granted'),
        )
        return
    claim_offset = max(
        offset
        for offset, record in enumerate(state.log)
        if record == ('C', index, owner.epoch, owner.requester)
    )
    newer_epochs = [
        record
        for record in state.log[owner.epoch + 1 : claim_offset]
        if record[0] == 'E'
    ]
    relevant_records = (
        record
        for record in state.log[owner.records_read :]
        if record[0] != 'C' or record[1] == index
    )
    holder = find_holder(
        (*state.log[: owner.records_read], *relevant_records), rules
    )
    is_granted = holder == owner.requester and not newer_epochs
    verdict = 'granted' if is_granted else 'gave_up'
    updated = owner._replace(records_read=len(state.log))
    yield (
        f'owner {index} reads back: {verdict}',
        _answer(state, index, updated, verdict),
    )


def _list_fault_transitions(state: State) -> Iterator[Transition]:
    if state.delayed_append is not None:
        yield (
            'a delayed append takes effect',
            state._replace(
                log=(*state.log, state.delayed_append), delayed_append=None
            ),
        )
    if not state.crashes:
        return
    for index in _OWNERS:
        crashed = _set_owner(state, index, Owner(_IDLE, _NONE, _NONE, 0))
        yield (
            f'owner {index} crashes',
            crashed._replace(crashes=state.crashes - 1),
        )


def _answer(state: State, index: int, owner: Owner, verdict: str) -> State:
    """Answer the requesting entry unless it has given up in the meantime."""
    entry = owner.requester
    idle = _set_owner(
        state, index, owner._replace(phase=_ACTIVE, requester=_NONE)
    )
    if state.entries[entry] != 'asked':
        return idle
    return _set_entry(idle, entry, verdict)


def _set_owner(state: State, index: int, owner: Owner) -> State:
    owners = tuple(
        owner if position == index else current
        for position, current in enumerate(state.owners)
    )
    return state._replace(owners=owners)


def _set_entry(state: State, index: int, entry_state: str) -> State:
    entries = tuple(
        entry_state if position == index else current
        for position, current in enumerate(state.entries)
    )
    return state._replace(entries=entries)


def _build_invariants(rules: Rules) -> dict[str, Invariant]:
    def runs_at_most_once(state: dict[str, Any]) -> bool:
        running = [
            entry_state
            for entry_state in state['entries']
            if entry_state in {'granted', 'ran'}
        ]
        return len(running) <= 1

    def who_runs_holds_the_claim(state: dict[str, Any]) -> bool:
        holder = find_holder(state['log'], rules)
        return all(
            entry_state not in {'granted', 'ran'} or entry == holder
            for entry, entry_state in enumerate(state['entries'])
        )

    return {
        'runs_at_most_once': runs_at_most_once,
        'who_runs_holds_the_claim': who_runs_holds_the_claim,
    }


def check(rules: Rules, bounds: Bounds | None = None) -> dict[str, Any]:
    """Check the specification exhaustively within its bounds.

    :param rules: enabled rules.
    :param bounds: limits on the faults of one execution, or the defaults.
    """
    limits = bounds or Bounds()
    start = State(
        log=(),
        owners=tuple(Owner(_IDLE, _NONE, _NONE, 0) for _ in _OWNERS),
        entries=tuple('new' for _ in _ENTRIES),
        delayed_append=None,
        takeovers=limits.takeovers,
        crashes=limits.crashes,
        losses=limits.losses,
    )
    return check_states(
        'claims',
        start,
        lambda state: list_transitions(state, rules),
        _build_invariants(rules),
    )
