"""Signals to daemon processes, single and in series."""

import random
import signal

import anyio

from soak.durations import choose_duration
from soak.fault_journal import FaultJournal
from soak.fleet import Fleet

# Stops of a series, and seconds between them.
MIN_SERIES_STOPS = 3
MAX_SERIES_STOPS = 5
MIN_STOP_PAUSE_S = 0.2
MAX_STOP_PAUSE_S = 1.0
# Share of the stops of a series in which the signal is sent twice, and most
# seconds between the two.
SECOND_SIGNAL_SHARE = 0.3
MAX_SECOND_SIGNAL_S = 3.0
# Rounds of reloads, and most seconds between two rounds.
MAX_RELOAD_ROUNDS = 3
MAX_RELOAD_PAUSE_S = 1.0
_MAX_DOWN_S = 1.0
_MAX_CRASHED_S = 2.0


class DaemonFaults:
    """Stops, kills, pauses and reloads daemons.

    :param fleet: fleet to disturb.
    :param journal: records the faults.
    :ivar slow_stops: daemons that exceeded the bound for stopping.
    """

    def __init__(self, *, fleet: Fleet, journal: FaultJournal):
        self.slow_stops: list[str] = []
        self._fleet = fleet
        self._journal = journal

    async def stop(
        self, rng: random.Random, second_signal_after_s: float | None = None
    ) -> None:
        """Stop a daemon and start it again.

        :param second_signal_after_s: seconds between two equal signals, or
            ``None`` for one signal.
        """
        daemon = self._journal.reserve_daemon(rng)
        if daemon is None:
            return
        self._journal.record('stop', daemon.name)
        async with anyio.create_task_group() as group:
            if second_signal_after_s is not None:
                group.start_soon(
                    daemon.send_signal_later,
                    signal.SIGTERM,
                    second_signal_after_s,
                )
            if not await daemon.stop():
                self.slow_stops.append(daemon.name)
            group.cancel_scope.cancel()
        await anyio.sleep(choose_duration(rng, _MAX_DOWN_S))
        await daemon.start()
        self._journal.release_daemon(daemon)

    async def stop_in_series(self, rng: random.Random) -> None:
        """Begin to stop some daemons, one soon after the other."""
        async with anyio.create_task_group() as group:
            for _ in range(rng.randint(MIN_SERIES_STOPS, MAX_SERIES_STOPS)):
                second_signal_after_s = None
                if rng.random() < SECOND_SIGNAL_SHARE:
                    second_signal_after_s = rng.uniform(0, MAX_SECOND_SIGNAL_S)
                group.start_soon(
                    self.stop,
                    random.Random(rng.random()),
                    second_signal_after_s,
                )
                await anyio.sleep(
                    rng.uniform(MIN_STOP_PAUSE_S, MAX_STOP_PAUSE_S)
                )

    async def kill(self, rng: random.Random) -> None:
        """Kill a daemon and start it again."""
        daemon = self._journal.reserve_daemon(rng)
        if daemon is None:
            return
        self._journal.record('kill', daemon.name)
        with self._fleet.fault_windows.record(daemon.subject):
            await daemon.kill()
            await anyio.sleep(choose_duration(rng, _MAX_CRASHED_S))
            await daemon.start()
        self._journal.release_daemon(daemon)

    async def pause(self, rng: random.Random) -> None:
        """Suspend a daemon for some seconds."""
        daemon = self._journal.reserve_daemon(rng)
        if daemon is None:
            return
        duration_s = choose_duration(rng)
        self._journal.record('pause', daemon.name, duration_s)
        with self._fleet.fault_windows.record(daemon.subject):
            daemon.send_signal(signal.SIGSTOP)
            await anyio.sleep(duration_s)
            daemon.send_signal(signal.SIGCONT)
        self._journal.release_daemon(daemon)

    async def reload(self, rng: random.Random) -> None:
        """Make a daemon read its settings again."""
        daemon = self._journal.reserve_daemon(rng)
        if daemon is None:
            return
        self._journal.record('reload', daemon.name)
        daemon.reload()
        self._journal.release_daemon(daemon)

    async def reload_in_series(self, rng: random.Random) -> None:
        """Make all daemons read their settings again, up to three times.

        Daemons that are stopping get the signal as well.
        """
        for _ in range(rng.randint(1, MAX_RELOAD_ROUNDS)):
            self._journal.record('reload', 'all')
            for daemon in self._fleet.daemons:
                daemon.reload()
            await anyio.sleep(rng.uniform(0, MAX_RELOAD_PAUSE_S))
