"""Structured log lines on standard output, bounded and never blocking."""

import os
import time
from collections.abc import Callable, Mapping
from typing import Any, Final

import orjson

# Lines a second that a daemon may write in the long run, and at once; about
# 300 bytes each keep a daemon under 100 kB a second.
LINES_PER_S: Final = 200.0
BURST_LINES: Final = 600.0
# Part of the burst that only failures, refusals and beliefs may use.
RESERVED_LINES: Final = 200.0
_STANDARD_OUTPUT: Final = 1


class DecisionLog:
    """Writes one JSON line for each decision.

    Lines over the allowance, and lines that the pipe does not take at once,
    are left out and counted.  The next line that goes out tells how many.

    :param daemon: name of the daemon, on every line.
    :param descriptor: where lines go.
    :param count: counts each decision, whether its line goes out or not.
    """

    def __init__(
        self,
        *,
        daemon: str = '',
        descriptor: int = _STANDARD_OUTPUT,
        count: Callable[[str], None] | None = None,
    ) -> None:
        self._count = count
        self._daemon = daemon
        self._descriptor = descriptor
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._rest = b''
        self.left_out = 0

    def start(self) -> None:
        """Make writes return at once where the reader is slow."""
        os.set_blocking(self._descriptor, False)

    def note(self, event: str, /, **fields: Any) -> None:
        """Write a line about a request that went as usual.

        :param event: what was decided.
        :param fields: its inputs, their age, and the outcome; never a key.
        """
        self._write(event, fields, RESERVED_LINES)

    def warning(self, event: str, /, **fields: Any) -> None:
        """Write a line about a failure, a refusal or a changed belief.

        :param event: what happened.
        :param fields: its inputs, their age, and the outcome; never a key.
        """
        self._write(event, fields, 0)

    def _take(self, reserved: float) -> bool:
        now = time.monotonic()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._tokens = min(self._tokens + earned, BURST_LINES)
        if self._tokens < reserved + 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True

    def _write(
        self, event: str, fields: Mapping[str, Any], reserved: float
    ) -> None:
        if self._count is not None:
            self._count(event)
        if not self._take(reserved):
            return
        line: dict[str, Any] = {
            'time': round(time.time(), 3),
            'daemon': self._daemon,
            'event': event,
            **fields,
        }
        if self.left_out:
            line['lines_left_out'] = self.left_out
        text = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._send(text):
            self.left_out = 0
        else:
            self.left_out += 1

    def _send(self, text: bytes) -> bool:
        # The rest of a line that went out in part goes first, so that lines
        # never run into each other.
        pending = self._rest + text
        try:
            sent = os.write(self._descriptor, pending)
        except BlockingIOError:
            return False
        except OSError:
            self._rest = b''
            return False
        if sent < len(self._rest):
            self._rest = self._rest[sent:]
            return False
        self._rest = pending[sent:]
        return True
