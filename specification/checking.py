"""Runs the model checker on states that are named tuples."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final

from minicheck import Protocol, check_safety

_MAX_STATES: Final = 3_000_000

Invariant = Callable[[dict[str, Any]], bool]


def check_states(
    name: str,
    start: Any,
    list_transitions: Callable[[Any], Iterable[tuple[str, Any]]],
    invariants: Mapping[str, Invariant],
) -> dict[str, Any]:
    """Check invariants in every state that can be reached.

    :param name: name of the specification.
    :param start: first state, a named tuple.
    :param list_transitions: returns labels and successors of a state.
    :param invariants: predicates of a state as a mapping, by name.
    """
    state_type = type(start)

    def list_successors(
        fields: tuple[Any, ...],
    ) -> list[tuple[str, tuple[Any, ...]]]:
        return [
            (label, tuple(successor))
            for label, successor in list_transitions(state_type(*fields))
        ]

    protocol = Protocol(
        name=name,
        candidate=False,
        fields=state_type._fields,
        initial=tuple(start),
        transitions=list_successors,
        invariants=dict(invariants),
    )
    return dict(check_safety(protocol, max_states=_MAX_STATES))
