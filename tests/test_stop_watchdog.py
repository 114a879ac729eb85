"""A stop ends within its bound, whatever hangs."""

import subprocess
import sys
import time

from laurelwind.relay_program import FORCED_EXIT_STATUS

BLOCKED_STOP = """
import time
from laurelwind.relay_program import StopWatchdog
StopWatchdog().start(0.2)
time.sleep(60)
"""


def test_a_process_whose_event_loop_is_blocked_ends():
    started_at = time.monotonic()
    process = subprocess.run(
        [sys.executable, '-c', BLOCKED_STOP],
        check=False,
        capture_output=True,
        timeout=30,
    )
    assert process.returncode == FORCED_EXIT_STATUS
    assert b'exceeded its bound' in process.stderr
    assert time.monotonic() - started_at < 30
