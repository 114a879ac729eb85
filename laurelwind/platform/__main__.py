"""Starts the relay daemon on the platform."""

import importlib
import signal
from typing import Final

PROGRAM: Final = 'laurelwind.platform.program'


def start() -> None:
    """Run the daemon, which handles SIGHUP as soon as it can.

    Its imports take long enough for the signal to arrive before that, and the
    default action would end the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    importlib.import_module(PROGRAM).run()


if __name__ == '__main__':
    start()
