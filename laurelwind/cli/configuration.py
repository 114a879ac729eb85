"""Commands for the configuration document."""

import difflib
from typing import Any, ClassVar

import orjson
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from laurelwind.cli.base import (
    API_OPTIONS,
    EXIT_OK,
    EXIT_REFUSED,
    JSON_OPTION,
    BaseCommand,
    read_json_file,
)
from laurelwind.state.document import Document
from laurelwind.state.schema import build_schema
from laurelwind.state.validation import read_document

_CONFIGURATION_PATH = '/admin/v1/configuration'
_DOCUMENT = argument('file', 'A configuration document in JSON.')


class CheckCommand(BaseCommand):
    """Validates a document locally, without a daemon."""

    name = 'config check'
    description = 'Validate a document and list all faults.'
    arguments: ClassVar[list[Argument]] = [_DOCUMENT]
    options: ClassVar[list[Option]] = [JSON_OPTION]

    def run_command(self) -> int:
        """Validate the document; see :class:`BaseCommand`."""
        document = read_document(read_json_file(self.argument('file')))
        if self.option('json'):
            self.show_json({'ok': True})
        else:
            count = len(document.workspaces)
            self.line(f'<info>no faults</info>, {count} workspaces')
        return EXIT_OK


class DiffCommand(BaseCommand):
    """Compares a document with the one in force."""

    name = 'config diff'
    description = 'Compare a document with the one in force.'
    arguments: ClassVar[list[Argument]] = [_DOCUMENT]
    options: ClassVar[list[Option]] = list(API_OPTIONS)

    def run_command(self) -> int:
        """Print a unified diff; the exit code is 1 if there are differences."""
        proposed = read_json_file(self.argument('file'))
        current = self.api.get(_CONFIGURATION_PATH)
        lines = list(
            difflib.unified_diff(
                _list_lines(current['document']),
                _list_lines(proposed),
                fromfile=f'in force at {current["offset"]}',
                tofile=self.argument('file'),
                lineterm='',
            )
        )
        if self.option('json'):
            self.show_json({'base': current['offset'], 'lines': lines})
        else:
            for line in lines:
                self.io.output.write_line(line.replace('<', r'\<'))
        return EXIT_REFUSED if lines else EXIT_OK


class PublishCommand(BaseCommand):
    """Publishes a document."""

    name = 'config publish'
    description = 'Publish a document; fails if its base is outdated.'
    arguments: ClassVar[list[Argument]] = [_DOCUMENT]
    options: ClassVar[list[Option]] = [
        option(
            'base',
            None,
            'Offset of the document to replace; -1 for the first document.',
            flag=False,
        ),
        *API_OPTIONS,
    ]

    def run_command(self) -> int:
        """Publish the document; the base defaults to the current offset."""
        document = read_json_file(self.argument('file'))
        read_document(document)
        base = self.option('base')
        if base is None:
            base = self.api.get(_CONFIGURATION_PATH)['offset']
        published = self.api.send(
            'POST', f'{_CONFIGURATION_PATH}?base={base}', document
        )
        if self.option('json'):
            self.show_json(published)
        else:
            self.line(f'in force at offset <info>{published["offset"]}</info>')
        return EXIT_OK


class ShowCommand(BaseCommand):
    """Shows the document in force."""

    name = 'config show'
    description = 'Show the document in force.'
    options: ClassVar[list[Option]] = list(API_OPTIONS)

    def run_command(self) -> int:
        """Show the document; ``--json`` adds its offset and author."""
        current = self.api.get(_CONFIGURATION_PATH)
        self.show_json(current if self.option('json') else current['document'])
        return EXIT_OK


class HistoryCommand(BaseCommand):
    """Shows the latest proposals."""

    name = 'config history'
    description = 'Show the latest proposals and their outcome.'
    options: ClassVar[list[Option]] = list(API_OPTIONS)

    def run_command(self) -> int:
        """Show the proposals, oldest first; see :class:`BaseCommand`."""
        history = self.api.get(f'{_CONFIGURATION_PATH}/history')
        if self.option('json'):
            self.show_json(history)
            return EXIT_OK
        rows = [
            (
                decision['offset'],
                decision['author'],
                decision['verdict'],
                decision['winner'],
            )
            for decision in history['decisions']
        ]
        self.show_table(('offset', 'author', 'verdict', 'in force'), rows)
        return EXIT_OK


class SchemaCommand(BaseCommand):
    """Shows the JSON Schema of the document."""

    name = 'config schema'
    description = 'Show the JSON Schema of the document.'

    def run_command(self) -> int:
        """Show the schema; see :class:`BaseCommand`."""
        self.show_json(build_configuration_schema())
        return EXIT_OK


def build_configuration_schema() -> dict[str, Any]:
    """Build the JSON Schema of the configuration document."""
    return build_schema(Document, title='laurelwind configuration')


def _list_lines(document: Any) -> list[str]:
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    return orjson.dumps(document, option=options).decode().splitlines()
