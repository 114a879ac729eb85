"""Runs async tests on asyncio, and Hypothesis tests without randomness."""

import signal

import pytest
from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


def pytest_configure():
    """Let SIGTERM interrupt the run, so that it ends what it has started.

    A shell without job control starts background processes with SIGINT ignored,
    which would make the interrupt below have no effect.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, interrupt)


def interrupt(number, frame):
    # The event loop cancels its task for SIGINT; an exception would break it.
    signal.raise_signal(signal.SIGINT)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class ManualClock:
    """A clock that a test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return ManualClock()
