"""The daemon's console script, ``laurelwindd``."""

import sys
from pathlib import Path
from typing import ClassVar, Final

import anyio
import eliot
from cleo.application import Application
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.option import Option

from laurelwind.cli.base import EXIT_OK, BaseCommand
from laurelwind.daemon_program import serve
from laurelwind.release import RELEASE
from laurelwind.settings import load_settings

_RUN_COMMAND: Final = 'run'
_GLOBAL_COMMANDS: Final[tuple[list[str], ...]] = (
    [],
    ['-V'],
    ['--version'],
    ['list'],
    ['help'],
)


class DaemonCommand(BaseCommand):
    """Runs a daemon until a signal stops it."""

    name = _RUN_COMMAND
    description = 'Run a daemon; SIGTERM stops it gracefully.'
    arguments: ClassVar[list[Argument]] = [
        argument('settings', 'Settings file in TOML.')
    ]
    options: ClassVar[list[Option]] = [
        option('check', None, 'Validate the settings and exit.'),
        option(
            'ready-file',
            None,
            'File to write the process id and addresses to once ready.',
            flag=False,
        ),
    ]

    def run_command(self) -> int:
        """Validate the settings, then run; see :class:`BaseCommand`."""
        settings = load_settings(Path(self.argument('settings')))
        if self.option('check'):
            name = settings.daemon.name
            self.line(f'<info>{name}</info>: no faults')
            return EXIT_OK
        eliot.to_file(sys.stderr)
        ready_path = self.option('ready-file')
        anyio.run(serve, settings, Path(ready_path) if ready_path else None)
        return EXIT_OK


def run() -> None:
    """Entry point of the console script ``laurelwindd``."""
    application = Application('laurelwindd', RELEASE)
    application.add(DaemonCommand())
    command_line = sys.argv[1:]
    if command_line[:1] not in _GLOBAL_COMMANDS:
        command_line.insert(0, _RUN_COMMAND)
    application.run(ArgvInput(['laurelwindd', *command_line]))
