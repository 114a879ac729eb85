"""The command that tells one request's story from the daemons' logs."""

import fileinput
from collections.abc import Iterable, Iterator
from typing import Any, ClassVar, Final

import orjson
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from laurelwind.cli.base import DONE, BaseCommand

_OPENING: Final = '{"time"'
# What a daemon believes; the last of each kind before a decision is shown.
_BELIEFS: Final = (
    'table_in_force',
    'endpoints_changed',
    'store_lost',
    'store_regained',
    'version_rejected',
    'rollout_status',
)
_SHOWN_FIRST: Final = frozenset(('time', 'daemon', 'event', 'request'))


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Read log lines, whatever stands before them on a line.

    :param texts: lines of one or several logs.
    """
    for text in texts:
        place = text.find(_OPENING)
        if place < 0:
            continue
        try:
            line = orjson.loads(text[place:])
        except orjson.JSONDecodeError:
            # A line that was cut off by the end of its process.
            continue
        yield line


def tell_story(
    lines: Iterable[dict[str, Any]], request_id: str
) -> Iterator[str]:
    """Tell what happened to a request, and what was believed meanwhile.

    :param lines: log lines of all daemons, in any order.
    :param request_id: id of the request.
    """
    ordered = sorted(lines, key=lambda line: line['time'])
    story = [line for line in ordered if line.get('request') == request_id]
    if not story:
        return
    daemon = story[0]['daemon']
    beliefs: dict[str, dict[str, Any]] = {}
    for line in ordered:
        if line['time'] > story[0]['time']:
            break
        if line['daemon'] == daemon and line['event'] in _BELIEFS:
            beliefs[line['event']] = line
    begun_at = story[0]['time']
    for line in (*beliefs.values(), *story):
        yield _format(line, begun_at)


def _format(line: dict[str, Any], begun_at: float) -> str:
    after = line['time'] - begun_at
    fields = ' '.join(
        f'{name}={found}'
        for name, found in line.items()
        if name not in _SHOWN_FIRST
    )
    words = (format(after, '+9.3f'), 's', line['daemon'], line['event'], fields)
    return ' '.join(words)


class ExplainCommand(BaseCommand):
    """Tells one request's story."""

    name = 'explain'
    description = "Tell a request's story from the daemons' logs."
    arguments: ClassVar[list[Argument]] = [
        argument('request', 'Id of the request.'),
        argument(
            'files',
            'Logs of one or several daemons; standard input without any.',
            optional=True,
            multiple=True,
        ),
    ]

    def work(self) -> int:
        """Read the logs and print the story."""
        with fileinput.input(self.argument('files') or ('-',)) as texts:
            lines = list(read_lines(texts))
        found = False
        for text in tell_story(lines, self.argument('request')):
            found = True
            self.line(text)
        if not found:
            self.line('<error>no line names this request</error>')
        return DONE if found else 1
