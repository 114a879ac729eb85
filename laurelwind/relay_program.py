"""Runs a relay daemon under the signals of its platform."""

import signal
from collections.abc import Callable
from typing import Final

import anyio
from starlette.types import ASGIApp

from laurelwind.relay_daemon import RelayDaemon
from laurelwind.relay_settings import RelaySettings

_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def run_relay(
    daemon: RelayDaemon,
    others: dict[str, ASGIApp],
    load_settings: Callable[[], RelaySettings],
) -> None:
    """Run a daemon until it is told to stop.

    :param daemon: the daemon.
    :param others: further applications by address.
    :param load_settings: loads the settings again.
    """
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(*_SIGNALS) as found:
            await daemon.start(group, others)
            async for number in found:
                if number is not signal.SIGHUP:
                    break
                daemon.reload(load_settings)
            await daemon.close()
        group.cancel_scope.cancel()
