"""Finds parts of prompts that crash the endpoints which answer them."""

from collections.abc import Collection, Iterator
from typing import Final

from attrs import evolve

from laurelwind.state.answered_keys import AnsweredKeys
from laurelwind.state.crash_reports import SuspectKeys
from laurelwind.state.culprits import (
    MIN_FAILURES,
    Culprit,
    SuspectReport,
    add_companions,
    build_culprit,
    count_values,
    list_remainders,
)

# Different prompts among the failures that blame a part.  The repeats of one
# prompt are one piece of evidence against each of its parts.
MIN_PROMPTS: Final = 2
# Failures that suffice for some of the parts that were blamed together.
MIN_FURTHER_FAILURES: Final = 2


def find_deadly_parts(
    blocked: Collection[SuspectKeys],
    reports: Collection[SuspectReport],
    answered: AnsweredKeys,
) -> Iterator[Culprit]:
    """Iterate over the groups of parts that failures prove to crash endpoints.

    There is at most one.

    :param blocked: groups of suspects that are blocked.
    :param reports: reports of a service that no blocked group explains, with
        their parts only.
    :param answered: moments of the last answers.
    """
    for parts in list_remainders(blocked, reports):
        remainder = build_culprit(
            parts,
            reports,
            min_endpoints=MIN_FURTHER_FAILURES,
            min_prompts=1,
        )
        if remainder is not None:
            yield evolve(remainder, is_named=True)
            return
    cause = _find_common_cause(reports, answered)
    if cause is not None:
        yield add_companions(cause, reports)


def _find_common_cause(
    reports: Collection[SuspectReport], answered: AnsweredKeys
) -> Culprit | None:
    """Return the largest group of parts that the failures prove.

    The parts at the most crashes come first, of these the ones whose last
    answer is the longest ago, and of these the ones of the most prompts.
    """
    frequencies = count_values(reports, 'endpoint')
    prompts = count_values(reports, 'prompt')
    ranked = sorted(frequencies, key=prompts.__getitem__, reverse=True)
    ranked.sort(key=answered.get)
    ranked.sort(key=frequencies.__getitem__, reverse=True)
    cause: Culprit | None = None
    for part in ranked:
        if frequencies[part] < MIN_FAILURES:
            break
        group = {part} if cause is None else cause.keys | {part}
        cause = (
            build_culprit(
                frozenset(group),
                reports,
                min_endpoints=MIN_FAILURES,
                min_prompts=MIN_PROMPTS,
            )
            or cause
        )
    return cause
