"""Commands that show charges, entries, peers and traces."""

from collections.abc import Mapping, Sequence
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from laurelwind.cli.base import API_OPTIONS, EXIT_OK, JSON_OPTION, BaseCommand
from laurelwind.cli.connection import AdminApi
from laurelwind.state.members import Liveness

_MICROS_PER_UNIT = 1_000_000


class UsageCommand(BaseCommand):
    """Shows the charges of each workspace."""

    name = 'usage'
    description = 'Show the charges of each workspace.'
    options: ClassVar[list[Option]] = list(API_OPTIONS)

    def run_command(self) -> int:
        """Show the charges and the number of duplicates dropped."""
        usage = self.api.get('/admin/v1/charges')
        if self.option('json'):
            self.show_json(usage)
            return EXIT_OK
        self.show_table(
            ('workspace', 'version or service', 'steps', 'tokens', 'amount'),
            [_build_usage_row(line) for line in usage['lines']],
        )
        repeats = usage['repeats']
        self.line(f'{repeats} charges were dropped as repeats')
        if usage['since']:
            self.line(f'records before {usage["since"]} have expired')
        return EXIT_OK


class EntriesCommand(BaseCommand):
    """Shows the daemons that callers should connect to."""

    name = 'entries'
    description = 'Show the daemons that callers should connect to.'
    options: ClassVar[list[Option]] = [
        option('entry', None, 'Caller address of a daemon.', flag=False),
        option('zone', None, 'Availability zone of the caller.', flag=False),
        JSON_OPTION,
    ]

    def run_command(self) -> int:
        """Show the entries in order of preference."""
        entry = AdminApi(address=self.option('entry') or '', key='')
        zone = self.option('zone') or ''
        listing = entry.get(f'/v1/entries?zone={zone}')
        if self.option('json'):
            self.show_json(listing)
            return EXIT_OK
        self.show_table(
            ('name', 'address', 'zone'),
            [
                (line['name'], line['address'], line['zone'])
                for line in listing['entries']
            ],
        )
        keep_s = round(listing['keep_s'])
        self.line(f'keep this answer for {keep_s} s')
        return EXIT_OK


class PeersCommand(BaseCommand):
    """Shows the members of the fleet in the view of a daemon."""

    name = 'peers'
    description = 'Show the members of the fleet in the view of a daemon.'
    options: ClassVar[list[Option]] = list(API_OPTIONS)

    def run_command(self) -> int:
        """Show the members and the partitions owned by the queried daemon."""
        view = self.api.get('/admin/v1/instances')
        if self.option('json'):
            self.show_json(view)
            return EXIT_OK
        rows = [
            (
                line['name'],
                line['zone'],
                Liveness(line['liveness']).name.lower(),
                'yes' if line['is_leaving'] else 'no',
                line['load'],
                line['configuration'],
            )
            for line in view['instances']
        ]
        self.show_table(
            ('name', 'zone', 'liveness', 'leaving', 'load', 'offset'), rows
        )
        owned = ', '.join(map(str, view['owned_partitions'])) or 'none'
        self.line(f'partitions owned by the queried daemon: {owned}')
        return EXIT_OK


class TraceCommand(BaseCommand):
    """Shows the spans of a trace."""

    name = 'trace'
    description = 'Show the hops of a request.'
    arguments: ClassVar[list[Argument]] = [
        argument('id', 'Trace id, from the X-Trace-Id header of an answer.')
    ]
    options: ClassVar[list[Option]] = list(API_OPTIONS)

    def run_command(self) -> int:
        """Show the spans as a tree; see :class:`BaseCommand`."""
        trace_id = self.argument('id')
        trace = self.api.get(f'/admin/v1/traces/{trace_id}')
        if self.option('json'):
            self.show_json(trace)
            return EXIT_OK
        for depth, span in _walk_spans(trace['spans']):
            self.line(_describe_span(depth, span))
        return EXIT_OK


def _build_usage_row(line: Mapping[str, Any]) -> tuple[object, ...]:
    tokens = line['prompt_tokens'] + line['completion_tokens']
    amount = format(line['amount'] / _MICROS_PER_UNIT, '.6f')
    return (line['workspace'], line['reference'], line['steps'], tokens, amount)


def _describe_span(depth: int, span: Mapping[str, Any]) -> str:
    duration = span['duration_ms']
    details = [f'{name}={text}' for name, text in span['attributes'].items()]
    columns = (span['name'], f'{duration:.1f} ms', *details)
    return '  ' * depth + '  '.join(columns)


def _walk_spans(
    spans: Sequence[Mapping[str, Any]],
) -> list[tuple[int, Mapping[str, Any]]]:
    """List spans in depth-first order, each with its depth."""
    span_ids = {span['span_id'] for span in spans}
    roots = [span for span in spans if span['parent_id'] not in span_ids]
    ordered: list[tuple[int, Mapping[str, Any]]] = []
    pending = [(0, span) for span in reversed(roots)]
    while pending:
        depth, span = pending.pop()
        ordered.append((depth, span))
        children = [
            child for child in spans if child['parent_id'] == span['span_id']
        ]
        pending.extend((depth + 1, child) for child in reversed(children))
    return ordered
