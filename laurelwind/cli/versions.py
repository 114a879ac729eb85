"""Commands that list versions and change their state."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from laurelwind.cli.base import API_OPTIONS, EXIT_OK, BaseCommand
from laurelwind.state.document import VersionState

_VERSIONS_PATH = '/admin/v1/versions'
_REFERENCE = argument('version', 'Version to change, as model@version.')


class ListVersionsCommand(BaseCommand):
    """Lists versions."""

    name = 'versions list'
    description = 'List all versions with their state and ratings.'
    options: ClassVar[list[Option]] = list(API_OPTIONS)

    def run_command(self) -> int:
        """List the versions; see :class:`BaseCommand`."""
        view = self.api.get(_VERSIONS_PATH)
        if self.option('json'):
            self.show_json(view)
            return EXIT_OK
        columns = (
            'reference',
            'state',
            'quarantined',
            'pool',
            'passed',
            'failed',
        )
        rows = [
            [version[name] for name in columns] for version in view['versions']
        ]
        self.show_table(('version', *columns[1:]), rows)
        return EXIT_OK


class ChangeVersionCommand(BaseCommand):
    """Base class of the commands that change the state of a version."""

    state: ClassVar[VersionState]
    arguments: ClassVar[list[Argument]] = [_REFERENCE]
    options: ClassVar[list[Option]] = list(API_OPTIONS)

    def run_command(self) -> int:
        """Publish the document in force with the new state of the version."""
        reference = self.argument('version')
        published = self.api.send(
            'PUT',
            f'{_VERSIONS_PATH}/{reference}/state',
            {'state': str(self.state)},
        )
        if self.option('json'):
            self.show_json(published)
        else:
            offset = published['offset']
            self.line(
                f'{reference} is <info>{self.state}</info> from offset {offset}'
            )
        return EXIT_OK


class WithdrawCommand(ChangeVersionCommand):
    """Withdraws a version."""

    name = 'versions withdraw'
    description = 'Withdraw a version: it receives no new requests.'
    state = VersionState.WITHDRAWN


class DrainCommand(ChangeVersionCommand):
    """Drains a version."""

    name = 'versions drain'
    description = 'Drain a version: sessions continue, none is opened.'
    state = VersionState.DRAINING


class RestoreCommand(ChangeVersionCommand):
    """Restores a version."""

    name = 'versions restore'
    description = 'Return a version to service.'
    state = VersionState.SERVING
