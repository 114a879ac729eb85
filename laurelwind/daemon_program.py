"""Runs a daemon until a signal stops it."""

import signal
from pathlib import Path

import anyio

from laurelwind.daemon import Daemon
from laurelwind.settings import Settings
from laurelwind.state.conversion import dump_json


async def serve(settings: Settings, ready_file: Path | None = None) -> None:
    """Run a daemon until SIGTERM or SIGINT arrives.

    :param settings: settings of the daemon.
    :param ready_file: file that receives the process id and the addresses
        once callers are served.
    """
    daemon = Daemon(settings=settings)
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await daemon.start(group)
            if ready_file is not None:
                ready_file.write_bytes(dump_json(daemon.describe()))
            await anext(signals)
            await daemon.close()
        group.cancel_scope.cancel()
