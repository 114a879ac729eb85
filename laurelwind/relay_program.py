"""Runs a relay daemon and handles its process signals."""

import os
import signal
import sys
import threading
from collections.abc import Callable
from typing import Final

import anyio
from starlette.types import ASGIApp

from laurelwind.relay_daemon import RelayDaemon
from laurelwind.relay_settings import RelaySettings

_RELOAD_SIGNALS: Final = (signal.SIGHUP,)
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, *_RELOAD_SIGNALS)
FORCED_EXIT_STATUS: Final = 70


class StopWatchdog:
    """Ends the process if a stop exceeds its bound, whatever hangs.

    It runs in a thread, as a blocked event loop is one of the things that
    hang, and also covers the exit of the interpreter.
    """

    def __init__(self) -> None:
        self._timer: threading.Timer | None = None

    def start(self, limit_s: float) -> None:
        """Start to watch a stop.

        :param limit_s: seconds after which the process is ended.
        """
        self._timer = threading.Timer(limit_s, _force_exit)
        self._timer.daemon = True
        self._timer.start()

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()


def _force_exit() -> None:
    sys.stderr.write('the stop exceeded its bound; the process is ended\n')
    os._exit(FORCED_EXIT_STATUS)


async def run_relay(
    daemon: RelayDaemon,
    other_applications: dict[str, ASGIApp],
    load_settings: Callable[[], RelaySettings],
    watchdog: StopWatchdog,
) -> None:
    """Run a daemon until SIGTERM or SIGINT arrives; SIGHUP reloads settings.

    :param daemon: the daemon.
    :param other_applications: additional ASGI applications by listen address.
    :param load_settings: reads the settings file again.
    :param watchdog: started when the daemon stops.
    """
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(*_SIGNALS) as signals:
            # Blocked since the start of the program, and again until its end.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, _RELOAD_SIGNALS)
            await daemon.start(group, other_applications)
            async for signal_number in signals:
                if signal_number not in _RELOAD_SIGNALS:
                    break
                daemon.reload(load_settings)
            watchdog.start(daemon.plan_stop().forced_exit_s)
            await daemon.close()
            signal.pthread_sigmask(signal.SIG_BLOCK, _RELOAD_SIGNALS)
        group.cancel_scope.cancel()
