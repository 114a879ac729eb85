"""Memory of daemon processes."""

from pathlib import Path
from typing import Final

import anyio

from soak.fleet import Fleet

_POLL_S: Final = 0.1
_KB_PER_MB: Final = 1024


class MemoryWatch:
    """Watches the memory of all daemon processes.

    :param fleet: daemons to watch.
    :param memory_mb: size of each instance in MB of 2**20 bytes, which its
        daemon must not exceed; zero if it is not checked.
    :ivar peaks_mb: largest resident size of each process, by incarnation.
    """

    def __init__(self, *, fleet: Fleet, memory_mb: float):
        self.peaks_mb: dict[str, float] = {}
        self._fleet = fleet
        self._memory_mb = memory_mb

    async def run(self) -> None:
        """Read the sizes from time to time, until cancelled."""
        while self._memory_mb:
            self.read_peaks()
            await anyio.sleep(_POLL_S)

    def read_peaks(self) -> None:
        """Read the largest size so far of each process that is running."""
        for daemon in self._fleet.daemons:
            if daemon.process is not None and daemon.is_running:
                peak_mb = read_peak_mb(daemon.process.pid)
                if peak_mb is not None:
                    self.peaks_mb[daemon.incarnation] = peak_mb

    def find_violations(self) -> list[str]:
        """Return a line for each process that exceeded its memory."""
        return [
            f'memory: {name} took {peak_mb:.0f} MB of {self._memory_mb:.0f}'
            for name, peak_mb in self.peaks_mb.items()
            if peak_mb > self._memory_mb
        ]


def read_peak_mb(pid: int) -> float | None:
    """Return the largest resident size of a process in MB of 2**20 bytes.

    :param pid: its id.
    :returns: the size, or ``None`` once the process is ending.
    """
    try:
        lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    except OSError:
        return None
    for line in lines:
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / _KB_PER_MB
    return None
