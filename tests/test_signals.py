"""SIGHUP at every moment of a daemon's life."""

import signal
import subprocess
import sys

import anyio
import pytest

from laurelwind import relay_daemon
from laurelwind.relay_program import StopWatchdog, run_relay
from laurelwind.relay_settings import load_relay_settings
from tests.helpers import wait_until
from tests.test_listening import SETTINGS
from tests.test_relay_path import DaemonHarness

pytestmark = pytest.mark.anyio
SIGNALLED_PROGRAM = """
import signal, sys, types
from laurelwind.platform import __main__ as entry
program = types.ModuleType(entry.PROGRAM)
program.run = lambda: signal.raise_signal(signal.SIGHUP)
sys.modules[entry.PROGRAM] = program
entry.start()
"""


@pytest.fixture
def _blocked_reloads():
    previous = signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    yield
    # A pending signal would end the tests.
    signal.sigtimedwait((signal.SIGHUP,), 0)
    signal.pthread_sigmask(signal.SIG_SETMASK, previous)


def test_a_reload_signal_does_not_end_a_daemon_that_starts():
    """SIGHUP during the imports ended the process."""
    process = subprocess.run(
        [sys.executable, '-c', SIGNALLED_PROGRAM], check=False, timeout=60
    )
    assert process.returncode == 0


@pytest.mark.usefixtures('_blocked_reloads')
async def test_a_reload_signal_that_came_too_early_is_handled(monkeypatch):
    """Settings that change during the start are read, and the stop is clean."""
    monkeypatch.setattr(relay_daemon, 'REFUSE_AFTER_S', 0.01)
    monkeypatch.setattr(relay_daemon, 'LISTEN_AFTER_STOP_S', 0.02)
    harness = DaemonHarness('127.0.0.1:1')
    watchdog = StopWatchdog()
    loads = []

    def load():
        loads.append(True)
        return harness.settings

    signal.raise_signal(signal.SIGHUP)
    async with anyio.create_task_group() as group:
        group.start_soon(run_relay, harness.daemon, {}, load, watchdog)
        with anyio.fail_after(10):
            await wait_until(lambda: loads)
            signal.raise_signal(signal.SIGTERM)
            await wait_until(lambda: harness.daemon.application.is_draining)
            signal.raise_signal(signal.SIGHUP)
    watchdog.close()
    signal.raise_signal(signal.SIGHUP)
    assert len(loads) == 1
    assert signal.SIGHUP in signal.sigpending()


@pytest.mark.parametrize(
    'text',
    [
        None,
        b'',
        b'\xff\xfe',
        b'store = "127.0.0.1:9"\n[daem',
        b'[' * 5000,
        SETTINGS.encode() + b'[bounds]\nstop_s = nan\n',
        SETTINGS.encode() + b'[bounds]\nrevocation_s = inf\n',
    ],
)
def test_settings_that_cannot_be_used_leave_the_current_ones(tmp_path, text):
    """SIGHUP beside a file that is not UTF-8 ended all requests in hand."""
    path = tmp_path / 'daemon.toml'
    if text is not None:
        path.write_bytes(text)
    daemon = DaemonHarness('127.0.0.1:1').daemon
    settings = daemon.settings
    daemon.reload(lambda: load_relay_settings(path))
    assert daemon.settings is settings
