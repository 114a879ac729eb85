"""Periods with faults, for which guarantees are not checked."""

import contextlib

import anyio
from attrs import define, field

from soak import bounds


@define
class FaultWindows:
    """Periods with faults, for which guarantees are not checked.

    :ivar spans: start and end of each period, by subject.
    """

    spans: dict[str, list[list[float]]] = field(factory=dict)

    @contextlib.contextmanager
    def record(self, *subjects: str):
        """Record the body of the ``with`` block as a fault of some subjects."""
        span = [anyio.current_time(), float('inf')]
        for subject in subjects:
            self.spans.setdefault(subject, []).append(span)
        try:
            yield
        finally:
            span[1] = anyio.current_time()

    def is_fault_free(
        self,
        subject: str,
        since: float,
        until: float,
        settle_s: float = bounds.SETTLE_S,
    ) -> bool:
        """Return whether a subject had no fault from ``since`` to ``until``.

        :param settle_s: seconds after a fault that count as part of it.
        """
        return not any(
            started_at <= until and since <= ended_at + settle_s
            for started_at, ended_at in self.spans.get(subject, ())
        )
