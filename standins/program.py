"""Runs the stand-ins in a separate process, for the demo and benchmarks."""

import signal
import sys
from pathlib import Path
from typing import ClassVar, Final

import anyio
import orjson
from cleo.application import Application
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from laurelwind.cli.base import EXIT_OK, BaseCommand
from standins.fleet import ZONES, LocalFleet, Standins

_ADDRESSES_FILE: Final = 'standins.json'


class StandinsCommand(BaseCommand):
    """Runs the stand-ins until it receives SIGTERM or SIGINT."""

    name = 'standins'
    description = 'Run the stand-ins and write settings files for daemons.'
    arguments: ClassVar[list[Argument]] = [
        argument('folder', 'Directory for the addresses and settings.')
    ]
    options: ClassVar[list[Option]] = [
        option(
            'daemons', None, 'Number of settings files to write.', flag=False
        )
    ]

    def run_command(self) -> int:
        """Run the stand-ins; see :class:`BaseCommand`."""
        folder = Path(self.argument('folder'))
        folder.mkdir(parents=True, exist_ok=True)
        anyio.run(
            run_standins, folder, int(self.option('daemons') or len(ZONES))
        )
        return EXIT_OK


async def run_standins(folder: Path, daemon_count: int) -> None:
    """Run the stand-ins and write settings files for daemons.

    :param folder: directory for the addresses and settings.
    :param daemon_count: number of settings files to write.
    """
    standins = Standins()
    fleet = LocalFleet(zones=(), standins=standins)
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await standins.start(group)
            for index in range(daemon_count):
                zone = ZONES[index % len(ZONES)]
                name = f'{zone}{index}'
                settings = fleet.render_settings(name, zone)
                (folder / f'{name}.toml').write_text(settings)
            # Written last, so that the settings exist once this file appears.
            (folder / _ADDRESSES_FILE).write_bytes(
                orjson.dumps(standins.addresses)
            )
            await anext(signals)
            await standins.close()
        group.cancel_scope.cancel()


def run() -> None:
    """Run the console script ``laurelwind-standins``."""
    application = Application('laurelwind-standins')
    application.add(StandinsCommand())
    sys.exit(application.run())
