"""Record of injected faults, shared by all injectors of one run."""

import random

import anyio

from soak.daemons import Daemon
from soak.fleet import Fleet


class FaultJournal:
    """Records faults, and which subjects have one now.

    :param fleet: fleet that is disturbed.
    :ivar history: injected faults, one line each.
    :ivar busy_subjects: subjects that must not get another fault now.
    """

    def __init__(self, *, fleet: Fleet):
        self.history: list[str] = []
        self.busy_subjects: set[str] = set()
        self._fleet = fleet

    def record(self, name: str, subject: str, duration_s: float = 0) -> None:
        """Add a fault that begins now.

        :param name: kind of the fault.
        :param subject: daemon, link or other part that it affects.
        :param duration_s: planned duration in seconds.
        """
        started_at = anyio.current_time()
        self.history.append(
            f'{started_at:.2f} {name} {subject} {duration_s:.1f}'
        )

    def reserve_daemon(self, rng: random.Random) -> Daemon | None:
        """Reserve a running daemon for a fault.

        :returns: the daemon, or ``None`` if half of them have a fault.
        """
        free = [
            daemon
            for daemon in self._fleet.daemons
            if daemon.name not in self.busy_subjects and daemon.is_running
        ]
        if len(free) < len(self._fleet.daemons) // 2:
            return None
        chosen = rng.choice(free)
        self.busy_subjects.add(chosen.name)
        return chosen

    def release_daemon(self, daemon: Daemon) -> None:
        """Allow another fault for a reserved daemon."""
        self.busy_subjects.discard(daemon.name)
