"""Decisions that a restored store may lack, until they are written again."""

from collections.abc import Callable, Iterator, Mapping

from laurelwind.coordination.rollouts.progress import RolloutProgress
from laurelwind.state.rollouts import RolloutShift, RolloutStatus


class LostDecisions:
    """Statuses and shifts that have to be written to the store again.

    :param rollouts: state of every roll-out, by service.
    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        rollouts: Mapping[str, RolloutProgress],
        clock: Callable[[], float],
    ) -> None:
        self._rollouts = rollouts
        self._clock = clock
        self._restored_at = float('-inf')
        self._statuses: set[str] = set()
        self._shifts: set[str] = set()

    def __bool__(self) -> bool:
        """Return whether any decision has to be written."""
        return bool(self._statuses or self._shifts)

    def handle_restore(self) -> None:
        """Take all known decisions as lost."""
        self._restored_at = self._clock()
        for service, rollout in self._rollouts.items():
            if rollout.state is not None:
                self._statuses.add(service)
            if rollout.shift_at_s is not None:
                self._shifts.add(service)

    def discard_status(self, service: str) -> None:
        """Record that the store has the status of a service.

        :param service: name of the service.
        """
        self._statuses.discard(service)

    def discard_shift(self, service: str) -> None:
        """Record that the store has the decision to shift a service.

        :param service: name of the service.
        """
        self._shifts.discard(service)

    def iterate_statuses(
        self, delay_s: float
    ) -> Iterator[tuple[str, RolloutStatus]]:
        """Iterate over the statuses to write now, by service.

        :param delay_s: seconds for which other daemons write them first.
        """
        for service in self._list_due(self._statuses, delay_s):
            rollout = self._rollouts[service]
            if rollout.state is not None:
                yield (
                    service,
                    RolloutStatus(
                        target=rollout.order.target, state=rollout.state
                    ),
                )

    def iterate_shifts(
        self, delay_s: float
    ) -> Iterator[tuple[str, RolloutShift]]:
        """Iterate over the decisions to shift to write now, by service.

        :param delay_s: seconds for which other daemons write them first.
        """
        for service in self._list_due(self._shifts, delay_s):
            rollout = self._rollouts[service]
            if rollout.shift_at_s is not None:
                yield (
                    service,
                    RolloutShift(
                        target=rollout.order.target,
                        shift_at_s=rollout.shift_at_s,
                    ),
                )

    def _list_due(self, services: set[str], delay_s: float) -> list[str]:
        is_due = self._clock() - self._restored_at >= delay_s
        return sorted(services) if is_due else []
