"""The command that prints the timeline of a request from daemon logs."""

import fileinput
from collections.abc import Iterable, Iterator
from typing import Any, ClassVar, Final

import orjson
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from laurelwind.cli.base import EXIT_OK, BaseCommand

_LINE_START: Final = '{"time"'
# Events that change the state of a daemon; the timeline begins with the last
# one of each kind before the first line of the request.
_STATE_EVENTS: Final = (
    'table_in_force',
    'endpoints_changed',
    'endpoint_limit',
    'store_lost',
    'store_regained',
    'version_rejected',
    'rollout_status',
)
# Events of a daemon's process, shown where they lie within the timeline.
_PROCESS_EVENTS: Final = ('stopping', 'stopped', 'settings_reloaded')
_PREFIX_FIELDS: Final = frozenset(('time', 'daemon', 'event', 'request'))


def parse_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Parse log lines; text before the JSON object of a line is skipped.

    :param texts: lines of the logs of one or several daemons.
    """
    for text in texts:
        position = text.find(_LINE_START)
        if position < 0:
            continue
        try:
            line = orjson.loads(text[position:])
        except orjson.JSONDecodeError:
            # The process ended before the whole line was written.
            continue
        yield line


def format_timeline(
    lines: Iterable[dict[str, Any]], request_id: str
) -> Iterator[str]:
    """Format the timeline of a request, after the state of its first daemon.

    :param lines: log lines of all daemons, in any order.
    :param request_id: id of the request.
    """
    ordered = sorted(lines, key=lambda line: line['time'])
    timeline = [line for line in ordered if line.get('request') == request_id]
    if not timeline:
        return
    timeline = _add_process_lines(timeline, ordered)
    daemon = timeline[0]['daemon']
    states: dict[str, dict[str, Any]] = {}
    for line in ordered:
        if line['time'] > timeline[0]['time']:
            break
        if line['daemon'] == daemon and line['event'] in _STATE_EVENTS:
            states[line['event']] = line
    started_at = timeline[0]['time']
    for line in (*states.values(), *timeline):
        yield _format_line(line, started_at)


def _add_process_lines(
    timeline: list[dict[str, Any]], ordered: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    daemons = {line['daemon'] for line in timeline}
    first, last = timeline[0]['time'], timeline[-1]['time']
    process_lines = [
        line
        for line in ordered
        if line['event'] in _PROCESS_EVENTS
        and line['daemon'] in daemons
        and first < line['time'] <= last
    ]
    return sorted(
        (*timeline, *process_lines), key=lambda line: float(line['time'])
    )


def _format_line(line: dict[str, Any], started_at: float) -> str:
    offset_s = line['time'] - started_at
    fields = ' '.join(
        f'{name}={logged}'
        for name, logged in line.items()
        if name not in _PREFIX_FIELDS
    )
    columns = (
        format(offset_s, '+9.3f'),
        's',
        line['daemon'],
        line['event'],
        fields,
    )
    return ' '.join(columns)


class ExplainCommand(BaseCommand):
    """Prints the timeline of a request."""

    name = 'explain'
    description = "Print the timeline of a request from daemons' logs."
    arguments: ClassVar[list[Argument]] = [
        argument('request', 'Id of the request.'),
        argument(
            'files',
            'Log files of one or several daemons; default: standard input.',
            optional=True,
            multiple=True,
        ),
    ]

    def run_command(self) -> int:
        """Print the timeline; the exit code is 1 if no line has the id."""
        with fileinput.input(self.argument('files') or ('-',)) as texts:
            lines = list(parse_lines(texts))
        is_logged = False
        for text in format_timeline(lines, self.argument('request')):
            is_logged = True
            self.line(text)
        if not is_logged:
            self.line('<error>no log line has this request id</error>')
        return EXIT_OK if is_logged else 1
