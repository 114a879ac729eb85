"""What a test run that is ended leaves behind."""

import contextlib
import signal
import subprocess
import sys
import time
from pathlib import Path

WAIT_S = 30.0


def list_daemons(folder):
    """List the processes whose settings are in a folder."""
    found = []
    for environment in Path('/proc').glob('[0-9]*/environ'):
        with contextlib.suppress(OSError):
            if str(folder).encode() in environment.read_bytes():
                found.append(environment.parent.name)
    return found


def wait_until(condition):
    ends_at = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < ends_at:
        time.sleep(0.1)
    return condition()


# Daemons of a run that was ended went on, and called addresses which later runs
# were given.
def test_an_ended_test_run_leaves_no_daemons(tmp_path):
    folder = tmp_path / 'ended'
    run = subprocess.Popen(
        [
            *(sys.executable, '-m', 'pytest', 'tests/test_fault_soak.py'),
            *('-k', 'operations-1', '--basetemp', str(folder)),
        ],
        stdout=subprocess.DEVNULL,
    )
    try:
        assert wait_until(lambda: len(list_daemons(folder)) > 1)
        run.send_signal(signal.SIGTERM)
        run.wait(WAIT_S)
    finally:
        run.kill()
    assert wait_until(lambda: not list_daemons(folder))
