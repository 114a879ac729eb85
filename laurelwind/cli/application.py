"""The command-line tool ``laurelwind``."""

from cleo.application import Application

from laurelwind.cli.check import CheckFileCommand
from laurelwind.cli.configuration import (
    CheckCommand,
    DiffCommand,
    HistoryCommand,
    PublishCommand,
    SchemaCommand,
    ShowCommand,
)
from laurelwind.cli.demo import DemoCommand
from laurelwind.cli.explain import ExplainCommand
from laurelwind.cli.overview import (
    EntriesCommand,
    PeersCommand,
    TraceCommand,
    UsageCommand,
)
from laurelwind.cli.versions import (
    DrainCommand,
    ListVersionsCommand,
    RestoreCommand,
    WithdrawCommand,
)
from laurelwind.release import RELEASE


def build_application() -> Application:
    """Build the application with all its commands."""
    application = Application('laurelwind', RELEASE)
    for command in (
        CheckFileCommand,
        CheckCommand,
        DiffCommand,
        PublishCommand,
        ShowCommand,
        HistoryCommand,
        SchemaCommand,
        ListVersionsCommand,
        WithdrawCommand,
        DrainCommand,
        RestoreCommand,
        UsageCommand,
        EntriesCommand,
        PeersCommand,
        TraceCommand,
        ExplainCommand,
        DemoCommand,
    ):
        application.add(command())
    return application


def run() -> None:
    """Entry point of the console script ``laurelwind``."""
    build_application().run()


if __name__ == '__main__':
    run()
