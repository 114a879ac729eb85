"""Base class, common options and exit codes of the commands."""

import abc
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import orjson
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.ui.table import Table

from laurelwind.cli.connection import AdminApi, ApiError
from laurelwind.errors import LaurelwindError

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_UNREACHABLE: Final = 2

_ADDRESS_VARIABLE: Final = 'LAURELWIND_ADMIN'
_KEY_VARIABLE: Final = 'LAURELWIND_KEY'
_DEFAULT_ADDRESS: Final = '127.0.0.1:8090'

JSON_OPTION: Final = option('json', None, 'Write the output as JSON.')
KEY_OPTION: Final = option(
    'key', None, f'Operator key (or ${_KEY_VARIABLE}).', flag=False
)
API_OPTIONS: Final = (
    option(
        'admin',
        None,
        f'Address of the administration API (or ${_ADDRESS_VARIABLE}).',
        flag=False,
    ),
    KEY_OPTION,
    JSON_OPTION,
)


class BaseCommand(Command, abc.ABC):
    """A command that reports errors on standard error and by exit code."""

    def handle(self) -> int:
        """Run the command and return its exit code."""
        try:
            return self.run_command()
        except ApiError as error:
            self.show_failure(error.message, error.faults)
            return EXIT_REFUSED if error.is_refusal else EXIT_UNREACHABLE
        except LaurelwindError as error:
            faults = [str(fault) for fault in error.faults]
            self.show_failure(error.message, faults)
            return EXIT_REFUSED

    @abc.abstractmethod
    def run_command(self) -> int:
        """Run the command and return its exit code."""

    @property
    def api(self) -> AdminApi:
        """Client of the administration API selected by the options."""
        address = self.option('admin') or os.environ.get(
            _ADDRESS_VARIABLE, _DEFAULT_ADDRESS
        )
        return AdminApi(address=address, key=self.api_key)

    @property
    def api_key(self) -> str:
        """Operator key selected by the options."""
        return self.option('key') or os.environ.get(_KEY_VARIABLE, '')

    def show_failure(self, message: str, faults: Sequence[str]) -> None:
        """Write an error to standard error.

        :param message: one plain sentence.
        :param faults: details, one line each.
        """
        self.line_error(f'<error>{message}</error>')
        for fault in faults:
            self.line_error(f'  {fault}')

    def show_json(self, document: Any) -> None:
        """Write JSON to standard output.

        :param document: object of plain JSON types.
        """
        text = orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
        self.line(text)

    def show_table(
        self, headers: Sequence[str], rows: Sequence[Sequence[object]]
    ) -> None:
        """Write a table to standard output.

        :param headers: column names.
        :param rows: cells of each row; formatted with :class:`str`.
        """
        table = Table(self.io, style='compact')
        table.set_headers(list(headers))
        for row in rows:
            table.add_row([str(cell) for cell in row])
        table.render()


def read_json_file(path: str) -> Any:
    """Read a JSON file.

    :param path: path of the file.
    :raises ApiError: if the file cannot be read or is not JSON.
    """
    try:
        return orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ApiError(f'{path} cannot be read: {error.strerror}') from None
    except orjson.JSONDecodeError as error:
        raise ApiError(f'{path} is not JSON: {error}') from None
