"""Runs a relay daemon and handles its process signals."""

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
    other_applications: dict[str, ASGIApp],
    load_settings: Callable[[], RelaySettings],
) -> None:
    """Run a daemon until SIGTERM or SIGINT arrives; SIGHUP reloads settings.

    :param daemon: the daemon.
    :param other_applications: additional ASGI applications by listen address.
    :param load_settings: reads the settings file again.
    """
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(*_SIGNALS) as signals:
            await daemon.start(group, other_applications)
            async for signal_number in signals:
                if signal_number is not signal.SIGHUP:
                    break
                daemon.reload(load_settings)
            await daemon.close()
        group.cancel_scope.cancel()
