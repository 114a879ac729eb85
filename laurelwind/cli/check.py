"""The command that checks a configuration before it is published."""

import re
from collections.abc import Sequence
from pathlib import Path
from typing import Any, ClassVar, Final

import cattrs
from attrs import define, field
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from laurelwind.cli.base import (
    EXIT_OK,
    EXIT_REFUSED,
    JSON_OPTION,
    KEY_OPTION,
    BaseCommand,
    read_json_file,
)
from laurelwind.cli.connection import AdminApi, ApiError
from laurelwind.state.configuration_check.differences import (
    Difference,
    list_differences,
)
from laurelwind.state.configuration_check.findings import (
    Category,
    Finding,
    InstanceSize,
    Severity,
)
from laurelwind.state.configuration_check.formats import (
    Format,
    check_configuration,
    detect_format,
)
from laurelwind.transport.limits.incoming_request import BODY_COPIES
from laurelwind.transport.limits.machine import (
    BYTES_PER_MB,
    DEFAULT_MEMORY_MB,
    derive_limits,
)

EXIT_UNREADABLE: Final = 2
_CONFIGURATION_PATH: Final = '/admin/v1/configuration'
# An address of the administration API, as opposed to a file.
_ADDRESS: Final = re.compile(r'https?://\S{1,255}|[^\s/]{1,255}:\d{1,5}')
# Objects and lists of a configuration nest in 6 levels. Deeper ones cannot be
# compared or printed within the interpreter's limit on recursion.
_MAX_DEPTH: Final = 64


class UnreadableError(Exception):
    """A file cannot be read, or is no configuration.

    :param message: one plain sentence.
    """


@define(kw_only=True)
class CheckReport:
    """Results of a check.

    :ivar findings: findings on the configuration and its comparison.
    :ivar differences: fields that differ from the configuration in force, or
        ``None`` without a comparison.
    """

    findings: list[Finding] = field(factory=list)
    differences: Sequence[Difference] | None = None

    def count(self, severity: Severity) -> int:
        """Count the findings of a severity.

        :param severity: the severity.
        """
        return sum(finding.severity is severity for finding in self.findings)


class CheckFileCommand(BaseCommand):
    """Checks a configuration document or a routing table."""

    name = 'check'
    description = (
        'Check a configuration document or a routing table before it is'
        ' published.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('file', 'A configuration document or routing table in JSON.')
    ]
    options: ClassVar[list[Option]] = [
        option(
            'against',
            None,
            "The configuration in force: a file, or a daemon's admin address.",
            flag=False,
        ),
        option(
            'memory-mb',
            None,
            'Memory of the smallest instance, in MB.',
            flag=False,
            default=str(DEFAULT_MEMORY_MB),
        ),
        KEY_OPTION,
        JSON_OPTION,
    ]

    def run_command(self) -> int:
        """Check the file; see the exit codes in ``docs/OPERATIONS.md``."""
        report = CheckReport()
        exit_code = EXIT_OK
        try:
            self._check(report)
        except UnreadableError as error:
            self.show_failure(_escape(str(error)), ())
            exit_code = EXIT_UNREADABLE
        if report.findings or report.differences or exit_code == EXIT_OK:
            self._show(report)
        if exit_code == EXIT_OK and report.count(Severity.ERROR):
            return EXIT_REFUSED
        return exit_code

    def _check(self, report: CheckReport) -> None:
        size = _parse_size(self.option('memory-mb'))
        configuration = _read_file(self.argument('file'))
        report.findings.extend(check_configuration(configuration, size))
        source = self.option('against')
        if source is None:
            return
        try:
            in_force = self._read_in_force(source, configuration)
        except ApiError as error:
            report.findings.append(_build_comparison_error(source, error))
            return
        if detect_format(in_force) is not detect_format(configuration):
            mismatch = ApiError('expected a configuration of the same format')
            report.findings.append(_build_comparison_error(source, mismatch))
            return
        report.differences = list_differences(in_force, configuration)

    def _read_in_force(self, source: str, configuration: Any) -> Any:
        if not _ADDRESS.fullmatch(source) or Path(source).exists():
            return _read_file(source)
        if detect_format(configuration) is Format.TABLE:
            raise ApiError(
                'relay daemons have no admin address; expected the file of the'
                ' table in force'
            )
        api = AdminApi(address=source, key=self.api_key)
        view = api.get(_CONFIGURATION_PATH)
        if not isinstance(view, dict) or 'document' not in view:
            raise ApiError('the answer of the daemon has no configuration')
        return view['document']

    def _show(self, report: CheckReport) -> None:
        if self.option('json'):
            document: Any = cattrs.unstructure(report)
            document['errors'] = report.count(Severity.ERROR)
            document['warnings'] = report.count(Severity.WARNING)
            self.show_json(document)
            return
        for finding in report.findings:
            self._write(str(finding))
        for difference in report.differences or ():
            self._write(str(difference))
        errors = report.count(Severity.ERROR)
        warnings = report.count(Severity.WARNING)
        counts = f'errors: {errors}, warnings: {warnings}'
        if report.differences is not None:
            counts = f'{counts}, differences: {len(report.differences)}'
        self._write(counts)

    def _write(self, text: str) -> None:
        self.io.output.write_line(_escape(text))


def _read_file(path: str) -> Any:
    try:
        configuration = read_json_file(path)
    except ApiError as error:
        raise UnreadableError(error.message) from None
    if _is_too_deep(configuration):
        raise UnreadableError(f'{path} nests deeper than {_MAX_DEPTH} levels')
    return configuration


def _is_too_deep(configuration: Any) -> bool:
    level = [configuration]
    for _ in range(_MAX_DEPTH):
        level = [child for parent in level for child in _list_children(parent)]
        if not level:
            return False
    return True


def _list_children(parent: Any) -> Sequence[Any]:
    if isinstance(parent, dict):
        return tuple(parent.values())
    return parent if isinstance(parent, list) else ()


def _parse_size(memory_mb: str) -> InstanceSize:
    if not memory_mb.isdecimal() or not int(memory_mb):
        raise UnreadableError('expected --memory-mb as a number above zero')
    return InstanceSize(
        memory_bytes=int(memory_mb) * BYTES_PER_MB,
        body_bytes=derive_limits(int(memory_mb)).held_bytes // BODY_COPIES,
    )


def _build_comparison_error(source: str, error: ApiError) -> Finding:
    return Finding(
        severity=Severity.ERROR,
        category=Category.COMPARISON,
        path=source,
        expected='; '.join((error.message, *error.faults)),
    )


def _escape(text: str) -> str:
    """Escape markup of the console, and characters that terminals act on."""
    printable = ''.join(
        character
        if character.isprintable()
        else character.encode('unicode_escape').decode()
        for character in text
    )
    return printable.replace('<', r'\<')
