"""What a test run that is ended leaves behind."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

WAIT_S = 30.0


def list_daemons(folder):
    """List the processes whose settings are in a folder."""
    found = []
    for environment in Path('/proc').glob('[0-9]*/environ'):
        with contextlib.suppress(OSError):
            if str(folder).encode() in environment.read_bytes():
                found.append(environment.parent.name)
    return found


def describe_state(folder, output):
    """Describe what is left of a run, and what the run printed last."""
    lines = [f'processes left: {list_processes(folder)}']
    lines.extend(output.read_text(errors='replace').splitlines()[-40:])
    return '\n'.join(lines)


def list_processes(folder):
    return [
        (
            pid,
            Path(f'/proc/{pid}/cmdline').read_bytes().decode(errors='replace'),
        )
        for pid in list_daemons(folder)
    ]


def wait_until(condition):
    ends_at = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < ends_at:
        time.sleep(0.1)
    return condition()


# Daemons of a run that was ended went on, and called addresses which later runs
# were given. A run that a shell started in the background, with SIGINT ignored,
# did not end at all.
@pytest.mark.parametrize(
    'launcher',
    [(), ('sh', '-c', 'trap "" INT; exec "$@"', 'sh')],
    ids=['foreground', 'background'],
)
def test_an_ended_test_run_leaves_no_daemons(tmp_path, launcher):
    folder = tmp_path / 'ended'
    output = tmp_path / 'output.txt'
    with output.open('wb') as stream:
        run = subprocess.Popen(
            [
                *launcher,
                *(sys.executable, '-m', 'pytest', 'tests/test_fault_soak.py'),
                *('-k', 'operations-1', '--basetemp', str(folder)),
            ],
            stdout=stream,
            stderr=subprocess.STDOUT,
        )
    try:
        assert wait_until(lambda: len(list_daemons(folder)) > 1), (
            describe_state(folder, output)
        )
        run.send_signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            run.wait(WAIT_S)
        assert run.poll() is not None, describe_state(folder, output)
        assert wait_until(lambda: not list_daemons(folder)), describe_state(
            folder, output
        )
    finally:
        run.kill()
        for pid in list_daemons(folder):
            os.kill(int(pid), signal.SIGKILL)
