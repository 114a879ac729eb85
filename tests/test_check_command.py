"""Exit codes and output of ``laurelwind check``."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from laurelwind.cli.application import build_application
from tests.test_admin_connection import serve_once
from tests.test_configuration_findings import DOCUMENT, ROUTES, TABLE, change

BAD_TABLE = change(TABLE, ((*ROUTES, 'kind'), 'odd'))
DOUBTFUL_DOCUMENT = change(DOCUMENT, (('services', 'idle'), {'pool': 'plain'}))
DOUBTFUL_TABLE = change(TABLE, ((*ROUTES, 'timeout_ms'), 200))


@pytest.fixture
def write(tmp_path):
    def write_file(name, configuration):
        path = tmp_path / name
        path.write_text(json.dumps(configuration))
        return str(path)

    return write_file


def run_check(arguments):
    tester = CommandTester(build_application().find('check'))
    exit_code = tester.execute(arguments)
    return exit_code, tester.io.fetch_output()


def build_answer(document):
    body = json.dumps({'offset': 4, 'document': document}).encode()
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


@pytest.mark.parametrize(
    ('configuration', 'expected'),
    [(TABLE, 0), (DOCUMENT, 0), (DOUBTFUL_TABLE, 0), (BAD_TABLE, 1)],
)
def test_only_errors_set_the_exit_code(write, configuration, expected):
    """A pipeline published a table that every daemon rejected."""
    assert run_check(write('new.json', configuration))[0] == expected


@pytest.mark.parametrize('text', ['', '{', '\x00', '[' * 2000, '[' * 99])
def test_a_file_that_cannot_be_read_has_its_own_exit_code(tmp_path, text):
    """A deep file ended the command with a traceback and the code of errors."""
    path = tmp_path / 'new.json'
    path.write_text(text + ']' * text.count('['))
    assert run_check(str(path))[0] == 2
    assert run_check(str(tmp_path / 'absent.json'))[0] == 2
    assert run_check(f'{path} --memory-mb 0')[0] == 2


def test_the_comparison_is_made_with_a_file_or_an_admin_address(write):
    path = write('new.json', change(DOCUMENT, (('schema',), 1)))
    before = change(DOCUMENT, (('services', 'bookings', 'price'), 4))
    address = serve_once(build_answer(before))
    for source in (write('old.json', before), address):
        exit_code, output = run_check(f'{path} --against {source}')
        assert exit_code == 0
        assert 'changed services.bookings.price: 4 -> 5' in output


@pytest.mark.parametrize(
    ('configuration', 'source', 'reason'),
    [
        (DOUBTFUL_DOCUMENT, '127.0.0.1:1', 'did not answer'),
        (DOUBTFUL_TABLE, '127.0.0.1:1', 'relay daemons have no admin address'),
        (DOUBTFUL_TABLE, 'old.json', 'of the same format'),
    ],
)
def test_a_comparison_that_fails_leaves_the_other_findings(
    write, configuration, source, reason
):
    """Nothing was printed when the daemon to compare with was down."""
    path = write('new.json', configuration)
    if source == 'old.json':
        source = write('old.json', DOCUMENT)
    exit_code, output = run_check(f'{path} --against {source}')
    assert exit_code == 1
    assert reason in output
    assert 'errors: 1, warnings: 1' in output


def test_an_unreadable_file_to_compare_with_leaves_the_other_findings(write):
    path = write('new.json', DOUBTFUL_TABLE)
    exit_code, output = run_check(f'{path} --against /nowhere/old.json')
    assert exit_code == 2
    assert 'errors: 0, warnings: 1' in output


def test_findings_are_printed_as_json(write):
    old_path = write('old.json', TABLE)
    exit_code, output = run_check(
        f'{write("new.json", BAD_TABLE)} --json --against {old_path}'
    )
    report = json.loads(output)
    assert exit_code == report['errors'] == 1
    assert report['findings'][0] == {
        'severity': 'error',
        'category': 'invalid',
        'path': 'routes.0.kind',
        'expected': 'expected one of idempotent, non_idempotent, streaming',
        'found': '"odd"',
    }
    assert [line['path'] for line in report['differences']] == [
        'routes.look.kind'
    ]


def test_names_cannot_control_the_terminal(write):
    """Names of the file hid lines, or ended the command as unknown markup."""
    name = 'a\x9b2K<error>\u202e</>'
    table = change(DOUBTFUL_TABLE, ((*ROUTES, 'name'), name))
    old_path = write('old.json', TABLE)
    _, output = run_check(f'{write("new.json", table)} --against {old_path}')
    assert 'a\\x9b2K<error>\\u202e</>' in output
