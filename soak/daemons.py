"""Daemon processes, with links to their callers and their store."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import anyio
from anyio.abc import Process, TaskGroup

from soak import bounds
from standins.addresses import find_free_addresses
from standins.link import Link

# Seconds between two questions whether a process has ended.
_END_POLL_S = 0.02
_SETTINGS = """\
store = "{store}"
[daemon]
name = "{name}"
zone = "{zone}"
[listen]
callers = "{callers}"
readiness = "{readiness}"
entries = "{entries}"
metrics = "{metrics}"
peers = "{peers}"
[bounds]
revocation_s = {revocation_s}
apply_s = {apply_s}
drain_s = {drain_s}
stop_s = {stop_s}
retry_share = 0.9
retry_extra = 50
exposure_share = {exposure_share}
evacuate_s = {evacuate_s}
cold_overage = {cold_overage}
cold_tolerance = {cold_tolerance}
"""
_LIMITS = """\
[limits]
memory_mb = {memory_mb}
"""


class Daemon:
    """One daemon process, with links to its callers and its store.

    :ivar memory_mb: size of its instance in its settings; zero to leave it out.
    """

    command: tuple[str, ...] = (sys.executable, '-m', 'laurelwind.platform')

    def __init__(
        self, *, name: str, zone: str, folder: Path, store: str, host: str
    ):
        self.name = name
        self.zone = zone
        self.start_count = 0
        self.is_stopping = False
        self.process: Process | None = None
        self.memory_mb: float = 0
        self.store_link = Link(target=store)
        listeners = ('callers', 'readiness', 'entries', 'metrics', 'peers')
        self.addresses = dict(
            zip(
                listeners,
                find_free_addresses(len(listeners), host),
                strict=True,
            )
        )
        self.caller_link = Link(target=self.addresses['callers'])
        self.narrow_link = Link(
            target=self.addresses['callers'],
            bytes_per_s=bounds.NARROW_BYTES_PER_S,
        )
        self._folder = folder
        self._started_at = float('-inf')

    @property
    def subject(self) -> str:
        """Name of the daemon as a subject of faults."""
        return f'daemon {self.name}'

    @property
    def store_subject(self) -> str:
        """Name of what the store does for this daemon only, as a subject."""
        return f'store of {self.name}'

    @property
    def incarnation(self) -> str:
        """Name of the current process; changes with every start."""
        return f'{self.name}/{self.start_count}'

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def start_links(self, group: TaskGroup) -> None:
        """Start to forward connections."""
        await self.store_link.start(group)
        await self.caller_link.start(group)
        await self.narrow_link.start(group)

    async def start(self) -> None:
        """Write the settings and start the process."""
        settings = self._folder / f'{self.name}.toml'
        text = _SETTINGS.format(
            name=self.name,
            zone=self.zone,
            store=self.store_link.address,
            revocation_s=bounds.REVOCATION_S,
            apply_s=bounds.APPLY_S,
            drain_s=bounds.DRAIN_S,
            stop_s=bounds.STOP_S,
            exposure_share=bounds.EXPOSURE_SHARE,
            evacuate_s=bounds.EVACUATE_S,
            cold_overage=bounds.COLD_OVERAGE,
            cold_tolerance=bounds.COLD_TOLERANCE,
            **self.addresses,
        )
        if self.memory_mb:
            text += _LIMITS.format(memory_mb=self.memory_mb)
        await anyio.Path(settings).write_text(text)
        self.start_count += 1
        self._started_at = anyio.current_time()
        self.is_stopping = False
        log = os.open(
            self._folder / f'{self.name}.log',
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
        )
        try:
            self.process = await anyio.open_process(
                list(self.command),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'LAURELWIND_CONFIG': str(settings)},
            )
        finally:
            os.close(log)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def send_signal_later(
        self, number: signal.Signals, delay_s: float
    ) -> None:
        """Send a signal after some seconds."""
        await anyio.sleep(delay_s)
        self.send_signal(number)

    def reload(self) -> None:
        """Make the process read its settings again.

        A process that has just been started may not handle the signal yet, and
        is left alone.
        """
        if anyio.current_time() > self._started_at + bounds.SETTLE_S:
            self.send_signal(signal.SIGHUP)

    async def stop(self) -> bool:
        """Stop the process gracefully, or kill it after the bound.

        :returns: whether the process ended within the bound.
        """
        self.is_stopping = True
        self.send_signal(signal.SIGTERM)
        # In a thread, as the event loop of the stand-ins may be late itself.
        has_ended = await anyio.to_thread.run_sync(
            _wait_for_end, self.process.pid, abandon_on_cancel=True
        )
        if has_ended:
            await self.process.wait()
        else:
            await self.kill()
        return has_ended

    async def kill(self) -> None:
        """Kill the process, as in a crash."""
        if self.process is None:
            return
        self.send_signal(signal.SIGKILL)
        with anyio.CancelScope(shield=True):
            await self.process.wait()


def _wait_for_end(pid: int) -> bool:
    """Return whether a child process ends within the bound of a stop.

    The child is left for others to reap.
    """
    ends_at = time.monotonic() + bounds.STOP_S
    while True:
        try:
            status = os.waitid(
                os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT
            )
        except ChildProcessError:
            return True
        if status is not None or time.monotonic() > ends_at:
            return status is not None
        time.sleep(_END_POLL_S)
